package policy

import (
	"cmp"
	"slices"
	"time"
)

// urgentLoads is the slack, as a multiple of a load's own time, below which a
// load goes first because of its deadline.
const urgentLoads = 1

// urgency ranks the groups of waiting loads.
type urgency int

const (
	// urgent is in time only if it goes now.
	urgent urgency = iota
	// patient is in time even if it goes a little later.
	patient
	// late serves no caller that waits now in time, but later ones.
	late
	// ahead has no caller that waits.
	ahead
)

type rank struct {
	index   int
	urgency urgency
	slack   time.Duration
	// gain is the number of waiting callers served by second of load.
	gain  float64
	since time.Time
}

// orderByUrgency puts the loads that just make their deadline first, by slack;
// then those that can wait, most callers served by second of load first, which
// is the order of the least total wait; then loads that come too late for all
// who wait, and those that nobody waits for.
func orderByUrgency(now time.Time, loads []LoadRequest) []int {
	ranks := make([]rank, 0, len(loads))
	for i, l := range loads {
		ranks = append(ranks, newRank(now, i, l))
	}
	slices.SortFunc(ranks, rank.compare)
	order := make([]int, 0, len(ranks))
	for _, r := range ranks {
		order = append(order, r.index)
	}
	return order
}

func newRank(now time.Time, index int, l LoadRequest) rank {
	takes := TierTime(l.Tier, l.Model.LoadTime)
	r := rank{index: index, since: l.Since}
	r.gain = float64(l.Model.Waiting) / max(takes.Seconds(), 0.001)
	r.slack = l.Model.FirstDeadline.Sub(now) - takes
	switch {
	case l.Model.Waiting == 0:
		r.urgency = ahead
	case l.Model.FirstDeadline.IsZero():
		r.urgency = patient
	case r.slack < 0:
		r.urgency = late
	case r.slack <= urgentLoads*takes:
		r.urgency = urgent
	default:
		r.urgency = patient
	}
	return r
}

func (a rank) compare(b rank) int {
	if c := cmp.Compare(a.urgency, b.urgency); c != 0 {
		return c
	}
	if a.urgency == urgent {
		if c := cmp.Compare(a.slack, b.slack); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(b.gain, a.gain), a.since.Compare(b.since), cmp.Compare(a.index, b.index))
}

func orderByArrival(_ time.Time, loads []LoadRequest) []int {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return loads[a].Since.Compare(loads[b].Since) })
	return order
}
