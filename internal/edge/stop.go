package edge

import (
	"context"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/platform"
)

// Steps of a planned stop, counted from its start.
const (
	// refuseAfter is when new requests are refused. By then two readiness checks of the
	// platform have failed, and a later request might be cut off. In a short grace period
	// it is after refuseShare of it.
	refuseAfter = 2800 * time.Millisecond
	refuseShare = 0.5
	// minStopTime is the minimum duration of a stop.
	minStopTime = 3200 * time.Millisecond
	// cutReserve is the part of the grace period that is reserved for closing what is
	// left.
	cutReserve = 500 * time.Millisecond
	// queueShare is the part of the grace period after which requests that still wait for
	// a target are refused, so that they can be served elsewhere.
	queueShare       = 0.5
	stopPollInterval = 50 * time.Millisecond
	// closeTimeout is how long requests that were accepted just before the listener
	// closed may take. All are refused at once by then. It is part of cutReserve.
	closeTimeout = 400 * time.Millisecond
)

// ReloadFile reads the boot file again and applies its bounds. A file that cannot be read
// or is invalid changes nothing.
func (e *Edge) ReloadFile() {
	if e.bootFile == "" {
		return
	}
	e.reloading.Lock()
	defer e.reloading.Unlock()
	boot, err := platform.ReadBoot(e.bootFile)
	if err != nil {
		e.log.Error().Err(err).Str("file", e.bootFile).Msg("reload refused")
		return
	}
	e.Reload(boot)
}

// Reload applies the bounds of a boot file that was read again. Addresses stay as they
// were at the start, since connections depend on them.
func (e *Edge) Reload(boot *platform.Boot) {
	before := e.bounds.Swap(&boot.Bounds)
	e.budget.SetLimits(retryLimits(boot.Bounds))
	e.election.Post(elect.SetHandover{Handover: boot.Bounds.OrderHandover})
	e.coordinator.logHandover(before.OrderHandover, boot.Bounds.OrderHandover)
	e.setQuotas(e.config.Load())
	e.log.Info().Bool("changed", *before != boot.Bounds).
		Bool("restartNeeded", boot.Callers != e.boot.Callers || boot.Store != e.boot.Store || boot.Peer != e.boot.Peer).
		Msg("settings reloaded")
}

// Stop reports the instance as not ready, serves until callers have gone elsewhere, and
// ends what is left shortly before the grace period does.
func (e *Edge) Stop() {
	start := e.timer.Now()
	e.stopping.Store(true)
	e.ReloadFile()
	e.proxy.CloseConnections()
	e.log.Info().Int("active", e.proxy.Active()).Dur("grace", e.bounds.Load().StopGrace).Msg("stopping")
	go e.releaseHolder()
	grace := e.bounds.Load().StopGrace
	refuseAt := min(refuseAfter, time.Duration(refuseShare*float64(grace)))
	for {
		time.Sleep(stopPollInterval)
		elapsed := e.timer.Now().Sub(start)
		if elapsed >= refuseAt {
			e.proxy.Refuse()
		}
		if float64(elapsed) >= queueShare*float64(grace) {
			e.picker.Close()
		}
		if elapsed >= minStopTime && e.proxy.Active() == 0 || elapsed >= grace-cutReserve {
			break
		}
	}
	e.proxy.Refuse()
	cut := e.proxy.Active()
	e.proxy.Cut()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		e.handOverCrashes(ctx)
	}()
	e.callers.stop(closeTimeout)
	<-handedOver
	e.stopLoops()
	e.election.Stop()
	for _, s := range e.controlServers() {
		_ = s.Close()
	}
	e.log.Info().Int("cut", cut).Dur("took", e.timer.Now().Sub(start)).Msg("stopped")
}

// releaseHolder gives up the lease once none of this instance's orders is on its way any more.
func (e *Edge) releaseHolder() {
	hasUnread := e.coordinator.stopOrders()
	e.election.Post(elect.Release{HasUnread: hasUnread})
}
