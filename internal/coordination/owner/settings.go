package owner

import (
	"cmp"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Settings configures a Shard. Zero durations and counts select the defaults.
type Settings struct {
	// Self is this entry; ID, Incarnation, Zone, Region and Addr are used.
	Self       ports.Member
	Zone       string
	Region     string
	Shard      int
	ShardCount int
	// LeaseTTL is the lifetime of the ownership lease without renewal.
	LeaseTTL time.Duration
	// LeaseMargin is subtracted from the end of the lease to allow for clock drift.
	LeaseMargin time.Duration
	// Tick is the interval of the shard's periodic work.
	Tick time.Duration
	// ReportEvery is the interval of reports from a target without loads or unloads in
	// flight, and BusyReportInterval that of a target with some in flight.
	ReportEvery, BusyReportInterval time.Duration
	// MaxOrderTransit is the maximum time for which an order may be in transit to a target
	// that answers.
	MaxOrderTransit time.Duration
	// GoneDelay is how long a target must be missing from the instance list and silent
	// before it counts as gone. It must exceed the lag of the list.
	GoneDelay time.Duration
	// PollInterval is the interval at which an entry checks a shard that it does not own.
	PollInterval time.Duration
	// RebalanceDelay is how long another entry must be the preferred owner before the
	// shard is handed over.
	RebalanceDelay time.Duration
	// StopTimeout is the maximum wait for unresolved orders when the shard is handed over.
	StopTimeout time.Duration
	// LedgerBuckets is the number of KV values that the permit ledger is divided into.
	LedgerBuckets int
	// StoreSlots is the number of concurrent loads from the weight store, and of load
	// starts per second, over all shards.
	StoreSlots int
	// StoreRegion is the region of the weight store; if empty, all regions count as local
	// to it. LinkBytesPerSecond is the bandwidth of the link between regions that a load
	// may use, 0 for no limit.
	StoreRegion        string
	LinkBytesPerSecond float64
	// AdapterLoads is the maximum number of adapter loads in flight in the shard.
	AdapterLoads int
	// DefaultMaxReplicas is the maximum of a model without a rule.
	DefaultMaxReplicas int
}

const (
	defaultLeaseTTL           = 10 * time.Second
	defaultTick               = 250 * time.Millisecond
	defaultReportEvery        = 2 * time.Second
	defaultBusyReportInterval = 250 * time.Millisecond
	defaultMaxOrderTransit    = 30 * time.Second
	defaultGoneDelay          = 60 * time.Second
	defaultPollInterval       = 60 * time.Second
	defaultRebalanceDelay     = 30 * time.Second
	defaultStopTimeout        = 5 * time.Second
	defaultLedgerBuckets      = 16
	defaultStoreSlots         = 4
	defaultAdapterLoads       = 30
	defaultMaxReplicas        = 1
)

func (s Settings) withDefaults() Settings {
	s.ShardCount = cmp.Or(s.ShardCount, 1)
	s.LeaseTTL = cmp.Or(s.LeaseTTL, defaultLeaseTTL)
	s.LeaseMargin = cmp.Or(s.LeaseMargin, s.LeaseTTL/10)
	s.Tick = cmp.Or(s.Tick, defaultTick)
	s.ReportEvery = cmp.Or(s.ReportEvery, defaultReportEvery)
	s.BusyReportInterval = cmp.Or(s.BusyReportInterval, defaultBusyReportInterval)
	s.MaxOrderTransit = cmp.Or(s.MaxOrderTransit, defaultMaxOrderTransit)
	s.GoneDelay = cmp.Or(s.GoneDelay, defaultGoneDelay)
	s.PollInterval = cmp.Or(s.PollInterval, defaultPollInterval)
	s.RebalanceDelay = cmp.Or(s.RebalanceDelay, defaultRebalanceDelay)
	s.StopTimeout = cmp.Or(s.StopTimeout, defaultStopTimeout)
	s.LedgerBuckets = cmp.Or(s.LedgerBuckets, defaultLedgerBuckets)
	s.StoreSlots = cmp.Or(s.StoreSlots, defaultStoreSlots)
	s.AdapterLoads = cmp.Or(s.AdapterLoads, max(1, defaultAdapterLoads/s.ShardCount))
	s.DefaultMaxReplicas = cmp.Or(s.DefaultMaxReplicas, defaultMaxReplicas)
	return s
}
