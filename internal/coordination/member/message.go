package member

import (
	"cmp"
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Sizes of a message, in records.
const (
	// changeSlots is the number of records that changed recently.
	changeSlots = 6
	// zoneSlots is the number of other records of the own zone.
	zoneSlots = 14
	// remoteSlots is the number of records of other zones.
	remoteSlots = 6
	// oldestDivisor divides the slots: a request uses 1/oldestDivisor of them for the
	// records that have not been updated here for the longest time.
	oldestDivisor = 2
)

// gossipRequest returns the message to an entry of the own zone: recent changes, the
// records that are oldest here, and a random selection of the others.
//
// An entry of a large zone receives most beats within seconds, but there is always a
// record that nobody happened to send to it. Sending that old record requests a newer
// one: a receiver that has one includes it in the reply.
func (p *Part) gossipRequest() ports.Gossip {
	picked := p.takeChanges()
	for _, class := range p.recordClasses() {
		picked = addFirst(picked, p.oldestFirst(class.ids), class.slots/oldestDivisor)
		picked = p.addRandom(picked, class.ids, class.slots-class.slots/oldestDivisor)
	}
	return p.newMessage(picked)
}

// gossipReply returns the reply to a message of an entry of the own zone: recent changes,
// then records that are newer here than in the message, then a random selection of the
// others.
func (p *Part) gossipReply(received []ports.Member) ports.Gossip {
	outdated := make(map[string]bool)
	for _, m := range received {
		if r := p.view.records[m.ID]; r != nil && isNewer(r.latest, m) {
			outdated[m.ID] = true
		}
	}
	picked := p.takeChanges()
	for _, class := range p.recordClasses() {
		wanted := slices.DeleteFunc(slices.Clone(class.ids), func(id string) bool { return !outdated[id] })
		before := len(picked)
		picked = addFirst(picked, wanted, class.slots)
		picked = p.addRandom(picked, class.ids, class.slots-(len(picked)-before))
	}
	return p.newMessage(picked)
}

// recordClass is a set of records with the number of its slots in a message.
type recordClass struct {
	ids   []string
	slots int
}

// recordClasses returns the records of reachable members, of the own zone and of others.
func (p *Part) recordClasses() []recordClass {
	own := p.view.ids(func(r *record) bool { return r.latest.Zone == p.self.Zone && IsReachable(r.phase) })
	remote := p.view.ids(func(r *record) bool { return r.latest.Zone != p.self.Zone && IsReachable(r.phase) })
	return []recordClass{{own, zoneSlots}, {remote, remoteSlots}}
}

func (p *Part) oldestFirst(ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return p.view.records[a].updatedAt.Compare(p.view.records[b].updatedAt)
	})
	return sorted
}

// addFirst appends the first n of ids that are not yet picked.
func addFirst(picked, ids []string, n int) []string {
	for _, id := range ids {
		if n <= 0 {
			break
		}
		if !slices.Contains(picked, id) {
			picked = append(picked, id)
			n--
		}
	}
	return picked
}

// zoneSummary returns the message to another zone: the own zone's sample, and a random
// selection from the samples of others, so that two zones that are cut off from each
// other still learn of each other through a third.
func (p *Part) zoneSummary() ports.Gossip {
	own := p.view.ids(func(r *record) bool { return r.latest.Zone == p.self.Zone && IsReachable(r.phase) })
	picked := PickByHash(own, delegateKey, SampleSize)
	remote := p.view.ids(func(r *record) bool { return r.latest.Zone != p.self.Zone && IsReachable(r.phase) })
	return p.newMessage(p.addRandom(picked, remote, remoteSlots))
}

// fullView returns the reply to a message without records, which an entry sends that has
// just started: the records of all reachable members.
func (p *Part) fullView() ports.Gossip {
	return p.newMessage(p.view.ids(func(r *record) bool { return IsReachable(r.phase) }))
}

// takeChanges picks the records that changed recently, those of leaving members first,
// and counts them as sent.
func (p *Part) takeChanges() []string {
	ids := p.view.ids(func(r *record) bool { return r.sendsLeft > 0 && r.phase != ports.MemberSilent })
	slices.SortStableFunc(ids, func(a, b string) int {
		ra, rb := p.view.records[a], p.view.records[b]
		if byPhase := cmp.Compare(changePriority(ra), changePriority(rb)); byPhase != 0 {
			return byPhase
		}
		return cmp.Compare(rb.sendsLeft, ra.sendsLeft)
	})
	ids = ids[:min(changeSlots, len(ids))]
	for _, id := range ids {
		p.view.records[id].sendsLeft--
	}
	return ids
}

// changePriority orders changes: a member that leaves comes first, since it must soon get
// no more work.
func changePriority(r *record) int {
	if r.latest.Phase == ports.MemberAlive {
		return 1
	}
	return 0
}

// addRandom appends up to n random IDs that are not yet picked.
func (p *Part) addRandom(picked, ids []string, n int) []string {
	p.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return addFirst(picked, ids, n)
}

func (p *Part) newMessage(ids []string) ports.Gossip {
	g := ports.Gossip{From: p.selfRecord()}
	for _, id := range ids {
		m := p.view.records[id].latest
		m.Shards = slices.Clone(m.Shards)
		g.Members = append(g.Members, m)
	}
	return g
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
