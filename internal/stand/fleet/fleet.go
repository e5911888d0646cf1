package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Latencies of the fake network and KV service.
const (
	netLatency = time.Millisecond
	kvLatency  = 2 * time.Millisecond
)

// Fleet is a set of entries on virtual time.
type Fleet struct {
	Timer   *timer.Virtual
	Store   *kvmem.Store
	Net     *world.Net
	Entries []*Entry
	Oracle  *Oracle

	random     *rand.Rand
	listed     []ports.Instance
	lag        time.Duration
	logOptions []cfglog.Option
}

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithListLag sets how late the instance list shows changes.
func WithListLag(lag time.Duration) Option {
	return func(f *Fleet) { f.lag = lag }
}

// WithRetention makes every entry keep little, so that snapshots and trimming
// come about within a few versions.
func WithRetention(snapshotEvery, retainLog config.Version, recentPatches int) Option {
	return func(f *Fleet) {
		f.logOptions = append(f.logOptions, cfglog.WithRetention(snapshotEvery, retainLog, recentPatches))
		f.Oracle.retain = retainLog
	}
}

// New returns a fleet with perZone entries in each of the given number of zones,
// two zones to a region; none has started.
func New(seed uint64, zones, perZone int, opts ...Option) *Fleet {
	t := timer.NewVirtual(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	f := &Fleet{
		Timer:  t,
		Store:  kvmem.NewStore(t),
		Net:    world.NewNet(t, netLatency),
		Oracle: newOracle(),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, opt := range opts {
		opt(f)
	}
	for z := range zones {
		for n := range perZone {
			f.Entries = append(f.Entries, f.newEntry(z, n))
		}
	}
	return f
}

func (f *Fleet) newEntry(z, n int) *Entry {
	return &Entry{
		fleet: f,
		Self: ports.Member{
			ID:     fmt.Sprintf("zone-%02d-entry-%03d", z, n),
			Zone:   fmt.Sprintf("zone-%02d", z),
			Region: fmt.Sprintf("region-%d", z/2),
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(n / 250), byte(n%250 + 1)}), 7000),
			Phase:  ports.MemberAlive,
		},
		gate: &gate{},
		kv:   world.NewKV(f.Store, f.Timer, rand.New(rand.NewPCG(f.random.Uint64(), 2))),
	}
}

// StartAll starts every entry and lists it.
func (f *Fleet) StartAll() {
	for _, e := range f.Entries {
		e.Start()
	}
	f.Relist()
}

// Relist makes the instance list show the entries that run, after the lag.
func (f *Fleet) Relist() {
	var rows []ports.Instance
	for _, e := range f.Entries {
		if e.running {
			rows = append(rows, ports.Instance{ID: e.Self.ID, Kind: ports.InstanceEntry, Zone: e.Self.Zone, Region: e.Self.Region, Addr: e.Self.Addr})
		}
	}
	f.Timer.After(f.lag, func() {
		f.listed = rows
		for _, e := range f.Entries {
			e.postList(rows)
		}
	})
}

// Zone returns the entries of a zone by its number.
func (f *Fleet) Zone(z int) []*Entry {
	var found []*Entry
	for _, e := range f.Entries {
		if e.Self.Zone == fmt.Sprintf("zone-%02d", z) {
			found = append(found, e)
		}
	}
	return found
}

// Cut cuts or restores both directions between two groups.
func (f *Fleet) Cut(a, b []*Entry, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				f.Net.Cut(x.Self.Addr, y.Self.Addr, cut)
				f.Net.Cut(y.Self.Addr, x.Self.Addr, cut)
			}
		}
	}
}

// SetKV gives all of the entries the same faults of the KV service.
func (f *Fleet) SetKV(entries []*Entry, faults world.KVFaults) {
	if faults.Latency == 0 {
		faults.Latency = kvLatency
	}
	for _, e := range entries {
		e.kv.SetFaults(faults)
	}
}

// Calls returns the KV calls of all entries so far, by kind.
func (f *Fleet) Calls() map[string]int {
	sum := make(map[string]int)
	for _, e := range f.Entries {
		for kind, n := range e.kv.Calls() {
			sum[kind] += n
		}
	}
	return sum
}

// Spread advances the time until every running entry of a group has a version,
// and returns how long that took, or false after the limit.
func (f *Fleet) Spread(entries []*Entry, v config.Version, limit time.Duration) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		if lowest(entries) >= v {
			return waited, true
		}
		if waited >= limit {
			return waited, false
		}
		f.Timer.Advance(step)
	}
}

func lowest(entries []*Entry) config.Version {
	lowest := ^config.Version(0)
	for _, e := range entries {
		if e.running {
			lowest = min(lowest, e.Version())
		}
	}
	return lowest
}

// Patch asks an entry to accept a patch and advances the time until it answers.
func (f *Fleet) Patch(e *Entry, p config.Patch) cfglog.PatchAnswered {
	const (
		step  = 10 * time.Millisecond
		limit = time.Minute
	)
	var answer *cfglog.PatchAnswered
	e.Ask(p, func(a cfglog.PatchAnswered) { answer = &a })
	for waited := time.Duration(0); answer == nil && waited < limit; waited += step {
		f.Timer.Advance(step)
	}
	if answer == nil {
		f.Oracle.fail("%s did not answer patch %s within %s", e.Self.ID, p.ID, limit)
		return cfglog.PatchAnswered{}
	}
	return *answer
}
