package member

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// record is what this entry knows about one member.
type record struct {
	// latest is the newest state received that the member sent of itself.
	latest ports.Member
	// updatedAt is when latest was replaced by newer state here.
	updatedAt time.Time
	// phase is the phase that this entry has concluded.
	phase ports.MemberPhase
	// probedAt is when this entry last called the member because of its silence.
	// callFailed means that a call to it has failed since updatedAt.
	probedAt   time.Time
	callFailed bool
	// survivalBeat is the beat above which the member must have been running after the
	// first failed call to it. A member with such a beat is alive but the network path to
	// it is cut, so that failed calls say nothing about the member. Zero means that no
	// call has failed.
	survivalBeat uint64
	// replaced is the last state of a later incarnation that this one followed.
	replaced ports.Member
	// sendsLeft is how many more times the record is sent with priority as a recent
	// change.
	sendsLeft int
}

// recordFailure records a failed call. Beats made before the call may still arrive
// through other members, so only a beat beyond those shows that the member is running.
func (r *record) recordFailure(now time.Time) {
	const relayBeats = uint64(suspectTimeout / gossipInterval)
	r.callFailed = true
	if r.survivalBeat == 0 {
		r.survivalBeat = r.latest.Beat + uint64(now.Sub(r.updatedAt)/gossipInterval) + relayBeats
	}
}

// recordSuccess records an answered call.
func (r *record) recordSuccess() {
	r.callFailed = false
	r.survivalBeat = 0
}

// isPathCut reports whether the member is running although calls to it fail.
func (r *record) isPathCut() bool {
	return r.survivalBeat > 0 && r.latest.Beat > r.survivalBeat
}

// isReplaced reports whether m belongs to the later incarnation that the current one has
// replaced, and is not newer than the last known state of that incarnation.
func (r *record) isReplaced(m ports.Member) bool {
	return r.replaced.ID != "" && m.Incarnation == r.replaced.Incarnation && !isNewer(m, r.replaced)
}

// isNewer reports whether a is newer state of its member than b.
func isNewer(a, b ports.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// differsMaterially reports whether two states of a member differ in more than the beat
// and the configuration version, which every message carries anyway.
func differsMaterially(a, b ports.Member) bool {
	return a.Incarnation != b.Incarnation || a.Phase != b.Phase || a.Addr != b.Addr || !slices.Equal(a.Shards, b.Shards)
}

// IsReachable reports whether a member in a phase accepts messages.
func IsReachable(phase ports.MemberPhase) bool {
	return phase == ports.MemberAlive || phase == ports.MemberLeaving
}
