package relay

import (
	"cmp"
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// sum adds up the demand of several instances.
type sum struct {
	byModel map[modelKey]*picker.Demand
	// adapters and limited hold the adapters that are in the lists already.
	adapters, limited map[adapterKey]bool
}

type adapterKey struct {
	modelKey
	adapter string
}

func newSum() *sum {
	return &sum{
		byModel:  make(map[modelKey]*picker.Demand),
		adapters: make(map[adapterKey]bool), limited: make(map[adapterKey]bool),
	}
}

func (s *sum) add(demand []picker.Demand) {
	for i := range demand {
		s.addOne(&demand[i])
	}
}

func (s *sum) addOne(d *picker.Demand) {
	key := modelKey{d.Service, d.Model}
	have := s.byModel[key]
	if have == nil {
		have = &picker.Demand{Service: d.Service, Model: d.Model}
		s.byModel[key] = have
	}
	have.Queued += d.Queued
	have.LongestWaitMS = max(have.LongestWaitMS, d.LongestWaitMS)
	have.Limited += d.Limited
	have.InFlight += d.InFlight
	have.Arrived += d.Arrived
	have.Adapters = appendNew(have.Adapters, s.adapters, key, d.Adapters)
	have.LimitedAdapters = appendNew(have.LimitedAdapters, s.limited, key, d.LimitedAdapters)
	for id, n := range d.InFlightByTarget {
		if have.InFlightByTarget == nil {
			have.InFlightByTarget = make(map[string]int, len(d.InFlightByTarget))
		}
		have.InFlightByTarget[id] += n
	}
}

// appendNew appends the adapters of a model that are not in the list.
func appendNew(list []string, known map[adapterKey]bool, key modelKey, adapters []string) []string {
	for _, a := range adapters {
		if k := (adapterKey{key, a}); !known[k] {
			known[k] = true
			list = append(list, a)
		}
	}
	return list
}

// list returns the sums in the order of their models.
func (s *sum) list() []picker.Demand {
	out := make([]picker.Demand, 0, len(s.byModel))
	for d := range maps.Values(s.byModel) {
		slices.Sort(d.Adapters)
		slices.Sort(d.LimitedAdapters)
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b picker.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
	})
	return out
}
