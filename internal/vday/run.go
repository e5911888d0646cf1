package vday

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Periods of the driver's own checks.
const (
	retryEvery   = time.Second
	preloadEvery = 30 * time.Second
)

// driver runs one set of policies over one trace.
type driver struct {
	shape    Shape
	policies policy.Set
	clock    *timer.Virtual
	start    time.Time
	models   map[string]*model
	order    []*model
	targets  []*target
	result   Result

	fetching int
	starts   []time.Time
	nextID   int
	retrying bool
}

// Run drives the policies over a trace, which has to pass Check.
func Run(s Shape, t Trace, policies policy.Set, seed uint64) Result {
	start := time.Date(2026, 3, 28, 0, 0, 0, 0, time.UTC)
	d := &driver{
		shape:    s,
		policies: policies,
		clock:    timer.NewVirtual(start),
		start:    start,
		models:   make(map[string]*model),
		result:   Result{Refusals: make(map[string]int)},
	}
	for _, spec := range t.Models {
		m := &model{ModelSpec: spec}
		d.models[spec.Name] = m
		d.order = append(d.order, m)
	}
	d.addTargets(rand.New(rand.NewPCG(seed, 3)))
	for _, r := range t.Requests {
		d.clock.After(r.At, func() { d.arrive(r) })
	}
	timer.Every(d.clock, preloadEvery, d.preload)
	d.clock.Advance(dayLength)
	d.finish()
	return d.result
}

// addTargets sets up the targets with some checkpoints on their disks.
func (d *driver) addTargets(random *rand.Rand) {
	for _, zone := range d.shape.Zones {
		for i := range d.shape.TargetsPerZone {
			t := &target{id: fmt.Sprintf("%s-%d", zone, i), zone: zone, total: d.shape.AcceleratorBytes, free: d.shape.AcceleratorBytes}
			t.host.limit, t.disk.limit = d.shape.HostBytes, d.shape.DiskBytes
			for range len(d.order) / 5 {
				t.disk.use(d.order[random.IntN(len(d.order))].ModelSpec)
			}
			d.targets = append(d.targets, t)
		}
	}
}

// arrive serves a request on a ready replica or lets it wait for one.
func (d *driver) arrive(r Request) {
	now := d.clock.Now()
	m := d.models[r.Model]
	m.touch(now, policy.KeepGap)
	d.result.Requests++
	if rep := m.pick(); rep != nil {
		d.result.Waits = append(d.result.Waits, 0)
		d.serve(rep, r)
	} else {
		c := &caller{request: r, arrived: now, deadline: now.Add(r.Deadline)}
		m.waiting = append(m.waiting, c)
		d.clock.After(r.Deadline, func() { d.expire(m, c) })
	}
	if d.wants(m) {
		d.pump()
	}
}

// pick returns the ready replica with the least to do.
func (m *model) pick() *replica {
	var best *replica
	for _, r := range m.replicas {
		if r.ready && (best == nil || r.running < best.running) {
			best = r
		}
	}
	return best
}

func (d *driver) serve(r *replica, req Request) {
	d.endIdle(r)
	r.running++
	r.lastUsed = d.clock.Now()
	d.clock.After(req.Takes, func() { d.end(r) })
}

// end finishes a request; a replica without further work stays for its
// keep-alive.
func (d *driver) end(r *replica) {
	r.running--
	r.lastUsed = d.clock.Now()
	if r.running == 0 {
		d.rest(r)
	}
}

func (d *driver) rest(r *replica) {
	now := d.clock.Now()
	r.idleFrom = now
	keep := d.policies.KeepAlive.Decide(now, r.model.view())
	d.clock.After(keep, func() {
		if !r.gone && r.running == 0 && r.idleFrom.Equal(now) {
			d.unload(r)
			d.pump()
		}
	})
}

func (d *driver) endIdle(r *replica) {
	if r.running > 0 || r.idleFrom.IsZero() {
		return
	}
	share := float64(r.model.MemoryBytes) / float64(d.shape.AcceleratorBytes)
	d.result.IdleHours += share * d.clock.Now().Sub(r.idleFrom).Hours()
	r.idleFrom = time.Time{}
}

func (d *driver) unload(r *replica) {
	d.endIdle(r)
	r.gone, r.ready = true, false
	r.target.free += r.model.MemoryBytes
	r.target.replicas = without(r.target.replicas, r)
	r.model.replicas = without(r.model.replicas, r)
}

func without(all []*replica, r *replica) []*replica {
	return slices.DeleteFunc(all, func(other *replica) bool { return other == r })
}

// expire refuses a caller whose deadline has come.
func (d *driver) expire(m *model, c *caller) {
	if c.done {
		return
	}
	c.done = true
	m.waiting = slices.DeleteFunc(m.waiting, func(other *caller) bool { return other == c })
	reason := "the load does not end in time"
	if m.refused != "" {
		reason = m.refused
	}
	d.result.Refusals[reasonClass(reason)]++
	d.result.Waits = append(d.result.Waits, c.request.Deadline)
	d.result.ColdWaits = append(d.result.ColdWaits, c.request.Deadline)
}

// pump starts the loads that are wanted, in the order of the policy, as far as
// targets and the weight store allow.
func (d *driver) pump() {
	wanting := d.wanting()
	if len(wanting) == 0 {
		return
	}
	now := d.clock.Now()
	requests := make([]policy.LoadRequest, len(wanting))
	for i, m := range wanting {
		requests[i] = policy.LoadRequest{Model: m.view(), Since: m.since, Tier: d.bestTier(m)}
	}
	for _, i := range d.policies.Order.Decide(now, requests) {
		d.load(wanting[i], requests[i].Model)
	}
	d.retry()
}

// retry looks again while there are loads that could not start.
func (d *driver) retry() {
	if d.retrying || len(d.wanting()) == 0 {
		return
	}
	d.retrying = true
	d.clock.After(retryEvery, func() {
		d.retrying = false
		d.pump()
	})
}

func (d *driver) wanting() []*model {
	var wanting []*model
	for _, m := range d.order {
		if d.wants(m) {
			if m.since.IsZero() {
				m.since = d.clock.Now()
			}
			wanting = append(wanting, m)
		}
	}
	return wanting
}

func (d *driver) wants(m *model) bool {
	if len(m.replicas) == 0 {
		return len(m.waiting) > 0 || m.preload
	}
	v := m.view()
	v.PressedFor = m.pressure.Observe(d.clock.Now(), v)
	if v.Ready == 0 || v.Running == 0 {
		return false
	}
	return d.policies.Scale.Decide(d.clock.Now(), policy.ScaleInput{Model: v}) > len(m.replicas)
}

func (d *driver) bestTier(m *model) ports.Tier {
	best := ports.TierRemote
	for _, t := range d.targets {
		switch t.tier(m) {
		case ports.TierMemory:
			return ports.TierMemory
		case ports.TierDisk:
			best = ports.TierDisk
		case ports.TierRemote:
		}
	}
	return best
}

func (d *driver) load(m *model, v policy.ModelView) {
	now := d.clock.Now()
	placed := d.policies.Place.Decide(now, policy.PlaceInput{Model: v, Targets: d.views(m)})
	m.refused = placed.Refused
	if placed.Refused != "" {
		m.preload = false
		return
	}
	i := slices.IndexFunc(d.targets, func(t *target) bool { return t.id == placed.Target })
	t := d.targets[i]
	tier := t.tier(m)
	if tier == ports.TierRemote && !d.takeSlot() {
		return
	}
	for _, id := range placed.Evict {
		j := slices.IndexFunc(t.replicas, func(r *replica) bool { return r.id == id })
		d.result.Evictions++
		d.unload(t.replicas[j])
	}
	d.begin(m, t, tier)
}

// takeSlot takes a load from the weight store's rate, or returns false.
func (d *driver) takeSlot() bool {
	now := d.clock.Now()
	d.starts = slices.DeleteFunc(d.starts, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if d.fetching >= d.shape.StoreLoads || len(d.starts) >= d.shape.StoreLoads {
		return false
	}
	d.fetching++
	d.starts = append(d.starts, now)
	return true
}

func (d *driver) begin(m *model, t *target, tier ports.Tier) {
	d.nextID++
	d.result.Loads++
	if m.preload && len(m.waiting) == 0 {
		d.result.Preloads++
		m.lastPreload = d.clock.Now()
	}
	m.since, m.preload = time.Time{}, false
	r := &replica{id: fmt.Sprintf("r%06d", d.nextID), model: m, target: t}
	t.free -= m.MemoryBytes
	t.replicas = append(t.replicas, r)
	m.replicas = append(m.replicas, r)
	d.clock.After(policy.TierTime(tier, m.LoadTime), func() { d.loaded(r, tier) })
}

func (d *driver) loaded(r *replica, tier ports.Tier) {
	if tier == ports.TierRemote {
		d.fetching--
	}
	now := d.clock.Now()
	r.ready, r.loadedAt, r.lastUsed = true, now, now
	r.target.host.use(r.model.ModelSpec)
	r.target.disk.use(r.model.ModelSpec)
	waiting := r.model.waiting
	r.model.waiting = nil
	for _, c := range waiting {
		c.done = true
		d.result.Waits = append(d.result.Waits, now.Sub(c.arrived))
		d.result.ColdWaits = append(d.result.ColdWaits, now.Sub(c.arrived))
		d.serve(r, c.request)
	}
	if r.running == 0 {
		d.rest(r)
	}
	d.pump()
}

// views are the targets as the policy sees them.
func (d *driver) views(m *model) []policy.TargetView {
	views := make([]policy.TargetView, 0, len(d.targets))
	for _, t := range d.targets {
		v := policy.TargetView{Target: t.id, FreeBytes: t.free, TotalBytes: t.total, Tier: t.tier(m)}
		for _, r := range t.replicas {
			switch {
			case !r.ready:
				v.Loading++
			case r.running > 0:
				v.Running += r.running
			case r.model != m:
				v.Evictable = append(v.Evictable, t.replicaView(r))
			}
		}
		views = append(views, v)
	}
	return views
}

func (t *target) replicaView(r *replica) policy.ReplicaView {
	v := r.model.view()
	v.LastUsed = r.lastUsed
	return policy.ReplicaView{
		Replica:    r.id,
		Target:     t.id,
		Model:      v,
		LoadedAt:   r.loadedAt,
		ReloadTime: policy.TierTime(t.tier(r.model), r.model.LoadTime),
	}
}

// preload asks which models to load ahead of use, while nobody waits.
func (d *driver) preload() {
	if len(d.wanting()) > 0 {
		return
	}
	var views []policy.ModelView
	for _, m := range d.order {
		if len(m.replicas) == 0 {
			v := m.view()
			v.LastPreload = m.lastPreload
			v.ReloadTime = policy.TierTime(d.bestTier(m), m.LoadTime)
			views = append(views, v)
		}
	}
	for _, name := range d.policies.Preload.Decide(d.clock.Now(), views) {
		d.models[name].preload = true
	}
	d.pump()
}

// finish counts what is idle at the end of the day.
func (d *driver) finish() {
	for _, t := range d.targets {
		for _, r := range t.replicas {
			if r.ready {
				d.endIdle(r)
			}
		}
	}
	for _, m := range d.order {
		d.result.Unfinished += len(m.waiting)
	}
}
