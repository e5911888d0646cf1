package cfglog

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Times of fetching from other entries.
const (
	// fetchRetryInterval is the time between two attempts.
	fetchRetryInterval = 500 * time.Millisecond
	// remoteFetchDelay is how long an entry that is not a delegate leaves fetching from
	// other zones to the delegates.
	remoteFetchDelay = 3 * time.Second
	// kvFallbackDelay is how long fetching may fail before the KV service is read.
	kvFallbackDelay = 4 * time.Second
)

// maxDeltaBytes limits the patches in one reply to another entry, in bytes.
const maxDeltaBytes = 256 << 10

// fetchState is the state of fetching a version that other entries have.
type fetchState struct {
	// behindSince is when a higher version was first heard of, zero if none is known.
	behindSince time.Time
	fetching    bool
	hasTimer    bool
	// kvFallbackAt is when the KV service is read instead.
	kvFallbackAt time.Time
	// lastFailed is the ID of the entry from which the last fetch failed.
	lastFailed string
}

// highestPeerVersion returns the highest version of the other entries that answer.
func (p *Part) highestPeerVersion() config.Version {
	var highest config.Version
	for _, m := range p.members {
		if m.ID != p.self.ID && member.IsReachable(m.Phase) {
			highest = max(highest, m.ConfigVersion)
		}
	}
	return highest
}

// fetchIfBehind fetches from another entry as long as one has a higher version.
func (p *Part) fetchIfBehind() {
	if p.fetchState.fetching {
		return
	}
	if p.highestPeerVersion() <= p.config.Version {
		p.fetchState.behindSince = time.Time{}
		return
	}
	if p.fetchState.behindSince.IsZero() {
		p.fetchState.behindSince = p.now
		p.fetchState.kvFallbackAt = p.now.Add(p.jitter(kvFallbackDelay))
	}
	if !p.now.Before(p.fetchState.kvFallbackAt) {
		p.fetchState.kvFallbackAt = p.now.Add(p.jitter(2 * kvFallbackDelay))
		p.catchUp(func(error) { p.fetchIfBehind() })
		return
	}
	from, ok := p.chooseSource()
	if !ok {
		p.fetchLater()
		return
	}
	p.fetch(from)
}

func (p *Part) fetchLater() {
	if p.fetchState.hasTimer {
		return
	}
	p.fetchState.hasTimer = true
	p.afterFunc(p.jitter(fetchRetryInterval), func() {
		p.fetchState.hasTimer = false
		p.fetchIfBehind()
	})
}

// chooseSource chooses the entry to fetch from, preferably one of its own zone. Only
// delegates fetch from other zones, so that a patch crosses the link between regions a
// few times and not once for each entry; after remoteFetchDelay any entry may.
func (p *Part) chooseSource() (ports.Member, bool) {
	var zone, region, others []ports.Member
	for _, m := range p.members {
		switch {
		case m.ID == p.self.ID || !member.IsReachable(m.Phase) || m.ConfigVersion <= p.config.Version:
		case m.Zone == p.self.Zone:
			zone = append(zone, m)
		case m.Region == p.self.Region:
			region = append(region, m)
		default:
			others = append(others, m)
		}
	}
	if len(zone) > 0 {
		return p.randomMember(zone), true
	}
	if !p.canFetchRemotely() && p.now.Sub(p.fetchState.behindSince) < remoteFetchDelay {
		return ports.Member{}, false
	}
	if len(region) > 0 {
		return p.randomMember(region), true
	}
	if len(others) > 0 {
		return p.randomMember(others), true
	}
	return ports.Member{}, false
}

// canFetchRemotely reports whether this entry may fetch from another zone without delay.
// A delegate that has just started reads the KV service first, as long as that answers,
// since a whole configuration is too large for the link between regions.
func (p *Part) canFetchRemotely() bool {
	starting := p.config.Version == 0 && p.health.downSince.IsZero()
	return p.isDelegate() && !starting
}

// randomMember returns a random member other than the one whose fetch failed last, if
// there is another.
func (p *Part) randomMember(members []ports.Member) ports.Member {
	m := members[p.random.IntN(len(members))]
	if m.ID == p.fetchState.lastFailed && len(members) > 1 {
		return p.randomMember(members)
	}
	return m
}

func (p *Part) fetch(from ports.Member) {
	p.fetchState.fetching = true
	p.callPeer(from.Addr, ports.FetchConfig{After: p.config.Version}, func(r ports.PeerReply) {
		p.fetchState.fetching = false
		before := p.config.Version
		if delta, ok := r.Msg.(ports.ConfigDelta); ok && r.Err == nil {
			p.applyDelta(delta)
		}
		if p.config.Version > before {
			p.fetchState.lastFailed = ""
			p.fetchIfBehind()
			return
		}
		p.fetchState.lastFailed = from.ID
		p.fetchLater()
	})
}

// applyDelta applies the parts of another entry's reply that are new here.
func (p *Part) applyDelta(delta ports.ConfigDelta) {
	if delta.Snapshot != nil {
		p.replaceConfig(delta.Snapshot)
	}
	for _, patch := range delta.Patches {
		if patch.Base != p.config.Version {
			continue
		}
		if p.applyRecord(config.Record{Version: patch.Base + 1, Patch: patch}) != nil {
			return
		}
	}
}

// deltaAfter returns what an entry at the given version lacks.
func (p *Part) deltaAfter(after config.Version) ports.ConfigDelta {
	if after >= p.config.Version {
		return ports.ConfigDelta{}
	}
	records, ok := p.recent.after(after, maxRecentPatches, maxDeltaBytes)
	if !ok {
		return ports.ConfigDelta{Snapshot: p.config}
	}
	delta := ports.ConfigDelta{Patches: make([]config.Patch, 0, len(records))}
	for _, r := range records {
		delta.Patches = append(delta.Patches, r.Patch)
	}
	return delta
}
