package link

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Step is one zone to ask for a cold model, and the loads that it may begin.
type Step struct {
	Zone string
	Load ports.LoadReach
}

// Steps returns the zones with a living entry in the order in which they are
// asked for a model. It depends on the model and the view of the members alone,
// so that a burst of first requests at entries of all zones meets at one owner.
//
// Without a store region the order is that of a hash. With one, the zones are
// asked first whether they have the checkpoint cached, which loads in a
// fraction of the time and fetches nothing; then those beside the weight store;
// and at last whether a load over the link would end in time.
//
// For example, with the store in bulacan and the hash order pam-a, bul-a, bul-b:
//
//	pam-a cached, bul-a cached, bul-b cached, bul-a anywhere, bul-b anywhere, pam-a across
//
// While bulacan is cut off, pam-a is asked for cached checkpoints alone: a load
// could not reach the store.
func Steps(model string, self ports.Member, members []ports.Member, store string) []Step {
	zones := zonesOf(self, members)
	names := make([]string, 0, len(zones))
	for _, z := range zones {
		names = append(names, z.Zone)
	}
	order := member.Choose(names, "zones/"+model, len(names))
	if store == "" {
		return steps(order, ports.LoadAnywhere)
	}
	var near, far []string
	for _, name := range order {
		if regionOf(zones, name) == store {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	all := slices.Concat(steps(order, ports.LoadCached), steps(near, ports.LoadAnywhere))
	if IsCut(self, members, store) {
		return all
	}
	return append(all, steps(far, ports.LoadAcross)...)
}

func steps(zones []string, load ports.LoadReach) []Step {
	all := make([]Step, 0, len(zones))
	for _, zone := range zones {
		all = append(all, Step{Zone: zone, Load: load})
	}
	return all
}

// zonesOf returns one living member of each zone, the own one first.
func zonesOf(self ports.Member, members []ports.Member) []ports.Member {
	zones := []ports.Member{self}
	for _, m := range members {
		same := func(z ports.Member) bool { return z.Zone == m.Zone }
		if m.Phase == ports.MemberAlive && !slices.ContainsFunc(zones, same) {
			zones = append(zones, m)
		}
	}
	return zones
}

func regionOf(zones []ports.Member, name string) string {
	for _, z := range zones {
		if z.Zone == name {
			return z.Region
		}
	}
	return ""
}

// IsCut tells whether the region of the weight store has entries and none of them
// is alive to this one.
func IsCut(self ports.Member, members []ports.Member, store string) bool {
	if store == "" || self.Region == store {
		return false
	}
	return known(members, store) && !known(zonesOf(self, members), store)
}

// cutRetryAfter is the advice to callers whose model cannot be loaded while the
// region of the weight store is cut off.
const cutRetryAfter = 10 * time.Second

// OrCutOff refuses at once what no shard in reach can load while the weight store
// is cut off, in place of asking on until the callers' deadlines; best is the
// best answer of all that were asked.
func OrCutOff(best ports.DemandReply, cut bool) ports.DemandReply {
	if best.Status != ports.DemandElsewhere || !cut {
		return best
	}
	return ports.DemandReply{
		Status: ports.DemandRefused, RetryAfter: cutRetryAfter,
		Reason: "the region of the weight store is cut off: " + best.Reason,
	}
}

// known tells whether a region has entries, be they silent or not.
func known(members []ports.Member, region string) bool {
	return slices.ContainsFunc(members, func(m ports.Member) bool { return m.Region == region })
}

// Sharers estimates how many living entries of a region share its link. A view
// of another zone may be a sample, so each zone counts for at least as many
// entries as the own one.
func Sharers(self ports.Member, members []ports.Member) int {
	count := 0
	own := 0
	var zones []string
	for _, m := range members {
		if m.Region != self.Region || m.Phase != ports.MemberAlive {
			continue
		}
		count++
		if m.Zone == self.Zone {
			own++
		}
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return max(count, own*len(zones), 1)
}
