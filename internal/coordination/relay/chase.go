package relay

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Times of fetching from other entries.
const (
	// chasePeriod is the time between two tries.
	chasePeriod = 500 * time.Millisecond
	// foreignWait is how long an entry not on duty leaves fetching from another
	// zone to those that are.
	foreignWait = 3 * time.Second
	// resortWait is how long fetching may fail before the KV service is asked.
	resortWait = 4 * time.Second
)

// deltaBytes bounds the patches in one answer.
const deltaBytes = 256 << 10

// chase is the state of fetching a version that others have.
type chase struct {
	// since is when a higher version was first heard of, zero if none is known.
	since    time.Time
	fetching bool
	armed    bool
	// resort is when the KV service is asked.
	resort time.Time
	// failed is the entry that failed last.
	failed string
}

// highestKnown returns the highest version of any other entry that answers.
func (p *Part) highestKnown() config.Version {
	var highest config.Version
	for _, m := range p.members {
		if m.ID != p.self.ID && member.Answers(m.Phase) {
			highest = max(highest, m.ConfigVersion)
		}
	}
	return highest
}

// pursue fetches from another entry while any has a higher version.
func (p *Part) pursue() {
	if p.chase.fetching {
		return
	}
	if p.highestKnown() <= p.config.Version {
		p.chase.since = time.Time{}
		return
	}
	if p.chase.since.IsZero() {
		p.chase.since = p.now
		p.chase.resort = p.now.Add(p.spread(resortWait))
	}
	if !p.now.Before(p.chase.resort) {
		p.chase.resort = p.now.Add(p.spread(2 * resortWait))
		p.catchUp(func(error) { p.pursue() })
		return
	}
	from, ok := p.source()
	if !ok {
		p.pursueLater()
		return
	}
	p.fetch(from)
}

func (p *Part) pursueLater() {
	if p.chase.armed {
		return
	}
	p.chase.armed = true
	p.after(p.spread(chasePeriod), func() {
		p.chase.armed = false
		p.pursue()
	})
}

// source chooses whom to ask: an entry of the own zone if any has the version.
// From other zones only those on duty fetch, so that a patch crosses the link
// between regions a few times and not once for each entry; when they have not
// done so in time, everybody may.
func (p *Part) source() (ports.Member, bool) {
	var zone, region, others []ports.Member
	for _, m := range p.members {
		switch {
		case m.ID == p.self.ID || !member.Answers(m.Phase) || m.ConfigVersion <= p.config.Version:
		case m.Zone == p.self.Zone:
			zone = append(zone, m)
		case m.Region == p.self.Region:
			region = append(region, m)
		default:
			others = append(others, m)
		}
	}
	if len(zone) > 0 {
		return p.oneOf(zone), true
	}
	if !p.fetchesAbroad() && p.now.Sub(p.chase.since) < foreignWait {
		return ports.Member{}, false
	}
	if len(region) > 0 {
		return p.oneOf(region), true
	}
	if len(others) > 0 {
		return p.oneOf(others), true
	}
	return ports.Member{}, false
}

// fetchesAbroad reports whether this entry need not wait before it asks another
// zone. One that has just started and is on duty reads the KV service first, as
// long as that answers: a whole configuration is not for the link between regions.
func (p *Part) fetchesAbroad() bool {
	starting := p.config.Version == 0 && p.health.downSince.IsZero()
	return p.onDuty() && !starting
}

// oneOf returns a random member, avoiding the one that failed last.
func (p *Part) oneOf(members []ports.Member) ports.Member {
	m := members[p.random.IntN(len(members))]
	if m.ID == p.chase.failed && len(members) > 1 {
		return p.oneOf(members)
	}
	return m
}

func (p *Part) fetch(from ports.Member) {
	p.chase.fetching = true
	p.peer(from.Addr, ports.FetchConfig{After: p.config.Version}, func(r ports.PeerReply) {
		p.chase.fetching = false
		before := p.config.Version
		if delta, ok := r.Msg.(ports.ConfigDelta); ok && r.Err == nil {
			p.takeDelta(delta)
		}
		if p.config.Version > before {
			p.chase.failed = ""
			p.pursue()
			return
		}
		p.chase.failed = from.ID
		p.pursueLater()
	})
}

// takeDelta applies what another entry has sent, as far as it is new here.
func (p *Part) takeDelta(delta ports.ConfigDelta) {
	if delta.Snapshot != nil {
		p.replace(delta.Snapshot)
	}
	for _, patch := range delta.Patches {
		if patch.Base != p.config.Version {
			continue
		}
		if p.advance(config.Record{Version: patch.Base + 1, Patch: patch}) != nil {
			return
		}
	}
}

// delta returns what an entry lacks that has a version.
func (p *Part) delta(after config.Version) ports.ConfigDelta {
	if after >= p.config.Version {
		return ports.ConfigDelta{}
	}
	records, ok := p.recent.after(after, recentPatches, deltaBytes)
	if !ok {
		return ports.ConfigDelta{Snapshot: p.config}
	}
	delta := ports.ConfigDelta{Patches: make([]config.Patch, 0, len(records))}
	for _, r := range records {
		delta.Patches = append(delta.Patches, r.Patch)
	}
	return delta
}
