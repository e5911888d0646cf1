package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Times after which a member is judged by its silence.
const (
	// silentAfter is how long the beat of a member of the own zone may stand
	// still before a failed call to it counts.
	silentAfter = 10 * time.Second
	// surelySilentAfter is the same without any call.
	surelySilentAfter = 2 * silentAfter
	// remoteSilentAfter is the same for other zones, whose beats come by fewer hands.
	remoteSilentAfter = time.Minute
	// listLag is how far the instance list may lag behind.
	listLag = 30 * time.Second
	// forgetAfter is how long a member that is gone is remembered, so that late
	// gossip does not bring it back.
	forgetAfter = 10 * time.Minute
	// remoteForgetAfter is how long a silent member of another zone is kept.
	remoteForgetAfter = 15 * time.Minute
)

// askAgainAfter is how long a member that was asked because of its silence is
// left alone, so that one that died does not draw all rounds to itself.
const askAgainAfter = 5 * time.Second

// SampleSize is the number of members kept of each other zone that answer.
const SampleSize = 8

// lostSampleSize is the number of those kept that no longer answer.
const lostSampleSize = 4 * SampleSize

// view is the set of records, without the entry itself.
type view struct {
	self    string
	zone    string
	records map[string]*record
	// order is the keys of records, sorted, or nil after one came or went.
	order []string
	// listed is the newest instance list, nil before the first.
	listed  map[string]ports.Instance
	changed bool
}

func newView(self ports.Member) *view {
	return &view{self: self.ID, zone: self.Zone, records: make(map[string]*record)}
}

// meet takes in what a member said of itself to this entry.
//
// Incarnations come from wall clocks, so an instance whose clock was set back
// starts again below its predecessor. Its own word counts once the predecessor
// is silent. Others may go on passing on the predecessor's last words; they are
// remembered and refused, or the two would replace each other for ever:
//
//	incarnation 9, beat 70   falls silent
//	incarnation 5, beat 1    met: taken, 9/70 is outlived
//	incarnation 9, beat 66   passed on by another: refused
//	incarnation 9, beat 71   it was only paused: taken
func (v *view) meet(now time.Time, m ports.Member) {
	old := v.records[m.ID]
	behind := old != nil && m.Incarnation < old.said.Incarnation && !Answers(old.phase)
	if behind {
		v.drop(m.ID)
	}
	v.merge(now, m)
	if r := v.records[m.ID]; behind && r != nil {
		r.outlived = old.said
	}
}

// merge takes in a record that another entry passed on.
func (v *view) merge(now time.Time, m ports.Member) {
	if m.ID == v.self || m.ID == "" || m.Zone == "" {
		return
	}
	old := v.records[m.ID]
	if old == nil {
		v.insert(now, m)
		return
	}
	if newer(m, old.said) && !old.refutes(m) {
		v.replace(now, old, m)
	}
}

// insert takes in a member that was not known.
func (v *view) insert(now time.Time, m ports.Member) {
	if !v.admits(m) {
		return
	}
	v.records[m.ID] = &record{said: m, heard: now, phase: m.Phase, news: v.newsSends()}
	v.order = nil
	v.changed = true
	v.retireAddr(now, m)
	v.trimSample(m.Zone)
}

// replace takes in a newer word of a member.
func (v *view) replace(now time.Time, old *record, m ports.Member) {
	r := &record{said: m, heard: now, phase: m.Phase, news: old.news, asked: old.asked, outlived: old.outlived}
	if m.Incarnation == old.said.Incarnation {
		r.proof = old.proof
	}
	v.records[m.ID] = r
	material := materially(old.said, m)
	if material {
		r.news = v.newsSends()
		v.retireAddr(now, m)
	}
	if material || old.phase != r.phase || old.said.ConfigVersion != m.ConfigVersion {
		v.changed = true
	}
	if !Answers(old.phase) {
		v.trimSample(m.Zone)
	}
}

// retireAddr concludes that who was at an address before is gone.
func (v *view) retireAddr(now time.Time, m ports.Member) {
	for id, r := range v.records {
		if id == m.ID || r.said.Addr != m.Addr || r.phase == ports.MemberGone {
			continue
		}
		if r.phase == ports.MemberSilent || m.Incarnation > r.said.Incarnation {
			r.phase = ports.MemberGone
			r.heard = now
			v.changed = true
		}
	}
}

// newsSends is how often news goes out from here: a few times the logarithm of
// the zone's size reaches everyone by epidemic spread.
func (v *view) newsSends() int {
	const factor = 3
	return factor * (1 + bits.Len(uint(len(v.records))))
}

// admits reports whether an unknown member is kept. Taking in one of another zone
// only to drop it again would change the view at every message of its kind.
func (v *view) admits(m ports.Member) bool {
	if m.Zone == v.zone {
		return true
	}
	rivals := v.ids(func(r *record) bool { return r.said.Zone == m.Zone && Answers(r.phase) })
	return len(rivals) < SampleSize || slices.Contains(Choose(append(rivals, m.ID), delegateDuty, SampleSize), m.ID)
}

// trimSample bounds the records of another zone.
//
// Of those that answer it keeps the ones that rank highest, so that the entries
// of this zone keep the same ones. Those that fell silent stay beside them until
// they are forgotten: an entry that dropped one at once would take it back, as
// alive, from another that has not noticed yet, and pass it on, and the two would
// keep a dead member alive between them.
func (v *view) trimSample(zone string) {
	if zone == v.zone {
		return
	}
	answering := v.ids(func(r *record) bool { return r.said.Zone == zone && Answers(r.phase) })
	kept := Choose(answering, delegateDuty, SampleSize)
	for _, id := range answering {
		if !slices.Contains(kept, id) {
			v.drop(id)
			v.changed = true
		}
	}
	lost := v.ids(func(r *record) bool { return r.said.Zone == zone && !Answers(r.phase) })
	slices.SortStableFunc(lost, func(a, b string) int { return v.records[b].heard.Compare(v.records[a].heard) })
	for _, id := range lost[min(len(lost), lostSampleSize):] {
		v.drop(id)
		v.changed = true
	}
}

// sweep judges every member by the time since its beat last moved.
func (v *view) sweep(now time.Time) {
	for id, r := range v.records {
		still := now.Sub(r.heard)
		if r.said.Zone != v.zone {
			v.sweepRemote(id, r, still)
			continue
		}
		_, listed := v.listed[id]
		switch {
		case r.phase == ports.MemberGone:
			if still > forgetAfter && !listed {
				v.drop(id)
				v.changed = true
			}
		case v.listed != nil && !listed && still > listLag:
			v.judge(r, ports.MemberGone)
			r.heard = now
		case still > surelySilentAfter || (still > silentAfter && r.failed && !r.cutOff()):
			v.judge(r, ports.MemberSilent)
		}
	}
}

func (v *view) sweepRemote(id string, r *record, still time.Duration) {
	switch {
	case still > remoteForgetAfter:
		v.drop(id)
		v.changed = true
	case still > remoteSilentAfter && r.phase != ports.MemberGone:
		v.judge(r, ports.MemberSilent)
	}
}

func (v *view) judge(r *record, phase ports.MemberPhase) {
	if r.phase != phase {
		r.phase = phase
		v.changed = true
	}
}

// stalest returns the member of the own zone that was heard of longest ago, among
// those that answer and have not been asked lately; false if there is none.
func (v *view) stalest(now time.Time) (string, bool) {
	found := ""
	for _, id := range v.ids(func(r *record) bool { return r.said.Zone == v.zone && Answers(r.phase) }) {
		r := v.records[id]
		if now.Sub(r.asked) < askAgainAfter {
			continue
		}
		if found == "" || r.heard.Before(v.records[found].heard) {
			found = id
		}
	}
	return found, found != ""
}

// excuse moves every observation forward by a time in which this entry did not
// run and so could hear nobody; what it heard on waking stays as it is.
func (v *view) excuse(now time.Time, pause time.Duration) {
	for _, r := range v.records {
		if r.phase == ports.MemberGone {
			continue
		}
		r.heard = r.heard.Add(pause)
		if r.heard.After(now) {
			r.heard = now
		}
	}
}

func (v *view) drop(id string) {
	delete(v.records, id)
	v.order = nil
}

// sorted returns the IDs of all records in order.
func (v *view) sorted() []string {
	if v.order == nil {
		v.order = slices.Sorted(maps.Keys(v.records))
	}
	return v.order
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

// members returns the view as others see it, without the entry itself.
func (v *view) members() []ports.Member {
	members := make([]ports.Member, 0, len(v.records)+1)
	for _, id := range v.sorted() {
		m := v.records[id].said
		m.Phase = v.records[id].phase
		members = append(members, m)
	}
	return members
}
