package edge

import (
	"context"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/hold"
)

// Steps of a planned stop, counted from its beginning.
const (
	// leaveTime is when new callers no longer come: the platform has missed two
	// answers about readiness by then.
	leaveTime = 3200 * time.Millisecond
	// cutReserve is kept of the grace for ending what is left.
	cutReserve = 500 * time.Millisecond
	// refuseReserve is the end of the grace in which new requests are refused,
	// since they would probably be cut.
	refuseReserve = 2500 * time.Millisecond
	stopPoll      = 50 * time.Millisecond
)

// Stop says that the instance is not ready, serves on until callers have gone
// elsewhere, and ends what is left shortly before the grace is over.
func (e *Edge) Stop() {
	began := e.timer.Now()
	e.stopping.Store(true)
	e.pass.CloseConnections()
	e.log.Info().Int("active", e.pass.Active()).Dur("grace", e.boot.Bounds.StopGrace).Msg("stopping")
	e.holder.Post(hold.Release{})
	grace := e.boot.Bounds.StopGrace
	refusing := false
	for {
		time.Sleep(stopPoll)
		passed := e.timer.Now().Sub(began)
		if passed >= leaveTime && e.pass.Active() == 0 {
			break
		}
		if passed >= grace-cutReserve {
			break
		}
		if passed >= grace-refuseReserve && !refusing {
			refusing = true
			e.pass.Refuse()
		}
	}
	cut := e.pass.Active()
	ctx, cancel := context.WithTimeout(context.Background(), stopPoll)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		_ = e.callers.Close()
	}
	e.stopLoops()
	e.holder.Stop()
	_ = e.ready.Close()
	_ = e.peerServer.Close()
	e.log.Info().Int("cut", cut).Dur("took", e.timer.Now().Sub(began)).Msg("stopped")
}
