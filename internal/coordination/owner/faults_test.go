package owner

import (
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

// actions are what the state machine may do next.
func (r *rig) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"demand":       r.someDemand,
		"demandMore":   r.someDemand,
		"passMoment":   func(t *rapid.T) { r.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
		"passWhile":    func(t *rapid.T) { r.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
		"kill":         r.killSome,
		"restart":      r.restartSome,
		"stop":         r.stopSome,
		"freeze":       r.freezeSome,
		"resume":       r.resumeSome,
		"faultKV":      r.faultKV,
		"healKV":       r.healKV,
		"cut":          r.cutSome,
		"delay":        r.delaySome,
		"heal":         func(*rapid.T) { r.healNet() },
		"bootTarget":   r.bootSome,
		"changeTarget": r.changeSome,
		"work":         r.workSome,
		"limit":        r.changeLimit,
	}
}

func (r *rig) someDemand(t *rapid.T) {
	d := ports.Demand{
		Model:   modelName(rapid.IntRange(0, r.size.models-1).Draw(t, "model")),
		Waiting: rapid.IntRange(1, 9).Draw(t, "waiting"),
		Within:  time.Duration(rapid.IntRange(1, 20).Draw(t, "within")) * time.Second,
		From:    "caller",
	}
	if d.Model == "model-0" {
		d.Adapter = rapid.SampledFrom([]string{"", "lora", "lora-1", "lora-2"}).Draw(t, "adapter")
	}
	zone := rapid.IntRange(0, r.size.zones-1).Draw(t, "zone")
	shard := rapid.IntRange(0, r.size.shards-1).Draw(t, "shard")
	for _, e := range r.entries {
		// A frozen or superseded entry that still believes gets it as well.
		if e.member.Zone == zoneName(zone) && !e.dead && e.owned[shard] {
			r.nextAsk++
			id, loop := r.nextAsk, e.loops[shard]
			e.gate(e.incarnation, func() { loop.Post(DemandAsked{ID: id, Demand: d}) })
		}
	}
}

func (r *rig) someEntry(t *rapid.T) *entry {
	return r.entries[rapid.IntRange(0, len(r.entries)-1).Draw(t, "entry")]
}

func (r *rig) someTarget(t *rapid.T) *machine {
	return r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "target")]
}

func (r *rig) killSome(t *rapid.T) {
	if e := r.someEntry(t); !e.dead {
		e.kill()
	}
}

func (r *rig) restartSome(t *rapid.T) {
	e := r.someEntry(t)
	if !e.dead {
		e.kill()
	}
	r.logf("%s restarted", e.member.ID)
	e.start()
}

func (r *rig) stopSome(t *rapid.T) {
	if e := r.someEntry(t); !e.dead && !e.frozen {
		r.logf("%s asked to stop", e.member.ID)
		e.member.Phase = ports.MemberLeaving
		e.post(StopAsked{})
	}
}

func (r *rig) freezeSome(t *rapid.T) {
	if e := r.someEntry(t); !e.dead && !e.frozen {
		e.freeze()
	}
}

func (r *rig) resumeSome(t *rapid.T) {
	if e := r.someEntry(t); e.frozen {
		e.resume()
	}
}

func (r *rig) faultKV(t *rapid.T) {
	e := r.someEntry(t)
	f := world.KVFaults{Latency: 4 * time.Millisecond}
	kind := rapid.SampledFrom([]string{"down", "lose", "slow", "late"}).Draw(t, "kind")
	switch kind {
	case "down":
		f.Down = true
	case "lose":
		f.LoseAnswers = 0.5
	case "slow":
		f.Latency = 2 * time.Second
	case "late":
		e.kv.late = 0.5
	}
	e.kv.SetFaults(f)
	r.logf("%s KV %s", e.member.ID, kind)
}

func (r *rig) healKV(t *rapid.T) {
	e := r.someEntry(t)
	e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	e.kv.late = 0
	r.logf("%s KV healed", e.member.ID)
}

func (r *rig) cutSome(t *rapid.T) {
	e, m := r.someEntry(t), r.someTarget(t)
	way := rapid.SampledFrom([]string{"to", "from", "both"}).Draw(t, "way")
	r.net.Cut(e.member.Addr, m.row.Addr, way != "from")
	r.net.Cut(m.row.Addr, e.member.Addr, way != "to")
	r.logf("cut %s %s %s", e.member.ID, way, m.row.ID)
}

// delaySome holds orders up on their way, for less than an order's transit.
func (r *rig) delaySome(t *rapid.T) {
	most := rapid.IntRange(100, 12000).Draw(t, "ms")
	r.net.Delay = func(_, _ netip.AddrPort) time.Duration {
		return time.Duration(r.random.IntN(most)) * time.Millisecond
	}
	r.logf("delay up to %d ms", most)
}

func (r *rig) healNet() {
	for _, e := range r.entries {
		for _, m := range r.targets {
			r.net.Cut(e.member.Addr, m.row.Addr, false)
			r.net.Cut(m.row.Addr, e.member.Addr, false)
		}
	}
	r.net.Delay = nil
	r.logf("network healed")
}

func (r *rig) bootSome(t *rapid.T) {
	if m := r.someTarget(t); !m.removed {
		r.logf("%s restarted empty", m.row.ID)
		r.boot(m)
	}
}

func (r *rig) changeSome(t *rapid.T) {
	m := r.someTarget(t)
	if m.removed {
		return
	}
	what := rapid.SampledFrom([]string{"leaving", "staying", "failing", "working", "slow", "fast", "news", "reclaimed"}).Draw(t, "what")
	switch what {
	case "leaving", "staying":
		m.engine.SetLeaving(what == "leaving")
	case "failing", "working":
		m.failing = what == "failing"
	case "slow":
		m.slow = 20 * time.Second
	case "fast":
		m.slow = 0
	case "news":
		for _, e := range r.entries {
			e.post(NewsArrived{ports.TargetNews{Target: m.row.ID, Failing: true}})
		}
	case "reclaimed":
		if r.removed < len(r.targets)/2 {
			r.removed++
			r.remove(m)
		}
	}
	r.logf("%s %s", m.row.ID, what)
}

// remove reclaims a target's instance: its engine ends, and the list shows it later.
func (r *rig) remove(m *machine) {
	m.removed = true
	m.boots++
	r.net.AddEngine(m.row.Addr, nil)
	r.setList()
}

// workSome keeps a replica busy for a while.
func (r *rig) workSome(t *rapid.T) {
	m := r.someTarget(t)
	for _, rep := range m.engine.State().Replicas {
		adapter := ""
		if len(rep.Adapters) > 0 {
			adapter = rapid.SampledFrom(rep.Adapters).Draw(t, "with")
		}
		if end, ok := m.engine.BeginWith(rep.Replica, adapter); ok {
			r.clock.After(time.Duration(rapid.IntRange(1, 30).Draw(t, "s"))*time.Second, end)
			return
		}
	}
}

func (r *rig) changeLimit(t *rapid.T) {
	r.setLimit(rapid.IntRange(0, 4).Draw(t, "max"))
}

func (r *rig) setLimit(n int) {
	r.logf("maximum is %d", n)
	r.config = r.newConfig(r.config.Version+config.Version(1), n)
	for _, e := range r.entries {
		e.post(ConfigChanged{r.config})
	}
}

// healAll ends every fault and starts what is down.
func (r *rig) healAll() {
	r.healNet()
	for _, m := range r.targets {
		m.failing, m.slow = false, 0
		m.engine.SetLeaving(false)
	}
	for _, e := range r.entries {
		e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
		e.kv.late = 0
		if e.frozen {
			e.resume()
		}
		if e.dead || e.stopped == len(e.shards) {
			if !e.dead {
				e.kill()
			}
			e.start()
		}
	}
	r.setLimit(r.size.maxReplicas)
}
