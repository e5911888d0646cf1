package policy

import (
	"cmp"
	"slices"
	"time"
)

// urgency is the first criterion by which waiting loads are sorted, most urgent first.
type urgency int

const (
	// onTime means that the load ends before the first deadline of the waiting callers.
	onTime urgency = iota
	// late means that the load ends after that deadline and serves only later callers.
	late
	// noWaiters means that no caller waits for the load.
	noWaiters
)

// rank contains the criteria by which the load at an index is sorted.
type rank struct {
	index   int
	urgency urgency
	waiting int
	since   time.Time
}

// orderByWaiting sorts by urgency, then by the number of waiting callers, largest first,
// then by the time for which the load has waited, longest first. Loads that are too late
// for the first deadline follow those in time, and loads without a waiting caller are last.
func orderByWaiting(now time.Time, loads []LoadRequest) []int {
	ranks := make([]rank, 0, len(loads))
	for i, l := range loads {
		ranks = append(ranks, rank{index: i, urgency: urgencyOf(now, l), waiting: l.Model.Waiting, since: l.Since})
	}
	slices.SortFunc(ranks, rank.compare)
	order := make([]int, 0, len(ranks))
	for _, r := range ranks {
		order = append(order, r.index)
	}
	return order
}

func urgencyOf(now time.Time, l LoadRequest) urgency {
	ready := now.Add(TierTime(l.Tier, l.Model.LoadTime))
	switch {
	case l.Model.Waiting == 0:
		return noWaiters
	case !l.Model.FirstDeadline.IsZero() && l.Model.FirstDeadline.Before(ready):
		return late
	default:
		return onTime
	}
}

func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(b.waiting, a.waiting),
		a.since.Compare(b.since),
		cmp.Compare(a.index, b.index),
	)
}

// orderByArrival sorts by the time for which the load has waited, longest first.
func orderByArrival(_ time.Time, loads []LoadRequest) []int {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return loads[a].Since.Compare(loads[b].Since) })
	return order
}
