package owner

import (
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

// actions returns the actions of the random state machine.
func (r *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"demand":       r.randomDemand,
		"demandMore":   r.randomDemand,
		"passMoment":   func(t *rapid.T) { r.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
		"passWhile":    func(t *rapid.T) { r.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
		"kill":         r.killEntry,
		"restart":      r.restartEntry,
		"stop":         r.stopEntry,
		"freeze":       r.freezeEntry,
		"resume":       r.resumeEntry,
		"faultKV":      r.faultKV,
		"healKV":       r.healKV,
		"cut":          r.partition,
		"delay":        r.delayMessages,
		"heal":         func(*rapid.T) { r.healNet() },
		"bootTarget":   r.restartTarget,
		"changeTarget": r.changeTarget,
		"work":         r.beginRandomRequest,
		"limit":        r.changeMaximum,
	}
}

func (r *cluster) randomDemand(t *rapid.T) {
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
		// A frozen or superseded entry that still considers itself the owner gets the
		// demand as well.
		if e.member.Zone == zoneName(zone) && !e.dead && e.owned[shard] {
			r.nextDemandID++
			id, loop := r.nextDemandID, e.loops[shard]
			e.runUnlessFrozen(e.incarnation, func() { loop.Post(DemandAsked{ID: id, Demand: d}) })
		}
	}
}

func (r *cluster) randomEntry(t *rapid.T) *entry {
	return r.entries[rapid.IntRange(0, len(r.entries)-1).Draw(t, "entry")]
}

func (r *cluster) randomTarget(t *rapid.T) *testTarget {
	return r.targets[rapid.IntRange(0, len(r.targets)-1).Draw(t, "target")]
}

func (r *cluster) killEntry(t *rapid.T) {
	if e := r.randomEntry(t); !e.dead {
		e.kill()
	}
}

func (r *cluster) restartEntry(t *rapid.T) {
	e := r.randomEntry(t)
	if !e.dead {
		e.kill()
	}
	r.logf("%s restarted", e.member.ID)
	e.start()
}

func (r *cluster) stopEntry(t *rapid.T) {
	if e := r.randomEntry(t); !e.dead && !e.frozen {
		r.logf("%s asked to stop", e.member.ID)
		e.member.Phase = ports.MemberLeaving
		e.post(StopAsked{})
	}
}

func (r *cluster) freezeEntry(t *rapid.T) {
	if e := r.randomEntry(t); !e.dead && !e.frozen {
		e.freeze()
	}
}

func (r *cluster) resumeEntry(t *rapid.T) {
	if e := r.randomEntry(t); e.frozen {
		e.resume()
	}
}

func (r *cluster) faultKV(t *rapid.T) {
	e := r.randomEntry(t)
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
		e.kv.lateShare = 0.5
	}
	e.kv.SetFaults(f)
	r.logf("%s KV %s", e.member.ID, kind)
}

func (r *cluster) healKV(t *rapid.T) {
	e := r.randomEntry(t)
	e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	e.kv.lateShare = 0
	r.logf("%s KV healed", e.member.ID)
}

func (r *cluster) partition(t *rapid.T) {
	e, m := r.randomEntry(t), r.randomTarget(t)
	way := rapid.SampledFrom([]string{"to", "from", "both"}).Draw(t, "way")
	r.net.Cut(e.member.Addr, m.row.Addr, way != "from")
	r.net.Cut(m.row.Addr, e.member.Addr, way != "to")
	r.logf("cut %s %s %s", e.member.ID, way, m.row.ID)
}

// delayMessages delays messages by random times of up to 12 s, less than MaxOrderTransit.
func (r *cluster) delayMessages(t *rapid.T) {
	most := rapid.IntRange(100, 12000).Draw(t, "ms")
	r.net.Delay = func(_, _ netip.AddrPort) time.Duration {
		return time.Duration(r.random.IntN(most)) * time.Millisecond
	}
	r.logf("delay up to %d ms", most)
}

func (r *cluster) healNet() {
	for _, e := range r.entries {
		for _, m := range r.targets {
			r.net.Cut(e.member.Addr, m.row.Addr, false)
			r.net.Cut(m.row.Addr, e.member.Addr, false)
		}
	}
	r.net.Delay = nil
	r.logf("network healed")
}

func (r *cluster) restartTarget(t *rapid.T) {
	if m := r.randomTarget(t); !m.removed {
		r.logf("%s restarted empty", m.row.ID)
		r.boot(m)
	}
}

func (r *cluster) changeTarget(t *rapid.T) {
	m := r.randomTarget(t)
	if m.removed {
		return
	}
	what := rapid.SampledFrom([]string{"leaving", "staying", "failing", "working", "slow", "fast", "news", "reclaimed"}).Draw(t, "what")
	switch what {
	case "leaving", "staying":
		m.engine.SetLeaving(what == "leaving")
	case "failing", "working":
		m.failLoads = what == "failing"
	case "slow":
		m.extraLoadTime = 20 * time.Second
	case "fast":
		m.extraLoadTime = 0
	case "news":
		for _, e := range r.entries {
			e.post(NewsArrived{ports.TargetNews{Target: m.row.ID, Failing: true}})
		}
	case "reclaimed":
		if r.removedTargets < len(r.targets)/2 {
			r.removedTargets++
			r.remove(m)
		}
	}
	r.logf("%s %s", m.row.ID, what)
}

// remove reclaims a target's instance: its engine ends, and the instance list shows that
// later.
func (r *cluster) remove(m *testTarget) {
	m.removed = true
	m.bootCount++
	r.net.AddEngine(m.row.Addr, nil)
	r.setList()
}

// beginRandomRequest keeps a replica busy for some time.
func (r *cluster) beginRandomRequest(t *rapid.T) {
	m := r.randomTarget(t)
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

func (r *cluster) changeMaximum(t *rapid.T) {
	r.setMaximum(rapid.IntRange(0, 4).Draw(t, "max"))
}

func (r *cluster) setMaximum(n int) {
	r.logf("maximum is %d", n)
	r.config = r.newConfig(r.config.Version+config.Version(1), n)
	for _, e := range r.entries {
		e.post(ConfigChanged{r.config})
	}
}

// healAll ends all faults and starts the entries that are down.
func (r *cluster) healAll() {
	r.healNet()
	for _, m := range r.targets {
		m.failLoads, m.extraLoadTime = false, 0
		m.engine.SetLeaving(false)
	}
	for _, e := range r.entries {
		e.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
		e.kv.lateShare = 0
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
	r.setMaximum(r.size.maxReplicas)
}
