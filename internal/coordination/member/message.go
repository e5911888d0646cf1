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
	// staleShare is the part of the slots that a question uses for records that
	// have become old here: one in staleShare.
	staleShare = 2
)

// question is what goes to an entry of the own zone: news, the records that are
// oldest here, and a random part of the others.
//
// An entry of a large zone learns most beats within seconds, but there is always
// a record that nobody happened to send it. Sending that very record asks for
// it: whoever has a newer one puts it into the answer.
func (p *Part) question() ports.Gossip {
	picked := p.takeNews()
	for _, class := range p.classes() {
		picked = addFirst(picked, p.oldestFirst(class.ids), class.slots/staleShare)
		picked = p.addRandom(picked, class.ids, class.slots-class.slots/staleShare)
	}
	return p.message(picked)
}

// reply answers a question of an entry of the own zone: news, then what is newer
// here than what was sent, then a random part of the others.
func (p *Part) reply(asked []ports.Member) ports.Gossip {
	behind := make(map[string]bool)
	for _, m := range asked {
		if r := p.view.records[m.ID]; r != nil && newer(r.said, m) {
			behind[m.ID] = true
		}
	}
	picked := p.takeNews()
	for _, class := range p.classes() {
		wanted := slices.DeleteFunc(slices.Clone(class.ids), func(id string) bool { return !behind[id] })
		before := len(picked)
		picked = addFirst(picked, wanted, class.slots)
		picked = p.addRandom(picked, class.ids, class.slots-(len(picked)-before))
	}
	return p.message(picked)
}

// class is a set of records with its slots in a message.
type class struct {
	ids   []string
	slots int
}

// classes returns the records that answer, of the own zone and of others.
func (p *Part) classes() []class {
	own := p.view.ids(func(r *record) bool { return r.said.Zone == p.self.Zone && Answers(r.phase) })
	remote := p.view.ids(func(r *record) bool { return r.said.Zone != p.self.Zone && Answers(r.phase) })
	return []class{{own, beatSlots}, {remote, remoteSlots}}
}

func (p *Part) oldestFirst(ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return p.view.records[a].heard.Compare(p.view.records[b].heard)
	})
	return sorted
}

// addFirst adds the first n of ids that are not yet picked.
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

// summary is what goes to another zone: the own zone's sample, and a random part
// of the samples of others, so that two zones that are cut off from each other
// still hear of each other through a third.
func (p *Part) summary() ports.Gossip {
	own := p.view.ids(func(r *record) bool { return r.said.Zone == p.self.Zone && Answers(r.phase) })
	picked := Choose(own, delegateDuty, SampleSize)
	remote := p.view.ids(func(r *record) bool { return r.said.Zone != p.self.Zone && Answers(r.phase) })
	return p.message(p.addRandom(picked, remote, remoteSlots))
}

// everything is the answer to a message without records, as an entry sends it
// that has just started.
func (p *Part) everything() ports.Gossip {
	return p.message(p.view.ids(func(r *record) bool { return Answers(r.phase) }))
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
	return addFirst(picked, ids, n)
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
