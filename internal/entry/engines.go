package entry

import (
	"context"
	"errors"
	"net/netip"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

// watchedEngines are the engines as the callers' interface uses them; the entry
// hears of every target that is asked and of each that says that it leaves.
type watchedEngines struct {
	*probe.Engines
	used   func(at netip.AddrPort)
	left   func(at netip.AddrPort)
	silent func(at netip.AddrPort) (raise func())
}

func (e *Entry) watchedEngines() watchedEngines {
	return watchedEngines{
		Engines: e.probes,
		used:    func(at netip.AddrPort) { e.used.use(at, e.timer.Now()) },
		left:    e.targetLeft,
		silent:  e.targetSilent,
	}
}

// Generate begins an answer.
func (w watchedEngines) Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest, over func(kept bool)) (front.Stream, error) {
	w.used(at)
	stream, err := w.Engines.Generate(ctx, at, req, over)
	var failed *front.CallError
	switch known := errors.As(err, &failed); {
	case err == nil, ctx.Err() != nil:
	case known && failed.Leaving:
		w.left(at)
	case !known || failed.Reason == "":
		w.silent(at)()
	}
	return stream, err
}

// Alive asks for a sign of life, and meanwhile for one of the target's zone.
func (w watchedEngines) Alive(ctx context.Context, at netip.AddrPort) error {
	raise := w.silent(at)
	err := w.Engines.Alive(ctx, at)
	if err != nil {
		raise()
	}
	return err
}

// targetLeft tells the zone of a target that refuses new work because it leaves.
func (e *Entry) targetLeft(at netip.AddrPort) {
	for _, t := range *e.view.targets.Load() {
		if t.Addr == at {
			e.tellLeaving(t.ID)
		}
	}
}
