package owner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const gib = 1 << 30

// clusterConfig is the configuration of a simulated cluster.
type clusterConfig struct {
	zones, entries, targets, shards int
	// unfenced is how many targets of each zone ignore fencing; they are the first ones.
	unfenced    int
	memoryBytes uint64
	models      int
	maxReplicas int
	latency     time.Duration
	listLag     time.Duration
	seed        uint64
	// storeRegion is the weight store's region, linkBytesPerSecond the bandwidth of the
	// link between regions. All targets are in "region".
	storeRegion        string
	linkBytesPerSecond float64
	// hideAdapterUse means that engines do not report the use of their adapters.
	hideAdapterUse bool
	// noCache means that every load reads from the weight store.
	noCache bool
	// adapterLoadTime is the duration of an adapter's load, 0 for that of a cached model.
	adapterLoadTime time.Duration
	// adapters are further adapters of the first model.
	adapters []string
}

// cluster simulates the shards of several entries in several zones on virtual time. It
// has access to the true state of all engines and of the KV service.
type cluster struct {
	size            clusterConfig
	clock           *timer.Virtual
	store           *kvmem.Store
	net             *world.Net
	list            *world.List
	random          *rand.Rand
	entries         []*entry
	targets         []*testTarget
	config          *config.Config
	maxGranted      map[string]int
	storeLoadStarts []time.Time
	answers         map[uint64]ports.DemandReply
	nextDemandID    uint64
	events          []string
	sent            []sentOrder
	onWrite         func(*entry, ports.KVRequest)
	onOrder         func(*entry, ports.Order)
	onNote          func(*entry, any)
	violation       string
	removedTargets  int
	// silentAfter is when gossip marks an entry as silent.
	silentAfter time.Duration
	// withholdsConfig means that entries that start have no configuration yet.
	withholdsConfig bool
	// forgetsDead means that gossip does not list entries that are down.
	forgetsDead bool
	// valueDeleted means that an operator has deleted a shard's value.
	valueDeleted  bool
	items         []ports.Item
	dumpedAtCheck int
	// yields are the callbacks of peer calls that wait for a YieldAnswered.
	yields map[uint64]func(ports.PeerReply)
	// decodedValues caches the decoded KV values by revision.
	decodedValues map[ports.Revision]any
	// checks is the number of checks made so far.
	checks int
}

// sentOrder is an order as an entry passed it to its driver.
type sentOrder struct {
	at    time.Time
	from  string
	to    netip.AddrPort
	order ports.Order
}

// testTarget is a target with the engine of its current boot.
type testTarget struct {
	row       ports.Instance
	fenced    bool
	engine    *engmem.Engine
	bootCount int
	// trueState is the engine's state at the current check.
	trueState     ports.TargetState
	removed       bool
	failLoads     bool
	extraLoadTime time.Duration
}

func newCluster(size clusterConfig) *cluster {
	clock := timer.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	r := &cluster{
		size:          size,
		clock:         clock,
		store:         kvmem.NewStore(clock),
		net:           world.NewNet(clock, size.latency),
		list:          world.NewList(clock, size.listLag),
		random:        rand.New(rand.NewPCG(size.seed, 1)),
		maxGranted:    make(map[string]int),
		silentAfter:   2 * time.Second,
		yields:        make(map[uint64]func(ports.PeerReply)),
		decodedValues: make(map[ports.Revision]any),
		answers:       make(map[uint64]ports.DemandReply),
	}
	r.config = r.newConfig(1, size.maxReplicas)
	for z := range size.zones {
		for i := range size.targets {
			r.addTarget(z, i, i >= size.unfenced)
		}
	}
	r.setList()
	for z := range size.zones {
		for i := range size.entries {
			r.addEntry(z, i)
		}
	}
	r.every(500*time.Millisecond, r.gossip)
	r.every(2*time.Second, r.readList)
	return r
}

func (r *cluster) newConfig(version config.Version, maxReplicas int) *config.Config {
	c := &config.Config{Version: version, Models: make(map[string]config.Model), Rules: make(map[string]config.Rule)}
	for m := range r.size.models {
		name := fmt.Sprintf("model-%d", m)
		c.Models[name] = config.Model{
			Checkpoint: "ckpt-" + name, MemoryBytes: 4 * gib, LoadTime: config.Duration(3 * time.Second), Concurrency: 4,
		}
		c.Rules[name] = config.Rule{MaxReplicas: maxReplicas, KeepAlive: config.Duration(20 * time.Second)}
		r.maxGranted[name] = max(r.maxGranted[name], maxReplicas)
	}
	c.Adapters = make(map[string]config.Adapter)
	for _, name := range append([]string{"lora"}, r.size.adapters...) {
		c.Adapters[name] = config.Adapter{Model: "model-0", Checkpoint: "ckpt-" + name, MemoryBytes: gib}
	}
	r.maxGranted[permit.Store] = defaultStoreSlots
	return c
}

func (r *cluster) every(d time.Duration, f func()) {
	timer.Every(r.clock, d, f)
}

func zoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z) }

func (r *cluster) addTarget(z, i int, fenced bool) {
	m := &testTarget{fenced: fenced}
	m.row = ports.Instance{
		ID: fmt.Sprintf("target-%c%d", 'a'+z, i), Kind: ports.InstanceTarget, Zone: zoneName(z), Region: "region",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 1, byte(i)}), 80),
	}
	r.targets = append(r.targets, m)
	r.boot(m)
}

// boot restarts a target's engine without its replicas.
func (r *cluster) boot(m *testTarget) {
	m.bootCount++
	opts := []engmem.Option{engmem.WithFencing(m.fenced)}
	if r.size.hideAdapterUse {
		opts = append(opts, engmem.WithoutAdapterUse())
	}
	if r.size.noCache {
		opts = append(opts, engmem.WithoutCache())
	}
	m.engine = engmem.NewEngine(m.row.ID, fmt.Sprintf("boot-%d", m.bootCount), r.size.memoryBytes, r.newLoader(m), opts...)
	r.net.AddEngine(m.row.Addr, m.engine)
}

func (r *cluster) newLoader(m *testTarget) engmem.Loader {
	return func(checkpoint string, tier ports.Tier, done func(error)) {
		if tier == ports.TierRemote {
			r.storeLoadStarts = append(r.storeLoadStarts, r.clock.Now())
		}
		boots := m.bootCount
		took := engmem.LoadTime(tier, 3*time.Second)
		if strings.HasPrefix(checkpoint, "ckpt-lora") && r.size.adapterLoadTime > 0 {
			took = r.size.adapterLoadTime
		}
		r.clock.After(took+m.extraLoadTime, func() {
			switch {
			case m.bootCount != boots:
			case m.failLoads:
				done(fmt.Errorf("weight store: checksum mismatch"))
			default:
				done(nil)
			}
		})
	}
}

func (r *cluster) setList() {
	var rows []ports.Instance
	for _, m := range r.targets {
		if !m.removed {
			rows = append(rows, m.row)
		}
	}
	r.list.Set(rows)
}

func (r *cluster) addEntry(z, i int) *entry {
	e := &entry{cluster: r}
	e.member = ports.Member{
		ID: fmt.Sprintf("entry-%c%d", 'a'+z, i), Zone: zoneName(z), Region: "region", Phase: ports.MemberAlive,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i)}), 80),
	}
	r.entries = append(r.entries, e)
	e.kv = &delayedKV{cluster: r, KV: world.NewKV(r.store, r.clock, r.random)}
	e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	e.start()
	return e
}

// gossip delivers the state of all entries to every entry. A dead, frozen or isolated
// entry is marked as silent after silentAfter.
func (r *cluster) gossip() {
	var members []ports.Member
	for _, e := range r.entries {
		m := e.member
		if e.dead && r.forgetsDead {
			continue
		}
		if (e.dead || e.frozen || e.gossipIsolated) && r.clock.Now().Sub(e.silentSince) >= r.silentAfter {
			m.Phase = ports.MemberSilent
		}
		if !e.dead && !e.frozen && !e.gossipIsolated {
			e.member.Beat++
			m.Shards = nil
			for n := range e.shards {
				if e.owned[n] {
					m.Shards = append(m.Shards, n)
				}
			}
			e.member.Shards = m.Shards
		}
		if e.dead && r.clock.Now().Sub(e.silentSince) >= 40*time.Second {
			m.Phase = ports.MemberGone
		}
		members = append(members, m)
	}
	for _, e := range r.entries {
		e.post(MembersChanged{append([]ports.Member(nil), members...)})
	}
}

func (r *cluster) readList() {
	r.list.Instances(func(rows []ports.Instance, _ error) {
		for _, e := range r.entries {
			var zone []ports.Instance
			for _, row := range rows {
				if row.Zone == e.member.Zone {
					zone = append(zone, row)
				}
			}
			e.post(TargetsChanged{zone})
		}
	})
}

// run advances time event by event and checks the invariants after each.
func (r *cluster) run(d time.Duration) {
	end := r.clock.Now().Add(d)
	for r.violation == "" {
		next, ok := r.clock.Next()
		if !ok || next.After(end) {
			break
		}
		r.clock.Advance(next.Sub(r.clock.Now()))
		r.checkAfterEvent()
	}
	r.clock.Advance(max(end.Sub(r.clock.Now()), 0))
}

// demand sends a demand to the owner of a shard and returns its ID, or 0 if there is no
// owner.
func (r *cluster) demand(zone, shard int, d ports.Demand) uint64 {
	r.nextDemandID++
	for _, e := range r.entries {
		if e.member.Zone == zoneName(zone) && !e.dead && !e.frozen && e.owned[shard] {
			e.loops[shard].Post(DemandAsked{ID: r.nextDemandID, Demand: d})
			return r.nextDemandID
		}
	}
	return 0
}

func (r *cluster) ownerOf(zone, shard int) *entry {
	for _, e := range r.entries {
		if e.member.Zone == zoneName(zone) && !e.dead && e.owned[shard] {
			return e
		}
	}
	return nil
}

// targetWith returns the target that has a replica of the model.
func (r *cluster) targetWith(model string) *testTarget {
	for _, m := range r.targets {
		for _, rep := range m.engine.State().Replicas {
			if rep.Model == model && !m.removed {
				return m
			}
		}
	}
	return nil
}

// delayOrders delays the messages of entries to targets from now on.
func (r *cluster) delayOrders(d time.Duration) {
	r.net.Delay = func(_, to netip.AddrPort) time.Duration {
		for _, m := range r.targets {
			if m.row.Addr == to {
				return d
			}
		}
		return 0
	}
}

// loaded counts the replicas of a model that are in memory on the engines.
func (r *cluster) loaded(model string) int {
	n := 0
	for _, m := range r.targets {
		if m.removed {
			continue
		}
		for _, rep := range m.engine.State().Replicas {
			if rep.Model == model && rep.Phase != ports.PhaseFailed {
				n++
			}
		}
	}
	return n
}

// kvItems returns the KV service's items, read once per check.
func (r *cluster) kvItems() []ports.Item {
	if r.dumpedAtCheck != r.checks {
		r.items, r.dumpedAtCheck = r.store.Dump(), r.checks
	}
	return r.items
}

func (r *cluster) plans() map[string]place.Plan {
	plans := make(map[string]place.Plan)
	for _, item := range r.kvItems() {
		if !strings.HasPrefix(item.Key, "zone/") {
			continue
		}
		if p, ok := r.decodedValues[item.Revision].(place.Plan); ok {
			plans[permit.ShardName(p.Zone, p.Shard)] = p
			continue
		}
		for z := range r.size.zones {
			for n := range r.size.shards {
				if item.Key == fmt.Sprintf("zone/%s/shard/%d", zoneName(z), n) {
					if p, err := place.Decode(item.Value, zoneName(z), n); err == nil {
						plans[permit.ShardName(zoneName(z), n)] = p
						r.decodedValues[item.Revision] = p
					}
				}
			}
		}
	}
	return plans
}

func (r *cluster) ledger() map[string]permit.Resource {
	all := make(map[string]permit.Resource)
	for _, item := range r.kvItems() {
		if !strings.HasPrefix(item.Key, "permit/") {
			continue
		}
		l, known := r.decodedValues[item.Revision].(permit.Ledger)
		if !known {
			l, _ = permit.Decode(item.Value)
			r.decodedValues[item.Revision] = l
		}
		if l.Resources != nil {
			for name, res := range l.Resources {
				all[name] = res
			}
		}
	}
	return all
}

func (r *cluster) violated(format string, args ...any) {
	if r.violation == "" {
		r.violation = r.clock.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	}
}

func testPolicies() policy.Set {
	return policy.Set{
		KeepAlive: policy.Func[policy.ModelView, time.Duration](func(_ time.Time, v policy.ModelView) time.Duration {
			return v.KeepAlive
		}),
		Scale: policy.Func[policy.ScaleInput, int](func(_ time.Time, in policy.ScaleInput) int {
			busy := in.Model.Waiting + in.Model.Running + in.Model.Queued
			return min((busy+3)/4, in.Model.Max)
		}),
		Order: policy.Func[[]policy.LoadRequest, []int](func(_ time.Time, in []policy.LoadRequest) []int {
			order := make([]int, len(in))
			for i := range order {
				order[i] = i
			}
			sort.SliceStable(order, func(a, b int) bool { return in[order[a]].Since.Before(in[order[b]].Since) })
			return order
		}),
		Place: policy.Func[policy.PlaceInput, policy.Placement](placeBestFit),
		Preload: policy.Func[[]policy.ModelView, []string](func(time.Time, []policy.ModelView) []string {
			return nil
		}),
	}
}

func placeBestFit(_ time.Time, in policy.PlaceInput) policy.Placement {
	best := policy.Placement{Refused: "no target has room"}
	var bestFree uint64
	for _, t := range in.Targets {
		if t.FreeBytes >= in.Model.MemoryBytes && (best.Target == "" || t.FreeBytes < bestFree) {
			best, bestFree = policy.Placement{Target: t.Target}, t.FreeBytes
		}
	}
	if best.Target != "" {
		return best
	}
	for _, t := range in.Targets {
		free := t.FreeBytes
		var evict []string
		sort.SliceStable(t.Evictable, func(a, b int) bool {
			return t.Evictable[a].Model.LastUsed.Before(t.Evictable[b].Model.LastUsed)
		})
		for _, v := range t.Evictable {
			if free >= in.Model.MemoryBytes {
				break
			}
			free += v.Model.MemoryBytes
			evict = append(evict, v.Replica)
		}
		if free >= in.Model.MemoryBytes {
			return policy.Placement{Target: t.Target, Evict: evict}
		}
	}
	return best
}
