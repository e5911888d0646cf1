package sched

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// lostLoadTTL is how long after its sending a load may still be carried out whose reply
// was lost.
const lostLoadTTL = 15 * time.Second

// lostLoad is a load of a model whose reply was lost. A target carries it out late if it
// has then accepted as many orders as the load names. An incarnation that has restarted
// under the same id counts anew, so it may reach that number with other models loaded.
type lostLoad struct {
	born     int64
	model    string
	expected int64
	until    time.Time
}

// LostLoad tells a later holder of a load of a model whose reply was lost.
type LostLoad struct {
	Target   string `json:"target"`
	Born     int64  `json:"born"`
	Model    string `json:"model"`
	Expected int64  `json:"expected"`
	// RestMS is how much longer it may still be carried out, in milliseconds.
	RestMS int64 `json:"restMs"`
}

// LostLoads returns the loads of models whose replies were lost and that may still be carried out.
func (p *Planner) LostLoads(now time.Time) []LostLoad {
	var out []LostLoad
	for id, loads := range p.lost {
		for _, l := range loads {
			if rest := l.until.Sub(now); rest > 0 {
				out = append(out, LostLoad{id, l.born, l.model, l.expected, rest.Milliseconds()})
			}
		}
	}
	return out
}

// WithLostLoads sets the loads that the planner of a former holder had lost as of a time.
func WithLostLoads(at time.Time, loads []LostLoad) Option {
	return func(p *Planner) {
		for _, l := range loads {
			until := at.Add(time.Duration(l.RestMS) * time.Millisecond)
			p.lost[l.Target] = append(p.lost[l.Target], lostLoad{l.Born, l.Model, l.Expected, until})
		}
	}
}

// noteLost records a load whose reply was lost.
func (p *Planner) noteLost(now time.Time, a Action) {
	if a.Operation != Load || a.Adapter != "" {
		return
	}
	p.lost[a.To.ID] = append(p.lost[a.To.ID], lostLoad{a.To.Born, a.Model, a.Expected, now.Add(lostLoadTTL)})
}

// isSafeWithLost reports whether a target may accept one more order that changes its
// memory in use by delta: no load that was lost with an earlier incarnation, and that
// would be carried out then, may exceed the memory.
func (p *Planner) isSafeWithLost(now time.Time, w *targetState, delta float64) bool {
	if len(p.lost[w.ID]) == 0 {
		return true
	}
	p.lost[w.ID] = slices.DeleteFunc(p.lost[w.ID], func(l lostLoad) bool { return !now.Before(l.until) })
	if len(p.lost[w.ID]) == 0 {
		delete(p.lost, w.ID)
		return true
	}
	used := w.usedMB(p.engine) + delta
	return !slices.ContainsFunc(p.lost[w.ID], func(l lostLoad) bool {
		return l.born != w.Born && l.expected == w.acceptedOrders+1 && w.Find(l.model) == nil &&
			used+p.engine.Models[l.model].SizeMB > p.engine.MemoryMB
	})
}

// sizeOf returns the memory that a loaded model and its adapters use at a target, in MB.
func (w *targetState) sizeOf(e *fleet.Engine, model string) float64 {
	if l := w.Find(model); l != nil {
		return sizeMB(e, l)
	}
	return 0
}
