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

// checkAfterEvent checks the invariants against the true state of all engines and of the
// KV service.
func (r *cluster) checkAfterEvent() {
	r.checks++
	for _, m := range r.targets {
		m.trueState = m.engine.State()
	}
	plans, ledger := r.plans(), r.ledger()
	r.checkPermits(plans, ledger)
	r.checkTargets(plans)
	r.checkPermitUse(plans)
	r.checkLeases(plans)
	for _, name := range slices.Sorted(maps.Keys(r.maxGranted)) {
		if n := r.loadedNow(name); name != permit.Store && n > r.maxGranted[name] {
			r.violated("%d replicas of %s are loaded, the maximum is %d", n, name, r.maxGranted[name])
		}
	}
	if n := r.storeLoads(); n > defaultStoreSlots {
		r.violated("%d loads from the weight store at once", n)
	}
}

// loadedNow counts the replicas of a model in memory at the current check.
func (r *cluster) loadedNow(model string) int {
	n := 0
	for _, m := range r.targets {
		for _, rep := range m.trueState.Replicas {
			if rep.Model == model && rep.Phase != ports.PhaseFailed && !m.removed {
				n++
			}
		}
	}
	return n
}

// storeLoads counts the loads that are reading from the weight store.
func (r *cluster) storeLoads() int {
	n := 0
	for _, m := range r.targets {
		for _, rep := range m.trueState.Replicas {
			if _, cached := m.trueState.Cached["ckpt-"+rep.Model]; !m.removed && rep.Phase == ports.PhaseLoading && !cached {
				n++
			}
		}
	}
	return n
}

// checkPermits checks that held by shards <= granted in the ledger <= maximum. A lowered
// maximum applies once the ledger has it and no longer grants more; checkRecovery checks
// that this happens.
func (r *cluster) checkPermits(plans map[string]place.Plan, ledger map[string]permit.Resource) {
	for _, shard := range slices.Sorted(maps.Keys(plans)) {
		for resource, held := range plans[shard].Permits {
			if granted := ledger[resource].Grants[shard]; held > granted {
				r.violated("shard %s holds %d of %s, the ledger grants %d", shard, held, resource, granted)
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
			r.maxGranted[resource] = max(limit, min(r.maxGranted[resource], granted))
		}
		if granted > r.maxGranted[resource] {
			r.violated("the ledger grants %d of %s, the maximum is %d", granted, resource, r.maxGranted[resource])
		}
	}
}

// checkTargets checks that no order would have overcommitted memory, that what is loaded
// fits into memory, and that the plan shows everything loaded on a target that ignores
// fencing.
func (r *cluster) checkTargets(plans map[string]place.Plan) {
	for _, m := range r.targets {
		if n := m.engine.Record().Overcommitted; n > 0 {
			r.violated("%d orders would have overcommitted %s", n, m.row.ID)
		}
		if used := m.engine.Record().UsedBytes; used > m.trueState.MemoryBytes {
			r.violated("%s has %d bytes and holds %d", m.row.ID, m.trueState.MemoryBytes, used)
		}
		if m.fenced || m.removed {
			continue
		}
		p := plans[permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))].Targets[m.row.ID]
		for _, rep := range m.trueState.Replicas {
			i := slices.IndexFunc(p.Replicas, func(x place.Replica) bool { return x.ID == rep.Replica })
			if rep.Phase != ports.PhaseFailed && (i < 0 || p.Boot != m.trueState.Boot) {
				r.violated("%s holds %s, which the plan does not show", m.row.ID, rep.Replica)
				continue
			}
			for _, adapter := range rep.Adapters {
				if _, planned := p.Replicas[i].Adapters[adapter]; !planned {
					r.violated("%s holds adapter %s of %s, which the plan does not show", m.row.ID, adapter, rep.Replica)
				}
			}
		}
	}
}

// checkLeases checks that every entry that relies on its lease is named in the shard's
// value, and that the KV service still has the lease. Frozen entries are included.
func (r *cluster) checkLeases(plans map[string]place.Plan) {
	if r.valueDeleted {
		return
	}
	keys := make(map[string]bool)
	for _, item := range r.kvItems() {
		keys[item.Key] = true
	}
	for _, e := range r.entries {
		for n, s := range e.shards {
			if e.dead || !e.owned[n] || !s.ownership.leaseNamed || !r.clock.Now().Before(s.leaseSafeUntil()) {
				continue
			}
			held := plans[s.ledgerName()].Owner
			if key := s.ownership.lease.key; held.LeaseKey != key || !keys[key] {
				r.violated("%s relies on the lease of shard %s, which %s holds", e.member.ID, s.ledgerName(), holderName(held))
			}
		}
	}
}

// checkPermitUse checks that a shard's targets never hold more replicas, planned or not,
// than the shard's value has permits.
func (r *cluster) checkPermitUse(plans map[string]place.Plan) {
	spent := make(map[string]map[string]int)
	for _, m := range r.targets {
		if m.removed {
			continue
		}
		shard := permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))
		if spent[shard] == nil {
			spent[shard] = make(map[string]int)
		}
		for _, rep := range m.trueState.Replicas {
			if rep.Phase != ports.PhaseFailed {
				spent[shard][rep.Model]++
			}
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(spent)) {
		for model, n := range spent[shard] {
			if held := plans[shard].Permits[model]; n > held {
				r.violated("shard %s has %d replicas of %s loaded and holds %d permits", shard, n, model, held)
			}
		}
	}
}

// demandEverywhere keeps callers waiting for every model in every zone.
func (r *cluster) demandEverywhere(period time.Duration) {
	end := r.clock.Now().Add(period)
	for r.clock.Now().Before(end) && r.violation == "" {
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

// hasOrderedLoad reports whether a load of the model has been ordered.
func (r *cluster) hasOrderedLoad(model string) bool {
	for _, rep := range r.ownerOf(0, 0).shards[0].replicasOf(model) {
		if rep.sent {
			return true
		}
	}
	return false
}

// dumpState returns the shards' own state for failure reports.
func (r *cluster) dumpState() string {
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
