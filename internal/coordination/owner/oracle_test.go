package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// check compares the true state of all engines and of the KV service with the
// promises.
func (r *rig) check() {
	r.checked++
	for _, m := range r.targets {
		m.state = m.engine.State()
	}
	plans, ledger := r.plans(), r.ledger()
	r.checkPermits(plans, ledger)
	r.checkTargets(plans)
	r.checkSpending(plans)
	r.checkLeases(plans)
	for _, name := range slices.Sorted(maps.Keys(r.bound)) {
		if n := r.loadedAtCheck(name); name != permit.Store && n > r.bound[name] {
			r.failf("%d replicas of %s are loaded, the maximum is %d", n, name, r.bound[name])
		}
	}
	if n := r.storeLoads(); n > defaultStoreSlots {
		r.failf("%d loads from the weight store at once", n)
	}
}

// loadedAtCheck counts the replicas of a model in memory.
func (r *rig) loadedAtCheck(model string) int {
	n := 0
	for _, m := range r.targets {
		for _, rep := range m.state.Replicas {
			if rep.Model == model && rep.Phase != ports.PhaseFailed && !m.removed {
				n++
			}
		}
	}
	return n
}

// storeLoads counts the loads that read the weight store now.
func (r *rig) storeLoads() int {
	n := 0
	for _, m := range r.targets {
		for _, rep := range m.state.Replicas {
			if _, cached := m.state.Cached["ckpt-"+rep.Model]; !m.removed && rep.Phase == ports.PhaseLoading && !cached {
				n++
			}
		}
	}
	return n
}

// checkPermits: held by shards <= granted in the ledger <= maximum. A lowered
// maximum counts from when the ledger has it and no longer grants more; that
// this comes about is checked in the end.
func (r *rig) checkPermits(plans map[string]place.Plan, ledger map[string]permit.Resource) {
	for _, shard := range slices.Sorted(maps.Keys(plans)) {
		for resource, held := range plans[shard].Permits {
			if granted := ledger[resource].Grants[shard]; held > granted {
				r.failf("shard %s holds %d of %s, the ledger grants %d", shard, held, resource, granted)
			}
		}
	}
	for _, resource := range slices.Sorted(maps.Keys(ledger)) {
		limit := r.config.Rules[resource].MaxReplicas
		if resource == permit.Store {
			limit = defaultStoreSlots
		}
		granted := ledger[resource].Granted()
		if ledger[resource].Version >= r.config.Version || resource == permit.Store {
			r.bound[resource] = max(limit, min(r.bound[resource], granted))
		}
		if granted > r.bound[resource] {
			r.failf("the ledger grants %d of %s, the maximum is %d", granted, resource, r.bound[resource])
		}
	}
}

// checkTargets: no order would have overcommitted memory, what is in memory
// fits, and what a target that ignores fencing holds stands in the plan.
func (r *rig) checkTargets(plans map[string]place.Plan) {
	for _, m := range r.targets {
		if n := m.engine.Record().Overcommitted; n > 0 {
			r.failf("%d orders would have overcommitted %s", n, m.row.ID)
		}
		if used := m.engine.Record().UsedBytes; used > m.state.MemoryBytes {
			r.failf("%s has %d bytes and holds %d", m.row.ID, m.state.MemoryBytes, used)
		}
		if m.fenced || m.removed {
			continue
		}
		p := plans[permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))].Targets[m.row.ID]
		for _, rep := range m.state.Replicas {
			i := slices.IndexFunc(p.Replicas, func(x place.Replica) bool { return x.ID == rep.Replica })
			if rep.Phase != ports.PhaseFailed && (i < 0 || p.Boot != m.state.Boot) {
				r.failf("%s holds %s, which the plan does not show", m.row.ID, rep.Replica)
				continue
			}
			for _, adapter := range rep.Adapters {
				if _, planned := p.Replicas[i].Adapters[adapter]; !planned {
					r.failf("%s holds adapter %s of %s, which the plan does not show", m.row.ID, adapter, rep.Replica)
				}
			}
		}
	}
}

// checkLeases: whoever counts on its lease is named in the shard's value, and
// the KV service still has the lease. Frozen entries count as well.
func (r *rig) checkLeases(plans map[string]place.Plan) {
	if r.deleted {
		return
	}
	keys := make(map[string]bool)
	for _, item := range r.dump() {
		keys[item.Key] = true
	}
	for _, e := range r.entries {
		for n, s := range e.shards {
			if e.dead || !e.owned[n] || !s.ownership.leaseNamed || !r.clock.Now().Before(s.leaseSafeUntil()) {
				continue
			}
			held := plans[s.ledgerName()].Owner
			if key := s.ownership.lease.key; held.LeaseKey != key || !keys[key] {
				r.failf("%s counts on the lease of shard %s, which %s holds", e.member.ID, s.ledgerName(), holderName(held))
			}
		}
	}
}

// checkSpending: a shard's targets hold no more replicas than the shard's value
// has permits, at any moment, planned or not.
func (r *rig) checkSpending(plans map[string]place.Plan) {
	spent := make(map[string]map[string]int)
	for _, m := range r.targets {
		if m.removed {
			continue
		}
		shard := permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))
		if spent[shard] == nil {
			spent[shard] = make(map[string]int)
		}
		for _, rep := range m.state.Replicas {
			if rep.Phase != ports.PhaseFailed {
				spent[shard][rep.Model]++
			}
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(spent)) {
		for model, n := range spent[shard] {
			if held := plans[shard].Permits[model]; n > held {
				r.failf("shard %s has %d replicas of %s loaded and holds %d permits", shard, n, model, held)
			}
		}
	}
}

// demandEverywhere keeps callers waiting for every model in every zone.
func (r *rig) demandEverywhere(period time.Duration) {
	end := r.clock.Now().Add(period)
	for r.clock.Now().Before(end) && r.fault == "" {
		for z := range r.size.zones {
			for m := range r.size.models {
				for n := range r.size.shards {
					r.demand(z, n, ports.Demand{Model: modelName(m), Waiting: 1, Within: 10 * time.Second, From: "caller"})
				}
			}
		}
		r.run(2 * time.Second)
	}
}

// hasSent tells whether a load of the model is on its way or through.
func (r *rig) hasSent(model string) bool {
	for _, rep := range r.ownerOf(0, 0).shards[0].replicasOf(model) {
		if rep.sent {
			return true
		}
	}
	return false
}

// describe shows the shards' own view for a failure's report.
func (r *rig) describe() string {
	var b strings.Builder
	for _, e := range r.entries {
		for _, s := range e.shards {
			st := s.Status()
			fmt.Fprintf(&b, "%s shard %d %s epoch %d left %v unwritten %d permits %v\n", e.member.ID, st.Shard, st.Stage, st.Epoch, st.LeaseLeft, st.Unwritten, st.Permits)
			for _, t := range st.Targets {
				fmt.Fprintf(&b, "  %+v\n", t)
			}
			for _, rep := range st.Replicas {
				fmt.Fprintf(&b, "  %+v\n", rep)
			}
		}
	}
	for name, res := range r.ledger() {
		fmt.Fprintf(&b, "ledger %s %+v\n", name, res)
	}
	return b.String()
}
