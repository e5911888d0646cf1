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

// rigSize is what a rig is made of.
type rigSize struct {
	zones, entries, targets, shards int
	// unfenced targets are the first of each zone.
	unfenced    int
	memoryBytes uint64
	models      int
	maxReplicas int
	latency     time.Duration
	listLag     time.Duration
	seed        uint64
	// storeRegion is the weight store's region, linkBytes what the link carries a
	// second; all targets stand in "region".
	storeRegion string
	linkBytes   float64
	// hidesUse means that engines do not tell what their adapters are used for.
	hidesUse bool
	// forgets means that every load reads the weight store.
	forgets bool
	// adapterTime is how long an adapter loads, 0 for as long as a cached model.
	adapterTime time.Duration
	// adapters are those of the first model.
	adapters []string
}

// rig runs the shards of several entries in several zones on virtual time, and
// knows the true state of everything.
type rig struct {
	size    rigSize
	clock   *timer.Virtual
	store   *kvmem.Store
	net     *world.Net
	list    *world.List
	random  *rand.Rand
	entries []*entry
	targets []*machine
	config  *config.Config
	bound   map[string]int
	starts  []time.Time
	answers map[uint64]ports.DemandReply
	nextAsk uint64
	events  []string
	sent    []sentOrder
	onWrite func(*entry, ports.KVRequest)
	onOrder func(*entry, ports.Order)
	onNote  func(*entry, any)
	fault   string
	removed int
	// silentAfter is when gossip notices that an entry is not heard of.
	silentAfter time.Duration
	// forgetsDead means that gossip knows nothing of entries that are down.
	forgetsDead bool
	// deleted means that an operator deleted a shard's value.
	deleted  bool
	items    []ports.Item
	dumpedAt int
	// yields are the peers' calls that wait for a YieldAnswered.
	yields map[uint64]func(ports.PeerReply)
	// decoded are the values read so far, by revision.
	decoded map[ports.Revision]any
	// checked counts the checks that were made.
	checked int
}

// sentOrder is an order as an entry gave it to its driver.
type sentOrder struct {
	at    time.Time
	from  string
	to    netip.AddrPort
	order ports.Order
}

// machine is a target with the engine of its present boot.
type machine struct {
	row    ports.Instance
	fenced bool
	engine *engmem.Engine
	boots  int
	// state is the engine's true state at the check under way.
	state   ports.TargetState
	removed bool
	failing bool
	slow    time.Duration
}

func newRig(size rigSize) *rig {
	clock := timer.NewVirtual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	r := &rig{
		size:        size,
		clock:       clock,
		store:       kvmem.NewStore(clock),
		net:         world.NewNet(clock, size.latency),
		list:        world.NewList(clock, size.listLag),
		random:      rand.New(rand.NewPCG(size.seed, 1)),
		bound:       make(map[string]int),
		silentAfter: 2 * time.Second,
		yields:      make(map[uint64]func(ports.PeerReply)),
		decoded:     make(map[ports.Revision]any),
		answers:     make(map[uint64]ports.DemandReply),
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

func (r *rig) newConfig(version config.Version, maxReplicas int) *config.Config {
	c := &config.Config{Version: version, Models: make(map[string]config.Model), Rules: make(map[string]config.Rule)}
	for m := range r.size.models {
		name := fmt.Sprintf("model-%d", m)
		c.Models[name] = config.Model{
			Checkpoint: "ckpt-" + name, MemoryBytes: 4 * gib, LoadTime: config.Duration(3 * time.Second), Concurrency: 4,
		}
		c.Rules[name] = config.Rule{MaxReplicas: maxReplicas, KeepAlive: config.Duration(20 * time.Second)}
		r.bound[name] = max(r.bound[name], maxReplicas)
	}
	c.Adapters = make(map[string]config.Adapter)
	for _, name := range append([]string{"lora"}, r.size.adapters...) {
		c.Adapters[name] = config.Adapter{Model: "model-0", Checkpoint: "ckpt-" + name, MemoryBytes: gib}
	}
	r.bound[permit.Store] = defaultStoreSlots
	return c
}

func (r *rig) every(d time.Duration, f func()) {
	timer.Every(r.clock, d, f)
}

func zoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z) }

func (r *rig) addTarget(z, i int, fenced bool) {
	m := &machine{fenced: fenced}
	m.row = ports.Instance{
		ID: fmt.Sprintf("target-%c%d", 'a'+z, i), Kind: ports.InstanceTarget, Zone: zoneName(z), Region: "region",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 1, byte(i)}), 80),
	}
	r.targets = append(r.targets, m)
	r.boot(m)
}

// boot starts a target's engine anew, empty.
func (r *rig) boot(m *machine) {
	m.boots++
	opts := []engmem.Option{engmem.WithFencing(m.fenced)}
	if r.size.hidesUse {
		opts = append(opts, engmem.WithoutAdapterUse())
	}
	if r.size.forgets {
		opts = append(opts, engmem.WithoutCache())
	}
	m.engine = engmem.NewEngine(m.row.ID, fmt.Sprintf("boot-%d", m.boots), r.size.memoryBytes, r.loader(m), opts...)
	r.net.AddEngine(m.row.Addr, m.engine)
}

func (r *rig) loader(m *machine) engmem.Loader {
	return func(checkpoint string, tier ports.Tier, done func(error)) {
		if tier == ports.TierRemote {
			r.starts = append(r.starts, r.clock.Now())
		}
		boots := m.boots
		took := engmem.LoadTime(tier, 3*time.Second)
		if strings.HasPrefix(checkpoint, "ckpt-lora") && r.size.adapterTime > 0 {
			took = r.size.adapterTime
		}
		r.clock.After(took+m.slow, func() {
			switch {
			case m.boots != boots:
			case m.failing:
				done(fmt.Errorf("weight store: checksum mismatch"))
			default:
				done(nil)
			}
		})
	}
}

func (r *rig) setList() {
	var rows []ports.Instance
	for _, m := range r.targets {
		if !m.removed {
			rows = append(rows, m.row)
		}
	}
	r.list.Set(rows)
}

func (r *rig) addEntry(z, i int) *entry {
	e := &entry{rig: r}
	e.member = ports.Member{
		ID: fmt.Sprintf("entry-%c%d", 'a'+z, i), Zone: zoneName(z), Region: "region", Phase: ports.MemberAlive,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i)}), 80),
	}
	r.entries = append(r.entries, e)
	e.kv = &lateKV{rig: r, KV: world.NewKV(r.store, r.clock, r.random)}
	e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	e.start()
	return e
}

// gossip tells every entry of all others; a dead or frozen one is silent after a
// while.
func (r *rig) gossip() {
	var members []ports.Member
	for _, e := range r.entries {
		m := e.member
		if e.dead && r.forgetsDead {
			continue
		}
		if (e.dead || e.frozen || e.muted) && r.clock.Now().Sub(e.silentSince) >= r.silentAfter {
			m.Phase = ports.MemberSilent
		}
		if !e.dead && !e.frozen && !e.muted {
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

func (r *rig) readList() {
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

// run advances time event by event and checks the promises after each.
func (r *rig) run(d time.Duration) {
	end := r.clock.Now().Add(d)
	for r.fault == "" {
		next, ok := r.clock.Next()
		if !ok || next.After(end) {
			break
		}
		r.clock.Advance(next.Sub(r.clock.Now()))
		r.check()
	}
	r.clock.Advance(max(end.Sub(r.clock.Now()), 0))
}

// demand tells the owner of a shard that a caller waits; it returns the ask's id.
func (r *rig) demand(zone, shard int, d ports.Demand) uint64 {
	r.nextAsk++
	for _, e := range r.entries {
		if e.member.Zone == zoneName(zone) && !e.dead && !e.frozen && e.owned[shard] {
			e.loops[shard].Post(DemandAsked{ID: r.nextAsk, Demand: d})
			return r.nextAsk
		}
	}
	return 0
}

func (r *rig) ownerOf(zone, shard int) *entry {
	for _, e := range r.entries {
		if e.member.Zone == zoneName(zone) && !e.dead && e.owned[shard] {
			return e
		}
	}
	return nil
}

// holderOf is the target that has a replica of the model.
func (r *rig) holderOf(model string) *machine {
	for _, m := range r.targets {
		for _, rep := range m.engine.State().Replicas {
			if rep.Model == model && !m.removed {
				return m
			}
		}
	}
	return nil
}

// delayOrders holds up what the entries send to targets from now on.
func (r *rig) delayOrders(d time.Duration) {
	r.net.Delay = func(_, to netip.AddrPort) time.Duration {
		for _, m := range r.targets {
			if m.row.Addr == to {
				return d
			}
		}
		return 0
	}
}

// loaded counts the replicas of a model that are truly in memory.
func (r *rig) loaded(model string) int {
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

// dump reads the KV service's items once for each event.
func (r *rig) dump() []ports.Item {
	if r.dumpedAt != r.checked {
		r.items, r.dumpedAt = r.store.Dump(), r.checked
	}
	return r.items
}

func (r *rig) plans() map[string]place.Plan {
	plans := make(map[string]place.Plan)
	for _, item := range r.dump() {
		if !strings.HasPrefix(item.Key, "zone/") {
			continue
		}
		if p, ok := r.decoded[item.Revision].(place.Plan); ok {
			plans[permit.ShardName(p.Zone, p.Shard)] = p
			continue
		}
		for z := range r.size.zones {
			for n := range r.size.shards {
				if item.Key == fmt.Sprintf("zone/%s/shard/%d", zoneName(z), n) {
					if p, err := place.Decode(item.Value, zoneName(z), n); err == nil {
						plans[permit.ShardName(zoneName(z), n)] = p
						r.decoded[item.Revision] = p
					}
				}
			}
		}
	}
	return plans
}

func (r *rig) ledger() map[string]permit.Resource {
	all := make(map[string]permit.Resource)
	for _, item := range r.dump() {
		if !strings.HasPrefix(item.Key, "permit/") {
			continue
		}
		l, known := r.decoded[item.Revision].(permit.Ledger)
		if !known {
			l, _ = permit.Decode(item.Value)
			r.decoded[item.Revision] = l
		}
		if l.Resources != nil {
			for name, res := range l.Resources {
				all[name] = res
			}
		}
	}
	return all
}

func (r *rig) failf(format string, args ...any) {
	if r.fault == "" {
		r.fault = r.clock.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
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
