package member

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// record is what is known of one member.
type record struct {
	// said is the newest that the member said of itself.
	said ports.Member
	// heard is when said last became newer here.
	heard time.Time
	// phase is this entry's judgement.
	phase ports.MemberPhase
	// asked is when this entry last called the member because of its silence, and
	// failed tells that it did not answer since heard.
	asked  time.Time
	failed bool
	// proof is the beat that shows that the member outlived the first failed call
	// to it: the way there is cut, and a failed call says nothing about the
	// member. Zero means that no call has failed.
	proof uint64
	// outlived is the last word of a later incarnation that this one followed.
	outlived ports.Member
	// news is how many more times the record goes out ahead of others.
	news int
}

// fail notes a failed call. Beats that were made before it may still arrive by
// way of others, so only one that is beyond them proves anything.
func (r *record) fail(now time.Time) {
	const relayed = uint64(silentAfter / tickPeriod)
	r.failed = true
	if r.proof == 0 {
		r.proof = r.said.Beat + uint64(now.Sub(r.heard)/tickPeriod) + relayed
	}
}

// reach notes an answered call.
func (r *record) reach() {
	r.failed = false
	r.proof = 0
}

func (r *record) cutOff() bool {
	return r.proof > 0 && r.said.Beat > r.proof
}

// refutes reports whether a word is one that the record's member has outlived.
func (r *record) refutes(m ports.Member) bool {
	return r.outlived.ID != "" && m.Incarnation == r.outlived.Incarnation && !newer(m, r.outlived)
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

// Answers reports whether a member in a phase takes messages.
func Answers(phase ports.MemberPhase) bool {
	return phase == ports.MemberAlive || phase == ports.MemberLeaving
}
