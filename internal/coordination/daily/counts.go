package daily

import (
	"cmp"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/hist"
)

// Kind says what a Counter counts.
type Kind string

// The kinds of counters. Every request that arrived ends as exactly one of
// served, refused and abandoned, unless its instance dies.
const (
	// KindArrived counts requests taken from callers.
	KindArrived Kind = "arrived"
	// KindServed counts whole answers.
	KindServed Kind = "served"
	// KindRefused counts refusals.
	KindRefused Kind = "refused"
	// KindAbandoned counts requests whose caller left first.
	KindAbandoned Kind = "abandoned"
	// KindCarried counts requests that were under way when the date began. They
	// arrived on an earlier date, and end or are lost on this one.
	KindCarried Kind = "carried"
	// KindRunOnce counts outcomes of calls that run at most once.
	KindRunOnce Kind = "runOnce"
)

// Key tells counters apart; the fields that a kind does not use are empty.
type Key struct {
	Kind    Kind         `json:"kind"`
	Service string       `json:"service,omitempty"`
	Class   config.Class `json:"class,omitempty"`
	// Reason is that of a refusal, or the outcome of a run-once call.
	Reason string `json:"reason,omitempty"`
	// NotRun tells that nothing of a refused request reached a target.
	NotRun bool `json:"notRun,omitempty"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Reason, b.Reason),
		compareBools(a.NotRun, b.NotRun),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Counter is a key with its count.
type Counter struct {
	Key
	Count uint64 `json:"count"`
}

// ModelRow is what one model did on one day.
type ModelRow struct {
	// Waits are those of the callers who waited for a load; nil if none did.
	Waits     *hist.Hist    `json:"waits,omitempty"`
	IdleNanos time.Duration `json:"idleNanos,omitempty"`
}

// add merges other into m.
func (m *ModelRow) add(other ModelRow) {
	m.IdleNanos += other.IdleNanos
	if other.Waits == nil {
		return
	}
	if m.Waits == nil {
		m.Waits = hist.New(hist.Coarse)
	}
	m.Waits.Merge(other.Waits)
}

// weight ranks models by how much there is to say of them.
func (m ModelRow) weight() time.Duration {
	if m.Waits == nil {
		return m.IdleNanos
	}
	return m.IdleNanos + m.Waits.Sum()
}

// Happening is an outage, a takeover or another event worth a line.
type Happening struct {
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Counts is what one instance counted on one day.
type Counts struct {
	Counters []Counter           `json:"counters,omitempty"`
	Models   map[string]ModelRow `json:"models,omitempty"`
	// Waits are the waits of all models together.
	Waits      *hist.Hist  `json:"waits,omitempty"`
	Happenings []Happening `json:"happenings,omitempty"`
	// HappeningsLeftOut is the number of happenings beyond the bound.
	HappeningsLeftOut int `json:"happeningsLeftOut,omitempty"`
}

// sum returns the sum of the counters of a kind.
func (c Counts) sum(kind Kind) uint64 {
	var n uint64
	for _, counter := range c.Counters {
		if counter.Kind == kind {
			n += counter.Count
		}
	}
	return n
}

// unfinished is the number of requests that arrived or were carried over, and
// have not ended.
func (c Counts) unfinished() uint64 {
	arrived := c.sum(KindCarried) + c.sum(KindArrived)
	ended := c.sum(KindServed) + c.sum(KindRefused) + c.sum(KindAbandoned)
	return arrived - min(arrived, ended)
}

func sortCounters(counters []Counter) {
	slices.SortFunc(counters, func(a, b Counter) int { return compareKeys(a.Key, b.Key) })
}
