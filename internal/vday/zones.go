package vday

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// LinkShape is the link between the regions of a deployment: the last zone of a
// shape stands in the second one, the weight store in the first.
type LinkShape struct {
	BitsPerSecond int64
	// Known tells whether the entries are told of the link and the store's region.
	Known bool
	// CutFrom and CutTo, if they differ, cut the regions from each other.
	CutFrom, CutTo time.Duration
}

// Names of the two regions.
const (
	storeRegion = "near"
	farRegion   = "far"
)

// ZonesResult is a Result with what crossed the link.
type ZonesResult struct {
	Result
	// LinkBytes is what loads fetched over the link, FarLoads how many did.
	LinkBytes float64
	FarLoads  int
	// ToldEarly counts the callers who were refused well before their deadline.
	ToldEarly int
}

// zonesDriver runs the owner of one shard for each zone; callers come to the
// zone that the trace names, whose entry asks the zones as an entry does.
type zonesDriver struct {
	shape   Shape
	link    LinkShape
	clock   *timer.Virtual
	net     *world.Net
	store   *kvmem.Store
	random  *rand.Rand
	pipe    *world.Pipe
	zones   []*zoneRun
	models  map[string]ModelSpec
	engines map[string]*engmem.Engine
	running map[string]int
	asked   map[uint64]func(ports.DemandReply)
	yields  map[uint64]func(ports.PeerReply)
	nextAsk uint64
	cut     bool
	// idleBytes is accelerator memory held by idle replicas, summed over seconds.
	idleBytes uint64
	result    ZonesResult
}

// zoneRun is one zone: its entry, its targets and its callers.
type zoneRun struct {
	driver  *zonesDriver
	self    ports.Member
	loop    *drive.Loop
	targets []ports.Instance
	rows    map[string]ports.Replica
	waiting map[string][]*caller
}

// RunZones drives one owner for each zone through a part of a trace.
func RunZones(s Shape, t Trace, policies policy.Set, seed uint64, window Window, shape LinkShape) ZonesResult {
	clock := timer.NewVirtual(time.Date(2026, 3, 28, 0, 0, 0, 0, time.UTC).Add(window.From - ownedReady))
	d := &zonesDriver{
		shape: s, link: shape, clock: clock,
		net:     world.NewNet(clock, time.Millisecond),
		store:   kvmem.NewStore(clock),
		random:  rand.New(rand.NewPCG(seed, 3)),
		pipe:    world.NewPipe(clock, float64(shape.BitsPerSecond)),
		models:  make(map[string]ModelSpec),
		engines: make(map[string]*engmem.Engine),
		running: make(map[string]int),
		asked:   make(map[uint64]func(ports.DemandReply)),
		yields:  make(map[uint64]func(ports.PeerReply)),
	}
	d.result.Refusals = make(map[string]int)
	for _, m := range t.Models {
		d.models[m.Name] = m
	}
	for i, zone := range s.Zones {
		d.addZone(i, zone, policies)
	}
	d.tellMembers()
	clock.Advance(ownedReady)
	if shape.CutFrom != shape.CutTo {
		clock.After(shape.CutFrom-window.From, func() { d.setCut(true) })
		clock.After(shape.CutTo-window.From, func() { d.setCut(false) })
	}
	timer.Every(clock, time.Second, d.countIdle)
	for _, r := range t.Requests {
		if r.At >= window.From && r.At < window.To {
			clock.After(r.At-window.From, func() { d.arrive(r) })
		}
	}
	clock.Advance(window.To - window.From)
	for _, z := range d.zones {
		for _, callers := range z.waiting {
			d.result.Unfinished += len(callers)
		}
	}
	d.result.LinkBytes = d.pipe.Carried()
	d.result.IdleHours = float64(d.idleBytes) / float64(s.AcceleratorBytes) / time.Hour.Seconds()
	return d.result
}

// countIdle adds a second of what replicas with nothing to do hold.
func (d *zonesDriver) countIdle() {
	for _, z := range d.zones {
		for id, row := range z.rows {
			if row.Phase == ports.PhaseReady && d.running[id] == 0 {
				d.idleBytes += d.models[row.Model].MemoryBytes
			}
		}
	}
}

func (d *zonesDriver) addZone(i int, zone string, policies policy.Set) {
	region := storeRegion
	if i == len(d.shape.Zones)-1 {
		region = farRegion
	}
	z := &zoneRun{
		driver: d, rows: make(map[string]ports.Replica), waiting: make(map[string][]*caller),
		self: ports.Member{
			ID: "entry-" + zone, Incarnation: 1, Zone: zone, Region: region, Phase: ports.MemberAlive,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 1}), 80),
		},
	}
	d.zones = append(d.zones, z)
	z.addTargets(i)
	settings := owner.Settings{Self: z.self, Zone: zone, Region: region, StoreSlots: d.shape.StoreLoads}
	if d.link.Known {
		settings.StoreRegion = storeRegion
		settings.LinkBytesPerSecond = link.Settings{BitsPerSecond: d.link.BitsPerSecond, Share: 1}.BytesPerSecond()
	}
	kv := world.NewKV(d.store, d.clock, d.random)
	kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	side := d.net.From(z.self.Addr)
	part := owner.New(settings, policies, rand.New(rand.NewPCG(d.random.Uint64(), 1)))
	z.loop = drive.NewLoop(part, ports.Env{KV: kv, Engine: side, Peers: side, Timer: d.clock}, drive.WithListener(z.noted))
	d.net.AddPeer(z.self.Addr, z.handle)
	z.loop.Post(owner.ConfigChanged{Config: d.config()})
	z.loop.Post(owner.Start{})
	timer.Every(d.clock, listEvery, func() { z.loop.Post(owner.TargetsChanged{Targets: z.targets}) })
}

func (d *zonesDriver) config() *config.Config {
	c := &config.Config{Version: 1, Models: make(map[string]config.Model), Rules: make(map[string]config.Rule)}
	for name, m := range d.models {
		c.Models[name] = config.Model{
			Checkpoint: name, MemoryBytes: m.MemoryBytes, LoadTime: config.Duration(m.LoadTime), Concurrency: concurrency,
		}
		c.Rules[name] = config.Rule{MaxReplicas: maxReplicas}
	}
	return c
}

// addTargets makes an engine for each target of the zone, some checkpoints on
// its disk.
func (z *zoneRun) addTargets(i int) {
	d := z.driver
	names := slices.Sorted(maps.Keys(d.models))
	for n := range d.shape.TargetsPerZone {
		row := ports.Instance{
			ID: fmt.Sprintf("%s-%d", z.self.Zone, n), Kind: ports.InstanceTarget, Zone: z.self.Zone, Region: z.self.Region,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 1, byte(n)}), 80),
		}
		cached := make(map[string]ports.Tier)
		for range len(names) / 5 {
			cached[names[d.random.IntN(len(names))]] = ports.TierDisk
		}
		fetch := func(checkpoint string, tier ports.Tier, done func(error)) { d.fetch(z, checkpoint, tier, done) }
		engine := engmem.NewEngine(row.ID, "boot-1", d.shape.AcceleratorBytes, fetch, engmem.WithCached(cached))
		d.net.AddEngine(row.Addr, engine)
		d.engines[row.ID] = engine
		z.targets = append(z.targets, row)
	}
}

// fetch ends once the load's time has passed and, for a load from the weight
// store by a target of the other region, the checkpoint has crossed the link.
func (d *zonesDriver) fetch(z *zoneRun, checkpoint string, tier ports.Tier, done func(error)) {
	d.result.Loads++
	m := d.models[checkpoint]
	crosses := tier == ports.TierRemote && z.self.Region != storeRegion
	if crosses {
		d.result.FarLoads++
	}
	d.clock.After(engmem.LoadTime(tier, m.LoadTime), func() {
		if !crosses {
			done(nil)
			return
		}
		d.pipe.Carry(m.MemoryBytes, func() { done(nil) })
	})
}

// setCut cuts the far zone from the others, or joins them again; gossip tells
// both sides.
func (d *zonesDriver) setCut(cut bool) {
	d.cut = cut
	d.pipe.Cut(cut)
	for _, a := range d.zones {
		for _, b := range d.zones {
			if a.self.Region != b.self.Region {
				d.net.Cut(a.self.Addr, b.self.Addr, cut)
			}
		}
	}
	d.tellMembers()
}

func (d *zonesDriver) tellMembers() {
	for _, z := range d.zones {
		z.loop.Post(owner.MembersChanged{Members: z.members()})
	}
}

// members are the entries as one of them sees them.
func (z *zoneRun) members() []ports.Member {
	var all []ports.Member
	for _, other := range z.driver.zones {
		m := other.self
		if z.driver.cut && m.Region != z.self.Region {
			m.Phase = ports.MemberSilent
		}
		all = append(all, m)
	}
	return all
}

// handle answers the entry of another zone.
func (z *zoneRun) handle(msg ports.PeerMessage, done func(ports.PeerReply)) {
	d := z.driver
	d.nextAsk++
	switch m := msg.(type) {
	case ports.YieldPermit:
		if m.Shard == permit.ShardName(z.self.Zone, 0) {
			d.yields[d.nextAsk] = done
			z.loop.Post(owner.YieldAsked{ID: d.nextAsk, Yield: m})
		}
	case ports.Demand:
		d.asked[d.nextAsk] = func(r ports.DemandReply) { done(ports.PeerReply{Msg: r}) }
		z.loop.Post(owner.DemandAsked{ID: d.nextAsk, Demand: m})
	}
}

func (z *zoneRun) noted(value any) {
	d := z.driver
	switch n := value.(type) {
	case owner.TableChanged:
		for _, id := range n.Removed {
			delete(z.rows, id)
		}
		for _, row := range n.Replicas {
			z.rows[row.ID] = row
			if row.Phase == ports.PhaseReady {
				d.wake(row.Model)
			}
		}
	case owner.DemandAnswered:
		answered := d.asked[n.ID]
		delete(d.asked, n.ID)
		if answered != nil {
			answered(n.Reply)
		}
	case owner.YieldAnswered:
		yielded := d.yields[n.ID]
		delete(d.yields, n.ID)
		if yielded != nil {
			yielded(ports.PeerReply{Msg: n.Reply})
		}
	}
}

// wake lets all who wait for a model try again.
func (d *zonesDriver) wake(model string) {
	for _, z := range d.zones {
		waiting := z.waiting[model]
		delete(z.waiting, model)
		for _, c := range waiting {
			z.admit(c)
		}
	}
}

func (d *zonesDriver) arrive(r Request) {
	d.result.Requests++
	now := d.clock.Now()
	c := &caller{request: r, arrived: now, deadline: now.Add(r.Deadline)}
	for _, z := range d.zones {
		if z.self.Zone == r.Zone {
			d.clock.After(r.Deadline, func() { z.refuse(c, "the load does not end in time") })
			z.admit(c)
		}
	}
}

// admit serves a caller, or lets it wait and tells an owner.
func (z *zoneRun) admit(c *caller) {
	if c.done || z.serve(c) {
		return
	}
	model := c.request.Model
	z.waiting[model] = append(z.waiting[model], c)
	if len(z.waiting[model]) == 1 {
		z.demand(model)
	}
}

// serve begins a request on the nearest ready replica with the least to do.
func (z *zoneRun) serve(c *caller) bool {
	d := z.driver
	row, ok := z.nearest(c.request.Model)
	if !ok {
		return false
	}
	end, ok := d.engines[row.Target].Begin(row.ID)
	if !ok {
		return false
	}
	c.done = true
	wait := d.clock.Now().Sub(c.arrived)
	d.result.Waits = append(d.result.Waits, wait)
	if wait > 0 {
		d.result.ColdWaits = append(d.result.ColdWaits, wait)
	}
	d.running[row.ID]++
	d.clock.After(c.request.Takes, func() {
		end()
		d.running[row.ID]--
	})
	return true
}

func (z *zoneRun) nearest(model string) (ports.Replica, bool) {
	var best ports.Replica
	bestRing := 0
	for _, other := range z.driver.zones {
		if z.driver.cut && other.self.Region != z.self.Region {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(other.rows)) {
			row := other.rows[id]
			if row.Model != model || row.Phase != ports.PhaseReady || row.Leaving {
				continue
			}
			ring := z.ring(other)
			if best.ID == "" || ring < bestRing || ring == bestRing && z.driver.running[id] < z.driver.running[best.ID] {
				best, bestRing = row, ring
			}
		}
	}
	return best, best.ID != ""
}

// ring is 0 for the own zone, 1 for the own region and 2 beyond.
func (z *zoneRun) ring(other *zoneRun) int {
	switch {
	case z == other:
		return 0
	case z.self.Region == other.self.Region:
		return 1
	}
	return 2
}

// demand asks the zones as an entry does, again and again while callers wait.
func (z *zoneRun) demand(model string) {
	waiting := z.waiting[model]
	if len(waiting) == 0 {
		return
	}
	d := z.driver
	store := ""
	if d.link.Known {
		store = storeRegion
	}
	steps := link.Steps(model, z.self, z.members(), store)
	z.ask(model, steps, ports.DemandReply{}, false)
	d.clock.After(demandEvery, func() { z.demand(model) })
}

// ask tries the steps that are left; best is the best answer so far, and nearFailed
// tells that a zone beside the store gave none.
func (z *zoneRun) ask(model string, steps []link.Step, best ports.DemandReply, nearFailed bool) {
	waiting := z.waiting[model]
	if len(waiting) == 0 {
		return
	}
	if len(steps) == 0 {
		z.unsettled(model, best)
		return
	}
	if steps[0].Load == ports.LoadAcross && nearFailed {
		z.ask(model, steps[1:], best, nearFailed)
		return
	}
	d := z.driver
	demand := ports.Demand{
		Model: model, Class: config.ClassInteractive, Waiting: len(waiting), Load: steps[0].Load,
		Within: waiting[0].deadline.Sub(d.clock.Now()), From: z.self.ID, Zone: z.self.Zone,
	}
	for _, other := range d.zones {
		if other.self.Zone != steps[0].Zone {
			continue
		}
		d.net.From(z.self.Addr).Send(other.self.Addr, demand, func(r ports.PeerReply) {
			reply, _ := r.Msg.(ports.DemandReply)
			if reply.Status == ports.DemandAccepted || reply.Status == ports.DemandQueued && reply.Reason == "" {
				return
			}
			if best.Status != ports.DemandQueued && reply.Status != "" {
				best = reply
			}
			failed := nearFailed || r.Err != nil && steps[0].Load == ports.LoadAnywhere
			z.ask(model, steps[1:], best, failed)
		})
	}
}

// unsettled refuses the callers at once if no load will come.
func (z *zoneRun) unsettled(model string, best ports.DemandReply) {
	if z.driver.link.Known {
		best = link.OrCutOff(best, link.IsCut(z.self, z.members(), storeRegion))
	}
	if best.Status != ports.DemandRefused {
		return
	}
	for _, c := range slices.Clone(z.waiting[model]) {
		z.driver.result.ToldEarly++
		z.refuse(c, best.Reason)
	}
}

// refuse ends a caller that was not served. It counts with its whole deadline,
// however early it was told.
func (z *zoneRun) refuse(c *caller, reason string) {
	if c.done {
		return
	}
	c.done = true
	d := z.driver
	model := c.request.Model
	z.waiting[model] = slices.DeleteFunc(slices.Clone(z.waiting[model]), func(other *caller) bool { return other == c })
	d.result.Refusals[reasonClass(reason)]++
	d.result.Waits = append(d.result.Waits, c.request.Deadline)
	d.result.ColdWaits = append(d.result.ColdWaits, c.request.Deadline)
}
