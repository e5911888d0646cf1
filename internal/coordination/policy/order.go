package policy

import (
	"cmp"
	"slices"
	"time"
)

// urgency ranks the groups of waiting loads.
type urgency int

const (
	// patient comes in time for those who wait.
	patient urgency = iota
	// late serves no caller that waits now in time, but later ones.
	late
	// ahead has no caller that waits.
	ahead
)

type rank struct {
	index   int
	urgency urgency
	waiting int
	since   time.Time
}

// orderByWaiting puts the load first that most callers wait for, then the one
// that has waited longest. Loads that come too late for all who wait go after
// those that are in time, and those that nobody waits for go last.
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
		return ahead
	case !l.Model.FirstDeadline.IsZero() && l.Model.FirstDeadline.Before(ready):
		return late
	default:
		return patient
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

func orderByArrival(_ time.Time, loads []LoadRequest) []int {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return loads[a].Since.Compare(loads[b].Since) })
	return order
}
