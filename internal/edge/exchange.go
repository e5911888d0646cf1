package edge

import (
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// handleExchange records an instance's demand and returns the updates it lacks. It
// returns false if this instance is not the holder, is not sure that it still is, or has
// not read the targets and the configuration yet.
func (k *coordinator) handleExchange(m exchangeRequest) (exchangeReply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if !k.status.IsSteady(now) || !k.hasFullList || k.config == nil && !k.configRead {
		return exchangeReply{}, false
	}
	readers, known := k.recordSender(m, now)
	for _, id := range m.Leaving {
		k.markLeaving(id)
	}
	k.setLimits(now, m.Limits)
	k.refreshUpdates()
	after := m.Version
	if m.Term != k.term() {
		after = 0
	}
	members, senders := k.pruneMembers(now)
	out := exchangeReply{
		Term: k.term(), Version: k.updates.version, Full: after == 0, Updates: k.updates.after(after, now),
		Members: members, Senders: senders, ChildrenKnown: known, Readers: readers, ConfigRevision: k.configRevision, ReadyInMS: make(map[string]int64),
	}
	if k.config != nil {
		out.ConfigVersion = k.config.Version
	}
	out.HasRelays = k.hasRelays(&m, now)
	if out.HasRelays && k.shouldRedirect(&m, out.Full) {
		out.IsRedirect, out.Updates = true, nil
		out.Readers = k.readers.byZone[k.members[m.From].zone]
	}
	out.Load = k.exchangeLoad(now, &m)
	out.Grants = k.permits.Ask(now, m.From, m.Wants)
	out.Crashes = k.judgeCrashes(now, m, senders)
	if k.status.CanOrder(now) {
		out.StoreLoads = make(map[string]int, len(k.planners))
		out.LostLoads = make(map[string][]sched.LostLoad)
		for service, p := range k.planners {
			out.StoreLoads[service] = p.StoreLoads()
			if lost := p.LostLoads(now); len(lost) > 0 {
				out.LostLoads[service] = lost
			}
			for model, in := range p.Expected(now) {
				out.ReadyInMS[model] = in.Milliseconds()
			}
		}
	}
	return out, true
}

// peerOf returns the peer address of the sender of a message, an invalid one if it is not known.
func (k *coordinator) peerOf(m *exchangeRequest) netip.AddrPort {
	if m.Peer.IsValid() {
		return m.Peer
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members[m.From].peer
}

// setLoads records what the holder has told of the weight store and of loads whose replies it
// has lost, so that a later term of this instance begins with it. A holder that may not order
// tells neither.
func (k *coordinator) setLoads(storeLoads map[string]int, lost map[string][]sched.LostLoad) {
	if len(storeLoads) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeLoads = storeLoads
	k.lostLoads, k.lostLoadsAt = lost, k.clock.Now()
}

// setLimits records the rate limits that an instance has heard of and has the other
// instances told of what has changed.
func (k *coordinator) setLimits(now time.Time, reports []quota.Report) {
	k.permits.Retain(func(id fleet.Identity) bool { return k.targets[id.ID].Identity == id }, now)
	for _, id := range k.permits.Report(now, reports) {
		k.log.Info().Str("target", id.ID).Float64("limit", k.permits.Limit(id)).Msg("limit of all instances")
		if r, ok := k.targets[id.ID]; ok && r.Identity == id {
			k.publish(&r)
		}
	}
}

// minRedirectTargets is the number of targets from which on instances get the full list
// from relays. With 4,000 targets it is 380 KB, for each instance that starts and, after a
// change of the holder, for all.
const minRedirectTargets = 200

// hasRelays reports whether the readers of an instance's zone are relays for the others.
func (k *coordinator) hasRelays(m *exchangeRequest, now time.Time) bool {
	return k.readers.sizes[k.members[m.From].zone] > k.relayZoneSize ||
		m.HadRelays && now.Sub(k.readers.firstAt) < zoneSettleTime
}

// shouldRedirect reports whether an instance that lacks the full list is to ask the relays
// of its zone for it.
func (k *coordinator) shouldRedirect(m *exchangeRequest, isFull bool) bool {
	if !isFull || m.IsAside || m.NeedsFull || m.From == k.self || len(k.targets) < minRedirectTargets {
		return false
	}
	have := k.members[m.From]
	relays := k.readers.byZone[have.zone]
	return len(relays) > 0 && have.peer.IsValid() && !slices.Contains(relays, have.peer)
}

// recordSender records an instance's message: that it and its children are alive, and
// their demand. It returns the readers of the instance's zone, or nil if the instance
// knows them already, and the hash of the children that are known.
func (k *coordinator) recordSender(m exchangeRequest, now time.Time) (readers []netip.AddrPort, children uint64) {
	if m.IsAside {
		return nil, 0
	}
	readers = k.recordMember(m, now)
	alive, children := k.tree.Put(m.From, m.Children)
	for _, c := range alive {
		k.recordChild(c, now)
	}
	k.recordDemand(m, now)
	return readers, children
}

// recordMember records that an instance is alive. It returns the readers of the
// instance's zone, or nil if the instance knows them already.
func (k *coordinator) recordMember(m exchangeRequest, now time.Time) []netip.AddrPort {
	have := k.members[m.From]
	have.seenAt, have.sentAt = now, now
	if m.Peer.IsValid() {
		have.zone, have.peer, have.cores = m.Zone, m.Peer, m.Cores
		have.knownReaders = nil
	}
	readers := k.readers.forZone(have.zone, now, k.members, k.self)
	known := slices.Equal(readers, have.knownReaders)
	have.knownReaders = readers
	k.members[m.From] = have
	if known {
		return nil
	}
	return readers
}

// recordChild records that a child of a relay is alive. Its demand is part of the relay's
// from now on.
func (k *coordinator) recordChild(c relay.Child, now time.Time) {
	have := k.members[c.Name]
	have.seenAt = now
	if c.Peer.IsValid() {
		have.zone, have.peer, have.cores = c.Zone, c.Peer, c.Cores
	}
	if !have.sentAt.IsZero() {
		have.sentAt = time.Time{}
		k.sums().Forget(c.Name)
		for _, p := range k.planners {
			p.SetDemand(now, c.Name, nil)
		}
	}
	k.members[c.Name] = have
}

// recordDemand records an instance's demand, unless a later message of it has come.
func (k *coordinator) recordDemand(m exchangeRequest, now time.Time) {
	if m.IsWithoutDemand {
		return
	}
	have := k.members[m.From]
	demand, isLatest := have.counter.CountInto(m.Seq, m.Demand, m.Resent)
	if !isLatest {
		return
	}
	k.members[m.From] = have
	k.addArrivals(now, demand)
	for _, p := range k.planners {
		p.SetDemand(now, m.From, demand)
	}
}

// term identifies this term of the holder, so that update versions of another term are
// not taken for its own.
func (k *coordinator) term() int64 { return k.termID }

// presentTerm is like term, for callers without the lock.
func (k *coordinator) presentTerm() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term()
}

// refreshUpdates adds the targets that the planners have changed to the update log.
func (k *coordinator) refreshUpdates() {
	for _, p := range k.planners {
		for _, id := range p.TakeChanged() {
			if r, ok := k.targets[id]; ok {
				k.publish(&r)
			}
		}
	}
}

// pruneMembers forgets the instances that are gone. It returns the number of instances,
// and of those that send messages to the holder.
func (k *coordinator) pruneMembers(now time.Time) (members, senders int) {
	for name, m := range k.members {
		if now.Sub(m.seenAt) > memberTimeout {
			delete(k.members, name)
			k.tree.Remove(name)
			continue
		}
		if now.Sub(m.sentAt) <= memberTimeout {
			senders++
		}
	}
	return len(k.members), senders
}
