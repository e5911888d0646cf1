package owner

import (
	"cmp"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Settings of a shard; zero durations and counts take the defaults.
type Settings struct {
	// Self is this entry; ID, Incarnation, Zone, Region and Addr are used.
	Self       ports.Member
	Zone       string
	Region     string
	Shard      int
	ShardCount int
	// LeaseTTL is the lifetime of the ownership's lease without renewal.
	LeaseTTL time.Duration
	// LeaseMargin is taken off the lease's end for drift between clocks.
	LeaseMargin time.Duration
	// Tick is the period of the shard's own checks.
	Tick time.Duration
	// ReportEvery is the period of reports from a target with nothing under way,
	// and ReportFast that of one with loads or unloads under way.
	ReportEvery, ReportFast time.Duration
	// OrderTransit bounds how long an order may be on its way to a target that answers.
	OrderTransit time.Duration
	// GoneAfter is how long a target must be off the instance list and silent
	// before it counts as gone; it exceeds the list's lag.
	GoneAfter time.Duration
	// PollEvery is the period at which an entry looks at a shard that it does not own.
	PollEvery time.Duration
	// RebalanceAfter is how long another owner must be preferred before a shard moves.
	RebalanceAfter time.Duration
	// StopWithin bounds the wait for unresolved orders when the shard hands over.
	StopWithin time.Duration
	// LedgerBuckets is the number of KV values that the permits are spread over.
	LedgerBuckets int
	// StoreSlots is the number of concurrent loads, and of load starts a
	// second, that the weight store allows in all.
	StoreSlots int
	// StoreRegion is where the weight store stands, empty if its distance does not
	// matter; LinkBytesPerSecond is what a load from another region may use of the
	// link, 0 for no limit.
	StoreRegion        string
	LinkBytesPerSecond float64
	// AdapterLoads bounds the adapter loads in flight in the shard.
	AdapterLoads int
	// DefaultMaxReplicas is the maximum of a model without a rule.
	DefaultMaxReplicas int
}

const (
	defaultLeaseTTL       = 10 * time.Second
	defaultTick           = 250 * time.Millisecond
	defaultReportEvery    = 2 * time.Second
	defaultReportFast     = 250 * time.Millisecond
	defaultOrderTransit   = 30 * time.Second
	defaultGoneAfter      = 60 * time.Second
	defaultPollEvery      = 60 * time.Second
	defaultRebalanceAfter = 30 * time.Second
	defaultStopWithin     = 5 * time.Second
	defaultLedgerBuckets  = 16
	defaultStoreSlots     = 4
	defaultAdapterLoads   = 30
	defaultMaxReplicas    = 1
)

func (s Settings) withDefaults() Settings {
	s.ShardCount = cmp.Or(s.ShardCount, 1)
	s.LeaseTTL = cmp.Or(s.LeaseTTL, defaultLeaseTTL)
	s.LeaseMargin = cmp.Or(s.LeaseMargin, s.LeaseTTL/10)
	s.Tick = cmp.Or(s.Tick, defaultTick)
	s.ReportEvery = cmp.Or(s.ReportEvery, defaultReportEvery)
	s.ReportFast = cmp.Or(s.ReportFast, defaultReportFast)
	s.OrderTransit = cmp.Or(s.OrderTransit, defaultOrderTransit)
	s.GoneAfter = cmp.Or(s.GoneAfter, defaultGoneAfter)
	s.PollEvery = cmp.Or(s.PollEvery, defaultPollEvery)
	s.RebalanceAfter = cmp.Or(s.RebalanceAfter, defaultRebalanceAfter)
	s.StopWithin = cmp.Or(s.StopWithin, defaultStopWithin)
	s.LedgerBuckets = cmp.Or(s.LedgerBuckets, defaultLedgerBuckets)
	s.StoreSlots = cmp.Or(s.StoreSlots, defaultStoreSlots)
	s.AdapterLoads = cmp.Or(s.AdapterLoads, max(1, defaultAdapterLoads/s.ShardCount))
	s.DefaultMaxReplicas = cmp.Or(s.DefaultMaxReplicas, defaultMaxReplicas)
	return s
}
