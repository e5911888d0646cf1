package elect

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// noteEra compares the era of a reply with that of the latest one. It reports whether the
// store has come back from an older copy since. A reply of before that counts as lost.
func (p *Part) noteEra(now time.Time, r ports.KVReply) (reply ports.KVReply, hasRisen bool) {
	switch r.Status {
	case ports.KVUnavailable, ports.KVUnknown, ports.KVInvalid:
		return r, false
	case ports.KVOK, ports.KVConflict, ports.KVNotFound:
	}
	switch {
	case !p.hasEra:
		p.era, p.hasEra = r.Era, true
		p.isFirstStart = p.isFirstStart && now.Sub(p.startedAt) <= firstReplyTime
	case r.Era > p.era:
		p.era, p.isFirstStart = r.Era, false
		p.restores++
		return r, true
	case r.Era < p.era:
		return ports.KVReply{Status: ports.KVUnknown}, false
	}
	return r, false
}

// restart looks for the holder again, since the store has come back from an older copy. What
// was read before it shows nothing.
func (p *Part) restart() []ports.Effect {
	p.missingSince, p.handoverFrom, p.hasDeferred = time.Time{}, time.Time{}, false
	switch p.phase {
	case phasePassive, phaseStopped:
		return nil
	case phaseRelease:
		// The number of the lease may have been given to another instance.
		p.phase = phaseStopped
		return nil
	case phaseReadKey, phaseWatch, phaseBeforeWatch, phaseReadLast, phaseDefer, phaseGrant, phaseAcquire,
		phaseReadRecord, phaseHold:
	}
	return p.endTerm(EndOlderCopy)
}
