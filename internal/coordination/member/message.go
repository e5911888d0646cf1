package member

import (
	"cmp"
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Sizes of a message, in records.
const (
	// newsSlots are for records that changed lately.
	newsSlots = 6
	// beatSlots are for other records of the zone.
	beatSlots = 14
	// remoteSlots are for records of other zones.
	remoteSlots = 6
)

// zoneMessage is what goes to an entry of the own zone: news first, then a
// random part of the zone, then a random part of the samples.
func (p *Part) zoneMessage() ports.Gossip {
	picked := p.takeNews()
	rest := p.view.ids(func(r *record) bool { return r.said.Zone == p.self.Zone && answers(r.phase) })
	picked = p.addRandom(picked, rest, beatSlots)
	remote := p.view.ids(func(r *record) bool { return r.said.Zone != p.self.Zone && answers(r.phase) })
	picked = p.addRandom(picked, remote, remoteSlots)
	return p.message(picked)
}

// summary is what goes to another zone: the own zone's sample, and a random part
// of the samples of others, so that two zones that are cut off from each other
// still hear of each other through a third.
func (p *Part) summary() ports.Gossip {
	own := p.view.ids(func(r *record) bool { return r.said.Zone == p.self.Zone && answers(r.phase) })
	picked := Choose(own, sampleDuty, sampleSize)
	remote := p.view.ids(func(r *record) bool { return r.said.Zone != p.self.Zone && answers(r.phase) })
	return p.message(p.addRandom(picked, remote, remoteSlots))
}

// everything is the answer to a message without records, as an entry sends it
// that has just started.
func (p *Part) everything() ports.Gossip {
	return p.message(p.view.ids(func(r *record) bool { return answers(r.phase) }))
}

// takeNews picks the records that changed lately, those of leaving members
// first, and counts them as sent.
func (p *Part) takeNews() []string {
	ids := p.view.ids(func(r *record) bool { return r.news > 0 && r.phase != ports.MemberSilent })
	slices.SortStableFunc(ids, func(a, b string) int {
		ra, rb := p.view.records[a], p.view.records[b]
		if byPhase := cmp.Compare(urgency(ra), urgency(rb)); byPhase != 0 {
			return byPhase
		}
		return cmp.Compare(rb.news, ra.news)
	})
	ids = ids[:min(newsSlots, len(ids))]
	for _, id := range ids {
		p.view.records[id].news--
	}
	return ids
}

// urgency orders news: a member that leaves must get no more work soon.
func urgency(r *record) int {
	if r.said.Phase == ports.MemberAlive {
		return 1
	}
	return 0
}

// addRandom adds up to n of ids that are not yet picked.
func (p *Part) addRandom(picked, ids []string, n int) []string {
	p.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if n == 0 {
			break
		}
		if !slices.Contains(picked, id) {
			picked = append(picked, id)
			n--
		}
	}
	return picked
}

func (p *Part) message(ids []string) ports.Gossip {
	g := ports.Gossip{From: p.spoken()}
	for _, id := range ids {
		m := p.view.records[id].said
		m.Shards = slices.Clone(m.Shards)
		g.Members = append(g.Members, m)
	}
	return g
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
