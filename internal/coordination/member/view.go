package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Times after which a member is judged by its silence.
const (
	// silentAfter is how long the beat of a member of the own zone may stand still.
	silentAfter = 10 * time.Second
	// remoteSilentAfter is the same for other zones, whose beats come by fewer hands.
	remoteSilentAfter = 30 * time.Second
	// listLag is how far the instance list may lag behind.
	listLag = 30 * time.Second
	// forgetAfter is how long a member that is gone is remembered, so that late
	// gossip does not bring it back.
	forgetAfter = 10 * time.Minute
	// remoteForgetAfter is how long a silent member of another zone is kept.
	remoteForgetAfter = 2 * time.Minute
)

// sampleSize is the number of members kept of each other zone.
const sampleSize = 8

// sampleDuty ranks the members of a zone for its sample.
const sampleDuty = "sample"

// record is what is known of one member.
type record struct {
	// said is the newest that the member said of itself.
	said ports.Member
	// heard is when said last became newer here.
	heard time.Time
	// phase is this entry's judgement.
	phase ports.MemberPhase
	// news is how many more times the record goes out ahead of others.
	news int
}

// view is the set of records, without the entry itself.
type view struct {
	self    string
	zone    string
	records map[string]*record
	// listed is the newest instance list, nil before the first.
	listed  map[string]ports.Instance
	changed bool
}

func newView(self ports.Member) *view {
	return &view{self: self.ID, zone: self.Zone, records: make(map[string]*record)}
}

// merge takes in a record that another entry passed on.
func (v *view) merge(now time.Time, m ports.Member) {
	if m.ID == v.self || m.ID == "" || m.Zone == "" {
		return
	}
	old := v.records[m.ID]
	if old != nil && !newer(m, old.said) {
		return
	}
	r := &record{said: m, heard: now, phase: m.Phase}
	if old != nil {
		r.news = old.news
	}
	if old == nil || materially(old.said, m) {
		r.news = v.newsSends()
		v.retireAddr(now, m)
	}
	if old == nil || old.phase != r.phase || old.said.ConfigVersion != m.ConfigVersion || materially(old.said, m) {
		v.changed = true
	}
	v.records[m.ID] = r
	if m.Zone != v.zone && old == nil {
		v.trimSample(m.Zone)
	}
}

// newer reports whether a is a later word of its member than b.
func newer(a, b ports.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// materially reports whether two words of a member differ in more than the beat
// and the configuration's version, which every message carries anyway.
func materially(a, b ports.Member) bool {
	return a.Incarnation != b.Incarnation || a.Phase != b.Phase || a.Addr != b.Addr || !slices.Equal(a.Shards, b.Shards)
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

// trimSample bounds the records of another zone, keeping those that answer and
// rank highest, so that the entries of this zone keep the same ones.
func (v *view) trimSample(zone string) {
	var ids []string
	for id, r := range v.records {
		if r.said.Zone == zone {
			ids = append(ids, id)
		}
	}
	if len(ids) <= sampleSize {
		return
	}
	slices.SortFunc(ids, func(a, b string) int {
		if byPhase := cmp.Compare(v.lost(a), v.lost(b)); byPhase != 0 {
			return byPhase
		}
		return compareRank(sampleDuty, a, b)
	})
	for _, id := range ids[sampleSize:] {
		delete(v.records, id)
	}
	v.changed = true
}

// lost is 1 for a member that is silent or gone.
func (v *view) lost(id string) int {
	switch v.records[id].phase {
	case ports.MemberSilent, ports.MemberGone:
		return 1
	default:
		return 0
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
				delete(v.records, id)
				v.changed = true
			}
		case v.listed != nil && !listed && still > listLag:
			v.judge(r, ports.MemberGone)
			r.heard = now
		case still > silentAfter:
			v.judge(r, ports.MemberSilent)
		}
	}
}

func (v *view) sweepRemote(id string, r *record, still time.Duration) {
	switch {
	case still > remoteForgetAfter:
		delete(v.records, id)
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

// excuse moves every observation forward by a time in which this entry did not
// run and so could hear nobody.
func (v *view) excuse(pause time.Duration) {
	for _, r := range v.records {
		if r.phase != ports.MemberGone {
			r.heard = r.heard.Add(pause)
		}
	}
}

// ids returns the IDs for which keep holds, in order.
func (v *view) ids(keep func(*record) bool) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(v.records)) {
		if keep(v.records[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// members returns the view as others see it, without the entry itself.
func (v *view) members() []ports.Member {
	members := make([]ports.Member, 0, len(v.records)+1)
	for _, id := range v.ids(func(*record) bool { return true }) {
		m := v.records[id].said
		m.Phase = v.records[id].phase
		members = append(members, m)
	}
	return members
}
