package vday

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Window is the part of a day that RunOwned drives.
type Window struct{ From, To time.Duration }

// Periods of the stand-in for entries in RunOwned.
const (
	demandEvery = time.Second
	listEvery   = 2 * time.Second
	ownedReady  = 15 * time.Second
)

// ownedDriver runs a shard's owner with its policies, where driver asks the
// policies themselves.
type ownedDriver struct {
	shape   Shape
	clock   *timer.Virtual
	loop    *drive.Loop
	self    ports.Member
	engines map[string]*engmem.Engine
	rows    map[string]ports.Replica
	running map[string]int
	idle    map[string]time.Time
	models  map[string]ModelSpec
	waiting map[string][]*caller
	refused map[string]string
	asked   map[uint64]string
	nextAsk uint64
	result  Result
}

// RunOwned drives the owner of one shard that holds all targets of the
// deployment through a part of a trace. The decisions reach the targets as
// orders and come back as reports, with their delays.
func RunOwned(s Shape, t Trace, policies policy.Set, seed uint64, window Window) Result {
	clock := timer.NewVirtual(time.Date(2026, 3, 28, 0, 0, 0, 0, time.UTC).Add(window.From - ownedReady))
	d := &ownedDriver{
		shape: s, clock: clock,
		self: ports.Member{
			ID: "entry-1", Incarnation: 1, Zone: s.Zones[0], Region: "region", Phase: ports.MemberAlive,
			Addr: netip.MustParseAddrPort("10.0.0.1:80"),
		},
		engines: make(map[string]*engmem.Engine),
		rows:    make(map[string]ports.Replica),
		running: make(map[string]int),
		idle:    make(map[string]time.Time),
		models:  make(map[string]ModelSpec),
		waiting: make(map[string][]*caller),
		refused: make(map[string]string),
		asked:   make(map[uint64]string),
		result:  Result{Refusals: make(map[string]int)},
	}
	for _, m := range t.Models {
		d.models[m.Name] = m
	}
	d.start(policies, rand.New(rand.NewPCG(seed, 3)))
	clock.Advance(ownedReady)
	for _, r := range t.Requests {
		if r.At >= window.From && r.At < window.To {
			clock.After(r.At-window.From, func() { d.arrive(r) })
		}
	}
	clock.Advance(window.To - window.From)
	// In order, so that the sum of the hours is the same every time.
	for _, id := range slices.Sorted(maps.Keys(d.idle)) {
		d.endIdle(id)
	}
	for _, callers := range d.waiting {
		d.result.Unfinished += len(callers)
	}
	return d.result
}

// start sets up the targets and the owner.
func (d *ownedDriver) start(policies policy.Set, random *rand.Rand) {
	net := world.NewNet(d.clock, time.Millisecond)
	rows := d.addTargets(net, random)
	kv := world.NewKV(kvmem.NewStore(d.clock), d.clock, random)
	kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	side := net.From(d.self.Addr)
	part := owner.New(owner.Settings{Self: d.self, Zone: d.self.Zone, Region: d.self.Region, StoreSlots: d.shape.StoreLoads}, policies, random)
	d.loop = drive.NewLoop(part, ports.Env{KV: kv, Engine: side, Peers: side, Timer: d.clock}, drive.WithListener(d.noted))
	d.loop.Post(owner.ConfigChanged{Config: d.config()})
	d.loop.Post(owner.Start{})
	d.loop.Post(owner.MembersChanged{Members: []ports.Member{d.self}})
	d.loop.Post(owner.TargetsChanged{Targets: rows})
	timer.Every(d.clock, listEvery, func() { d.loop.Post(owner.TargetsChanged{Targets: rows}) })
}

// addTargets makes an engine for each target, some checkpoints on its disk.
func (d *ownedDriver) addTargets(net *world.Net, random *rand.Rand) []ports.Instance {
	names := make([]string, 0, len(d.models))
	for i := range len(d.models) {
		names = append(names, fmt.Sprintf("model-%03d", i))
	}
	var rows []ports.Instance
	for i := range d.shape.TargetsPerZone * len(d.shape.Zones) {
		row := ports.Instance{
			ID: fmt.Sprintf("target-%02d", i), Kind: ports.InstanceTarget, Zone: d.self.Zone, Region: d.self.Region,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		}
		cached := make(map[string]ports.Tier)
		for range len(names) / 5 {
			cached[names[random.IntN(len(names))]] = ports.TierDisk
		}
		engine := engmem.NewEngine(row.ID, "boot-1", d.shape.AcceleratorBytes, d.fetch, engmem.WithCached(cached))
		net.AddEngine(row.Addr, engine)
		d.engines[row.ID] = engine
		rows = append(rows, row)
	}
	return rows
}

// fetch is the time of a load; checkpoints are named after their models.
func (d *ownedDriver) fetch(checkpoint string, tier ports.Tier, done func(error)) {
	d.result.Loads++
	d.clock.After(engmem.LoadTime(tier, d.models[checkpoint].LoadTime), func() { done(nil) })
}

func (d *ownedDriver) config() *config.Config {
	c := &config.Config{Version: 1, Models: make(map[string]config.Model), Rules: make(map[string]config.Rule)}
	for name, m := range d.models {
		c.Models[name] = config.Model{
			Checkpoint: name, MemoryBytes: m.MemoryBytes, LoadTime: config.Duration(m.LoadTime), Concurrency: concurrency,
		}
		c.Rules[name] = config.Rule{MaxReplicas: maxReplicas}
	}
	return c
}

// noted follows the owner's routing rows and its answers to demands.
func (d *ownedDriver) noted(value any) {
	switch n := value.(type) {
	case owner.TableChanged:
		for _, id := range n.Removed {
			d.endIdle(id)
			delete(d.rows, id)
		}
		for _, row := range n.Replicas {
			d.follow(row)
		}
	case owner.DemandAnswered:
		if n.Reply.Status == ports.DemandRefused || n.Reply.Status == ports.DemandQueued {
			d.refused[d.asked[n.ID]] = n.Reply.Reason
		}
		delete(d.asked, n.ID)
	}
}

func (d *ownedDriver) follow(row ports.Replica) {
	was, known := d.rows[row.ID]
	d.rows[row.ID] = row
	switch {
	case row.Phase != ports.PhaseReady:
		d.endIdle(row.ID)
	case !known || was.Phase != ports.PhaseReady:
		d.idle[row.ID] = d.clock.Now()
		waiting := d.waiting[row.Model]
		delete(d.waiting, row.Model)
		for _, c := range waiting {
			d.admit(c)
		}
	}
}

func (d *ownedDriver) endIdle(id string) {
	from, ok := d.idle[id]
	if !ok {
		return
	}
	share := float64(d.models[d.rows[id].Model].MemoryBytes) / float64(d.shape.AcceleratorBytes)
	d.result.IdleHours += share * d.clock.Now().Sub(from).Hours()
	delete(d.idle, id)
}

func (d *ownedDriver) arrive(r Request) {
	d.result.Requests++
	c := &caller{request: r, arrived: d.clock.Now(), deadline: d.clock.Now().Add(r.Deadline)}
	d.clock.After(r.Deadline, func() { d.expire(c) })
	d.admit(c)
}

// admit serves a caller, or lets it wait and tells the owner.
func (d *ownedDriver) admit(c *caller) {
	if c.done || d.serve(c) {
		return
	}
	model := c.request.Model
	d.waiting[model] = append(d.waiting[model], c)
	if len(d.waiting[model]) == 1 {
		d.demand(model)
	}
}

// demand tells the owner of those who wait, again and again while they do.
func (d *ownedDriver) demand(model string) {
	waiting := d.waiting[model]
	if len(waiting) == 0 {
		return
	}
	d.nextAsk++
	d.asked[d.nextAsk] = model
	d.loop.Post(owner.DemandAsked{ID: d.nextAsk, Demand: ports.Demand{
		Model: model, Class: config.ClassInteractive, Waiting: len(waiting),
		Within: waiting[0].deadline.Sub(d.clock.Now()), From: d.self.ID, Zone: d.self.Zone,
	}})
	d.clock.After(demandEvery, func() { d.demand(model) })
}

// serve begins a request on the ready replica with the least to do.
func (d *ownedDriver) serve(c *caller) bool {
	best := ""
	for id, row := range d.rows {
		if row.Model != c.request.Model || row.Phase != ports.PhaseReady || row.Leaving {
			continue
		}
		if best == "" || d.running[id] < d.running[best] || d.running[id] == d.running[best] && id < best {
			best = id
		}
	}
	if best == "" {
		return false
	}
	end, ok := d.engines[d.rows[best].Target].Begin(best)
	if !ok {
		return false
	}
	c.done = true
	wait := d.clock.Now().Sub(c.arrived)
	d.result.Waits = append(d.result.Waits, wait)
	if wait > 0 {
		d.result.ColdWaits = append(d.result.ColdWaits, wait)
	}
	d.endIdle(best)
	d.running[best]++
	d.clock.After(c.request.Takes, func() {
		end()
		d.running[best]--
		if d.running[best] == 0 && d.rows[best].Phase == ports.PhaseReady {
			d.idle[best] = d.clock.Now()
		}
	})
	return true
}

func (d *ownedDriver) expire(c *caller) {
	if c.done {
		return
	}
	c.done = true
	model := c.request.Model
	var left []*caller
	for _, other := range d.waiting[model] {
		if other != c {
			left = append(left, other)
		}
	}
	d.waiting[model] = left
	reason := "the load does not end in time"
	if d.refused[model] != "" {
		reason = d.refused[model]
	}
	d.result.Refusals[reasonClass(reason)]++
	d.result.Waits = append(d.result.Waits, c.request.Deadline)
	d.result.ColdWaits = append(d.result.ColdWaits, c.request.Deadline)
}
