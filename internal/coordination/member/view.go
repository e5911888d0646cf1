package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Limits on the time for which the record of a member has not changed.
const (
	// suspectTimeout is how long the beat of a member of the own zone may stay unchanged
	// before a failed call makes the member silent.
	suspectTimeout = 10 * time.Second
	// silentTimeout is how long its beat may stay unchanged before the member is silent
	// without any call.
	silentTimeout = 2 * suspectTimeout
	// remoteSilentTimeout is the same for members of other zones, whose beats arrive
	// through fewer entries.
	remoteSilentTimeout = time.Minute
	// maxListLag is how far the instance list may be behind.
	maxListLag = 30 * time.Second
	// goneRetention is how long a member that is gone is remembered, so that late gossip
	// does not bring it back.
	goneRetention = 10 * time.Minute
	// remoteRetention is how long a silent member of another zone is kept.
	remoteRetention = 15 * time.Minute
)

// probeInterval is how long a member that was called because of its silence is not called
// again for that reason, so that a dead member does not take all rounds.
const probeInterval = 5 * time.Second

// SampleSize is the number of reachable members kept of each other zone.
const SampleSize = 8

// maxSilentRecords is the number of unreachable members kept of each other zone.
const maxSilentRecords = 4 * SampleSize

// view is the set of records of the other members.
type view struct {
	self    string
	zone    string
	records map[string]*record
	// sortedIDs are the sorted keys of records, or nil after one was added or removed.
	sortedIDs []string
	// instances is the newest instance list, nil before the first.
	instances map[string]ports.Instance
	changed   bool
}

func newView(self ports.Member) *view {
	return &view{self: self.ID, zone: self.Zone, records: make(map[string]*record)}
}

// mergeDirect merges the state that a member itself sent to this entry.
//
// Incarnations come from wall clocks, so an instance whose clock was set back restarts
// with a lower incarnation than its predecessor. The state that it sends itself is
// accepted once the predecessor is silent. Others may go on relaying the predecessor's
// last states, which are remembered and refused; otherwise the two would replace each
// other forever:
//
//	incarnation 9, beat 70   becomes silent
//	incarnation 5, beat 1    received directly: accepted, 9/70 is replaced
//	incarnation 9, beat 66   relayed by another entry: refused
//	incarnation 9, beat 71   it was only paused: accepted
func (v *view) mergeDirect(now time.Time, m ports.Member) {
	old := v.records[m.ID]
	isBehind := old != nil && m.Incarnation < old.latest.Incarnation && !IsReachable(old.phase)
	if isBehind {
		v.drop(m.ID)
	}
	v.merge(now, m)
	if r := v.records[m.ID]; isBehind && r != nil {
		r.replaced = old.latest
	}
}

// merge merges the state of a member that another entry relayed.
func (v *view) merge(now time.Time, m ports.Member) {
	if m.ID == v.self || m.ID == "" || m.Zone == "" {
		return
	}
	old := v.records[m.ID]
	if old == nil {
		v.insert(now, m)
		return
	}
	if isNewer(m, old.latest) && !old.isReplaced(m) {
		v.replace(now, old, m)
	}
}

// insert adds a member that was not known, if it can be admitted.
func (v *view) insert(now time.Time, m ports.Member) {
	if !v.canAdmit(m) {
		return
	}
	v.records[m.ID] = &record{latest: m, updatedAt: now, phase: m.Phase, sendsLeft: v.changeSends()}
	v.sortedIDs = nil
	v.changed = true
	v.retireAddr(now, m)
	v.trimRemoteZone(m.Zone)
}

// replace stores newer state of a member.
func (v *view) replace(now time.Time, old *record, m ports.Member) {
	r := &record{latest: m, updatedAt: now, phase: m.Phase, sendsLeft: old.sendsLeft, probedAt: old.probedAt, replaced: old.replaced}
	if m.Incarnation == old.latest.Incarnation {
		r.survivalBeat = old.survivalBeat
	}
	v.records[m.ID] = r
	material := differsMaterially(old.latest, m)
	if material {
		r.sendsLeft = v.changeSends()
		v.retireAddr(now, m)
	}
	if material || old.phase != r.phase || old.latest.ConfigVersion != m.ConfigVersion {
		v.changed = true
	}
	if !IsReachable(old.phase) {
		v.trimRemoteZone(m.Zone)
	}
}

// retireAddr marks the member that had the address of m before as gone.
func (v *view) retireAddr(now time.Time, m ports.Member) {
	for id, r := range v.records {
		if id == m.ID || r.latest.Addr != m.Addr || r.phase == ports.MemberGone {
			continue
		}
		if r.phase == ports.MemberSilent || m.Incarnation > r.latest.Incarnation {
			r.phase = ports.MemberGone
			r.updatedAt = now
			v.changed = true
		}
	}
}

// changeSends returns how many times a change is sent: by epidemic spread, a small
// multiple of the logarithm of the zone's size reaches all members.
func (v *view) changeSends() int {
	const factor = 3
	return factor * (1 + bits.Len(uint(len(v.records))))
}

// canAdmit reports whether an unknown member is kept. If members of other zones were
// added only to be dropped by trimRemoteZone, every message with one would change the
// view.
func (v *view) canAdmit(m ports.Member) bool {
	if m.Zone == v.zone {
		return true
	}
	reachable := v.ids(func(r *record) bool { return r.latest.Zone == m.Zone && IsReachable(r.phase) })
	return len(reachable) < SampleSize || slices.Contains(PickByHash(append(reachable, m.ID), delegateKey, SampleSize), m.ID)
}

// trimRemoteZone limits the records of another zone.
//
// Of the reachable members it keeps those that rank highest, so that all entries of this
// zone keep the same ones. Silent members are kept in addition until they expire: an
// entry that dropped one at once would receive it as alive from another entry that has
// not noticed the silence yet, and relay it, and the two would keep a dead member alive
// between them.
func (v *view) trimRemoteZone(zone string) {
	if zone == v.zone {
		return
	}
	reachable := v.ids(func(r *record) bool { return r.latest.Zone == zone && IsReachable(r.phase) })
	kept := PickByHash(reachable, delegateKey, SampleSize)
	for _, id := range reachable {
		if !slices.Contains(kept, id) {
			v.drop(id)
			v.changed = true
		}
	}
	lost := v.ids(func(r *record) bool { return r.latest.Zone == zone && !IsReachable(r.phase) })
	slices.SortStableFunc(lost, func(a, b string) int { return v.records[b].updatedAt.Compare(v.records[a].updatedAt) })
	for _, id := range lost[min(len(lost), maxSilentRecords):] {
		v.drop(id)
		v.changed = true
	}
}

// updatePhases sets the phase of every member according to the time since its beat last
// advanced.
func (v *view) updatePhases(now time.Time) {
	for id, r := range v.records {
		unchanged := now.Sub(r.updatedAt)
		if r.latest.Zone != v.zone {
			v.updateRemotePhase(id, r, unchanged)
			continue
		}
		_, listed := v.instances[id]
		switch {
		case r.phase == ports.MemberGone:
			if unchanged > goneRetention && !listed {
				v.drop(id)
				v.changed = true
			}
		case v.instances != nil && !listed && unchanged > maxListLag:
			v.setPhase(r, ports.MemberGone)
			r.updatedAt = now
		case unchanged > silentTimeout || (unchanged > suspectTimeout && r.callFailed && !r.isPathCut()):
			v.setPhase(r, ports.MemberSilent)
		}
	}
}

func (v *view) updateRemotePhase(id string, r *record, unchanged time.Duration) {
	switch {
	case unchanged > remoteRetention:
		v.drop(id)
		v.changed = true
	case unchanged > remoteSilentTimeout && r.phase != ports.MemberGone:
		v.setPhase(r, ports.MemberSilent)
	}
}

func (v *view) setPhase(r *record, phase ports.MemberPhase) {
	if r.phase != phase {
		r.phase = phase
		v.changed = true
	}
}

// longestUnheard returns the member of the own zone whose record is oldest, among those
// that are reachable and were not called lately because of their silence; false if there
// is none.
func (v *view) longestUnheard(now time.Time) (string, bool) {
	found := ""
	for _, id := range v.ids(func(r *record) bool { return r.latest.Zone == v.zone && IsReachable(r.phase) }) {
		r := v.records[id]
		if now.Sub(r.probedAt) < probeInterval {
			continue
		}
		if found == "" || r.updatedAt.Before(v.records[found].updatedAt) {
			found = id
		}
	}
	return found, found != ""
}

// shiftObservations moves the time of every update forward by a pause in which this entry
// did not run and could receive nothing. Updates received on waking up keep their time.
func (v *view) shiftObservations(now time.Time, pause time.Duration) {
	for _, r := range v.records {
		if r.phase == ports.MemberGone {
			continue
		}
		r.updatedAt = r.updatedAt.Add(pause)
		if r.updatedAt.After(now) {
			r.updatedAt = now
		}
	}
}

func (v *view) drop(id string) {
	delete(v.records, id)
	v.sortedIDs = nil
}

// sorted returns the IDs of all records in order.
func (v *view) sorted() []string {
	if v.sortedIDs == nil {
		v.sortedIDs = slices.Sorted(maps.Keys(v.records))
	}
	return v.sortedIDs
}

// ids returns the IDs for which keep holds, in order.
func (v *view) ids(keep func(*record) bool) []string {
	var ids []string
	for _, id := range v.sorted() {
		if keep(v.records[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// members returns the members with the phases concluded here, without this entry.
func (v *view) members() []ports.Member {
	members := make([]ports.Member, 0, len(v.records)+1)
	for _, id := range v.sorted() {
		m := v.records[id].latest
		m.Phase = v.records[id].phase
		members = append(members, m)
	}
	return members
}
