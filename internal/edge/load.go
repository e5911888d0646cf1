package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// minReported is the share of the instances that must have reported their load lately for
// a snapshot. Sums of fewer would make busy targets look empty.
const minReported = 0.5

// exchangeLoad records an instance's load as the holder. It returns the load of all
// instances if the instance has asked for it.
func (k *coordinator) exchangeLoad(now time.Time, m *exchangeRequest) *load.Snapshot {
	if m.Load == nil {
		return nil
	}
	sums := k.sums()
	sums.Record(now, m.From, m.Load)
	if !m.Load.Due || float64(sums.Instances()) < minReported*float64(len(k.members)) {
		return nil
	}
	return sums.Snapshot(now, m.From)
}

// addArrivals counts the arrivals in demand, which have not been counted before.
func (k *coordinator) addArrivals(now time.Time, demand []picker.Demand) {
	sums := k.sums()
	for i := range demand {
		d := &demand[i]
		sums.AddArrivals(now, load.Model{Service: d.Service, Model: d.Model}, d.Arrived)
	}
}

// sums returns the sums of this term.
func (k *coordinator) sums() *load.Sums {
	if k.load == nil || k.load.Term() != k.term() {
		opts := []load.Option{load.WithRampObserver(k.onRampChange)}
		if k.withoutSlowStart {
			opts = append(opts, load.WithoutStartLimits())
		}
		k.load = load.NewSums(k.term(), k.updates.index, opts...)
	}
	return k.load
}

// startRamp limits the requests at a target that has started while the fleet is running.
// Those of the first list of a term may have been running for long.
func (k *coordinator) startRamp(r *fleet.Target) {
	if !k.hasFullList || r.Draining {
		return
	}
	k.sums().Ramps().Start(k.clock.Now(), k.updates.index.Assign(r.ID, r.Slots), r.Slots)
}

// onRampChange logs a change of the limit of a target that has started or recovered.
func (k *coordinator) onRampChange(c load.RampChange) {
	k.log.Info().Str("target", c.Target).Str("service", k.targets[c.Target].Service).Str("cause", c.Cause).Int("limit", c.Limit).Int("slots", c.Slots).Int("inTime", c.Outcomes.InTime).
		Int("late", c.Outcomes.Late).Int("rejected", c.Outcomes.Rejected).Msg("limit of a starting target")
}

// loadReport returns what the holder is told of the load of this instance and its
// children.
func (e *Edge) loadReport() *load.Report {
	r := e.collector.Sum(e.clock.Now(), e.picker.LoadReport())
	return &r
}

// onHoldChange logs that a team begins or ceases to be held back.
func (e *Edge) onHoldChange(c picker.HoldChange) {
	e.log.Info().Str("team", c.Team).Bool("held", c.Held).Float64("use", c.Use).Float64("meanUse", c.Mean).
		Dur("age", c.Age).Msg("team beyond its share")
}

// applyLoad applies the load snapshot of a reply to a message that was sent at sentAt, at
// asOf by the boot clock, and keeps it for this instance's children.
func (e *Edge) applyLoad(r *exchangeReply, sentAt, asOf time.Time) {
	if r.Term != e.held.position().Term {
		return
	}
	e.picker.ApplyLoad(r.Term, r.Load, sentAt)
	e.collector.SetSnapshot(r.Term, r.Load, asOf)
}

// relayLoad records a child's load report as its relay. It returns a snapshot if the child
// has asked for one and this instance has one of the term for it.
func (e *Edge) relayLoad(m *exchangeRequest, term int64) *load.Snapshot {
	if m.Load == nil {
		return nil
	}
	now := e.clock.Now()
	e.collector.Put(now, m.From, m.Load)
	if !m.Load.Due {
		return nil
	}
	return e.collector.Snapshot(now, m.From, term)
}

// onLoadChange logs that load snapshots begin or cease to be recent enough.
func (e *Edge) onLoadChange(c picker.LoadChange) {
	line := e.log.Info().Bool("shared", c.Shared)
	if c.Age >= 0 {
		line = line.Dur("age", c.Age)
	}
	if c.Shared {
		line.Msg("targets are chosen by the load of all instances")
		return
	}
	line.Msg("targets are chosen by this instance's own observations")
}
