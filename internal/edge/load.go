package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// exchangeLoad records an instance's load as the holder. It returns the load of all
// instances if the instance has asked for it.
func (k *coordinator) exchangeLoad(now time.Time, m *exchangeRequest) *load.Snapshot {
	if k.load == nil || k.load.Term() != k.term() {
		k.load = load.NewSums(k.term())
	}
	for i := range m.Demand {
		d := &m.Demand[i]
		k.load.AddArrivals(now, load.Model{Service: d.Service, Model: d.Model}, d.Arrived)
	}
	if m.Load == nil {
		return nil
	}
	k.load.Record(now, m.From, m.Load)
	if !m.Load.Due {
		return nil
	}
	return k.load.Snapshot(now, m.From)
}

// loadReport returns what the holder is told of this instance's load.
func (e *Edge) loadReport() *load.Report {
	r := e.picker.LoadReport()
	return &r
}

// onLoadChange logs and counts that load snapshots begin or cease to be recent enough.
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
