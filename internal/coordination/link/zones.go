package link

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// DemandStep is a zone to send a demand for a cold model to, with the loads that it may start.
type DemandStep struct {
	Zone string
	Load ports.LoadReach
}

// DemandOrder returns the zones that have a live entry, in the order in which they are sent a demand
// for a model. The order depends only on the model and the view of the members, so that a
// burst of first requests at entries of all zones goes to the same owner.
//
// Without a store region the order is that of a hash of the zones. With one, demands first ask
// all zones for a load from a cached checkpoint, which takes a fraction of the time and
// fetches nothing over the link; then they ask the zones in the store's region for any load;
// and last the other zones for a load over the link, if it would end in time.
//
// For example, with the store in bulacan and the hash order pam-a, bul-a, bul-b:
//
//	pam-a cached, bul-a cached, bul-b cached, bul-a anywhere, bul-b anywhere, pam-a across
//
// While bulacan is cut off, pam-a is asked only for loads from cached checkpoints, since other
// loads could not reach the store.
func DemandOrder(model string, self ports.Member, members []ports.Member, store string) []DemandStep {
	zones := zonesOf(self, members)
	names := make([]string, 0, len(zones))
	for _, z := range zones {
		names = append(names, z.Zone)
	}
	order := member.PickByHash(names, "zones/"+model, len(names))
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

func steps(zones []string, load ports.LoadReach) []DemandStep {
	all := make([]DemandStep, 0, len(zones))
	for _, zone := range zones {
		all = append(all, DemandStep{Zone: zone, Load: load})
	}
	return all
}

// zonesOf returns one live member of each zone, self first.
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

// IsCut reports whether the region of the weight store is cut off: it has entries, and this
// entry sees none of them as alive.
func IsCut(self ports.Member, members []ports.Member, store string) bool {
	if store == "" || self.Region == store {
		return false
	}
	return hasEntries(members, store) && !hasEntries(zonesOf(self, members), store)
}

// cutRetryAfter is the retry time for callers whose model cannot be loaded while the region of
// the weight store is cut off.
const cutRetryAfter = 10 * time.Second

// RefuseIfCutOff returns the best reply of all shards that were asked, or a refusal if none of them
// can load the model while the region of the weight store is cut off. Without the refusal,
// demands would be repeated until the deadlines of the callers.
func RefuseIfCutOff(best ports.DemandReply, cut bool) ports.DemandReply {
	if best.Status != ports.DemandElsewhere || !cut {
		return best
	}
	return ports.DemandReply{
		Status: ports.DemandRefused, RetryAfter: cutRetryAfter,
		Reason: "the region of the weight store is cut off: " + best.Reason,
	}
}

// hasEntries reports whether members include entries of a region, whatever their phase.
func hasEntries(members []ports.Member, region string) bool {
	return slices.ContainsFunc(members, func(m ports.Member) bool { return m.Region == region })
}

// EstimateEntries estimates the number of live entries of the own region, which share its link. The
// members known of another zone may be a sample, so each zone is assumed to have at least as
// many entries as the own zone.
func EstimateEntries(self ports.Member, members []ports.Member) int {
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
