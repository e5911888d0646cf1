package elect

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// pendingCall is a call that is made in addition to that of the current phase.
type pendingCall struct {
	tag  ports.Tag
	sent time.Time
	// wait is the timeout of a watch, 0 for other calls.
	wait time.Duration
}

// observedUntil returns the time up to which the reply of a call describes the store. A
// watch that ends with its timeout shows that there was no change until then; the reply
// of any other call counts from when the call was sent.
func (c pendingCall) observedUntil(now time.Time) time.Time {
	if end := c.sent.Add(c.wait); !end.After(now) {
		return end
	}
	return c.sent
}

// startTerm begins a term as the holder. The lease has just been granted, but only
// renewals from now on count. Orders may be sent after the wait for a former holder.
func (p *Part) startTerm(now time.Time) []ports.Effect {
	p.phase = phaseHold
	p.tag = 0
	p.isRecorded = false
	p.renewedAt, p.checkedAt = time.Time{}, time.Time{}
	p.handoverFrom = p.handoverStart(now)
	from := timer.Later(now, p.handoverFrom.Add(p.handoverWait()))
	p.missingSince = time.Time{}
	p.status = Status{Holder: p.self, IsHolder: true, OrderFrom: from, Former: p.lastRecord.Holder, Start: p.termStart()}
	p.recordTag = p.nextTag()
	effects := p.renew(now)
	effects = append(effects, p.watchOwnKey(now)...)
	return append(effects, ports.ArmTimer{Tag: p.recordTag, After: from.Sub(now)})
}

// setHandover changes the handover. A term in which orders may already have been sent goes
// on. In one that still waits for a former holder, the wait is extended, and the record is
// written at its end.
func (p *Part) setHandover(now time.Time, handover time.Duration) []ports.Effect {
	p.handover = handover
	isWaiting := p.phase == phaseHold && (!p.isRecorded || now.Before(p.status.OrderFrom))
	from := p.handoverFrom.Add(p.handoverWait())
	if !isWaiting || !from.After(now) || !from.After(p.status.OrderFrom) {
		return nil
	}
	isTimerPending := now.Before(p.status.OrderFrom) && !p.isRecorded
	p.status.OrderFrom = from
	if !isTimerPending {
		return nil
	}
	p.recordTag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.recordTag, After: from.Sub(now)}}
}

// handoverStart returns the time from which the wait for a former holder counts. It is
// the time when the key was found missing, if the record shows that no other instance has
// become the holder and sent orders since then.
func (p *Part) handoverStart(now time.Time) time.Time {
	if p.missingSince.IsZero() || p.recordRevision > p.missingRevision {
		return now
	}
	return p.missingSince
}

// handoverWait returns the time after which a former holder has certainly stopped, plus
// the handover. There is no wait if this instance was the last holder or if there was
// none, and only the handover if the last holder has released the key.
func (p *Part) handoverWait() time.Duration {
	switch {
	case !p.lastRecord.Holder.IsValid(), p.lastRecord.Holder == p.self:
		return 0
	case p.lastRecord.Released:
		return p.handover
	}
	return max(keyCheckTTL, p.ttl) + p.handover
}

// writeRecord names this instance in the record as the one that may have sent the latest
// orders. The revision of the record is the fencing token.
func (p *Part) writeRecord() []ports.Effect {
	p.recordTag = p.nextTag()
	return []ports.Effect{ports.KVCall{Tag: p.recordTag, Req: ports.KVPut{
		Key: recordKey, Value: holderValue{Holder: p.self}.encode(), Expect: p.recordRevision,
	}}}
}

// recordDone handles the reply to the write of the record. A call that the store did not
// take is repeated. After any other failure the term ends, and the next one reads the
// record again.
func (p *Part) recordDone(r ports.KVReply) []ports.Effect {
	if r.Status == ports.KVUnavailable {
		p.recordTag = p.nextTag()
		return []ports.Effect{ports.ArmTimer{Tag: p.recordTag, After: minRetryDelay}}
	}
	if r.Status != ports.KVOK {
		return p.endTerm(EndNotRecorded)
	}
	p.isRecorded = true
	p.recordRevision = r.Revision
	p.status.Token = uint64(r.Revision)
	p.extendTerm()
	return nil
}

func (p *Part) renew(now time.Time) []ports.Effect {
	if !p.renewedAt.IsZero() && now.Sub(p.renewedAt) > p.ttl {
		return p.endTerm(EndNotRenewed)
	}
	p.renewal = pendingCall{tag: p.nextTag(), sent: now}
	return []ports.Effect{ports.KVCall{Tag: p.renewal.tag, Req: ports.KVRenew{Lease: p.lease}}}
}

func (p *Part) renewDone(now time.Time, r ports.KVReply) []ports.Effect {
	switch r.Status {
	case ports.KVOK:
		p.renewedAt = p.renewal.sent
		p.extendTerm()
	case ports.KVNotFound:
		return p.endTerm(EndLeaseLost)
	default:
		if p.renewedAt.IsZero() {
			return p.endTerm(EndNotRenewed)
		}
	}
	p.renewal.tag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.renewal.tag, After: max(renewInterval-now.Sub(p.renewal.sent), 0)}}
}

// watchOwnKey watches this instance's key. A watch without a change confirms the key.
func (p *Part) watchOwnKey(now time.Time) []ports.Effect {
	wait := holderWatchTimeout
	if p.checkedAt.IsZero() {
		wait = firstWatchTimeout
	}
	p.keyCheck = pendingCall{tag: p.nextTag(), sent: now, wait: wait}
	return []ports.Effect{ports.KVCall{Tag: p.keyCheck.tag, Req: ports.KVWatch{
		Prefix: leaseKey, After: p.seenRevision, Wait: wait,
	}}}
}

// readOwnKey reads this instance's key if the store no longer has the history that a
// watch needs.
func (p *Part) readOwnKey(now time.Time) []ports.Effect {
	p.keyCheck = pendingCall{tag: p.nextTag(), sent: now}
	return []ports.Effect{ports.KVCall{Tag: p.keyCheck.tag, Req: ports.KVGet{Key: leaseKey}}}
}

func (p *Part) keyCheckDone(now time.Time, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVOK && (!ok || !item.Deleted && item.Revision == p.keyRevision):
		p.seenRevision = max(p.seenRevision, r.Revision)
		p.checkedAt = p.keyCheck.observedUntil(now)
		p.extendTerm()
		return p.watchOwnKey(now)
	case r.Status == ports.KVConflict:
		return p.readOwnKey(now)
	case r.Status == ports.KVOK, r.Status == ports.KVNotFound:
		return p.endTerm(EndKeyLost)
	}
	p.keyCheck.tag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.keyCheck.tag, After: minRetryDelay}}
}

// extendTerm updates the time until which orders may be sent. It is bounded by the lease
// since the last renewal and by keyCheckTTL since the last check of the key.
func (p *Part) extendTerm() {
	if p.renewedAt.IsZero() || p.checkedAt.IsZero() {
		return
	}
	until := p.renewedAt.Add(p.ttl)
	if seen := p.checkedAt.Add(keyCheckTTL); seen.Before(until) {
		until = seen
	}
	p.status.HeldUntil = until.Add(-orderMargin)
	if p.isRecorded {
		p.status.OrderUntil = p.status.HeldUntil
	}
}

func (p *Part) endTerm(why EndReason) []ports.Effect {
	p.status = Status{Ended: why}
	return p.readKey()
}

// release writes to the record that no more orders follow, so that the next holder need
// not wait for the end of the lease, and then revokes the lease. Another instance makes no
// more calls, and keeps the holder that it knows to exchange messages with it until it ends.
func (p *Part) release() []ports.Effect {
	if p.phase != phaseHold {
		p.status = Status{Holder: p.status.Holder}
		p.phase = phaseStopped
		return nil
	}
	p.status = Status{Ended: EndStopped}
	if !p.isRecorded {
		return p.revokeLease()
	}
	return p.call(phaseRelease, ports.KVPut{
		Key: recordKey, Value: holderValue{Holder: p.self, Released: true}.encode(), Expect: p.recordRevision,
	})
}

func (p *Part) revokeLease() []ports.Effect {
	return p.call(phaseStopped, ports.KVRevoke{Lease: p.lease})
}
