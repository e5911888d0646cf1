package elect

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// proofCall is a renewal of the lease or a read of the key.
type proofCall struct {
	sent      time.Time
	isRenewal bool
}

// startTerm begins a term as the holder. The lease has just been granted, but only
// renewals from now on count. Orders may be sent after the wait for a former holder.
func (p *Part) startTerm(now time.Time) []ports.Effect {
	p.phase = phaseHold
	p.tag = 0
	p.isRecorded = false
	p.renewedAt, p.checkedAt = time.Time{}, time.Time{}
	p.handoverFrom, p.handoverRecord = p.handoverStart(now), p.recordRevision
	from := timer.Later(now, p.handoverFrom.Add(p.handoverWait()))
	p.missingSince = time.Time{}
	p.status = Status{
		Holder: p.self, IsHolder: true, OrderFrom: from, Former: p.lastRecord.Holder, Start: p.termStart(), TermNumber: p.termNumber(),
	}
	p.setSettled()
	p.hasUnread, p.isRecordPutOff = p.status.Handover > 0, false
	p.recordTag = p.nextTag()
	return append(p.prove(now), ports.ArmTimer{Tag: p.recordTag, After: from.Sub(now)})
}

// termNumber returns the number of the term. Each term writes the key anew.
func (p *Part) termNumber() uint64 { return p.era*eraStep + uint64(p.keyRevision) }

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
	p.setSettled()
	if !isTimerPending {
		return nil
	}
	p.recordTag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.recordTag, After: from.Sub(now)}}
}

// handoverStart returns the time from which the wait for a former holder counts. It is
// the time when the key was found missing, if the record shows that no other instance has
// become the holder and sent orders since then. While the record is the same as in an earlier
// term of this instance, nobody has, and the wait goes on from there.
func (p *Part) handoverStart(now time.Time) time.Time {
	if !p.handoverFrom.IsZero() && p.recordRevision == p.handoverRecord {
		return p.handoverFrom
	}
	if p.missingSince.IsZero() || p.recordRevision > p.missingRevision {
		return now
	}
	return p.missingSince
}

// handoverWait returns the time after which no order of a former holder is on its way, plus
// the handover. There is no wait if this instance was the last holder or if there was none.
func (p *Part) handoverWait() time.Duration {
	if !p.hasFormer() {
		return 0
	}
	return p.settleTime() + p.handover
}

// hasFormer reports whether another instance may have sent orders before this term.
func (p *Part) hasFormer() bool {
	isOwn := !p.lastRecord.Holder.IsValid() || p.lastRecord.Holder == p.self
	return !isOwn || !p.isRecordCurrent()
}

// settleTime returns the time after which no order of the former holder is on its way.
func (p *Part) settleTime() time.Duration {
	switch {
	case !p.isRecordCurrent():
		return max(unknownArrival, p.lastRecord.arrival())
	case p.lastRecord.Settled:
		return 0
	}
	return p.lastRecord.arrival()
}

// setSettled sets SettledAt and Handover of the status. A holder that comes back to its own record
// may find there that targets have orders of the holder before it unread, which have settled.
func (p *Part) setSettled() {
	hasNoUnread := p.isRecordCurrent() && p.lastRecord.Settled && !p.lastRecord.HasUnread
	switch {
	case p.hasFormer() && !hasNoUnread:
		p.status.SettledAt = p.handoverFrom.Add(p.settleTime())
	case !p.hasFormer() && p.lastRecord.HasUnread:
		p.status.SettledAt = p.handoverFrom
	default:
		return
	}
	p.status.Handover = p.handover
}

// recordDue writes the record once orders may be sent, if the targets don't delay it.
func (p *Part) recordDue(now time.Time) []ports.Effect {
	rest := p.status.OrderFrom.Add(unreadTime).Sub(now)
	if !p.hasUnread || p.isRecordPutOff || rest <= 0 {
		p.isRecordPutOff = false
		return p.writeRecord()
	}
	p.isRecordPutOff = true
	p.recordTag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.recordTag, After: rest}}
}

// targetsRead notes that no target may have read orders of a former holder too recently.
func (p *Part) targetsRead(termNumber uint64) []ports.Effect {
	if p.phase != phaseHold || termNumber != p.status.TermNumber {
		return nil
	}
	p.hasUnread = false
	if !p.isRecordPutOff {
		return nil
	}
	p.isRecordPutOff = false
	return p.writeRecord()
}

// writeRecord names this instance in the record as the one that may have sent the latest
// orders.
func (p *Part) writeRecord() []ports.Effect {
	p.recordTag = p.nextTag()
	return []ports.Effect{ports.KVCall{Tag: p.recordTag, Req: ports.KVPut{
		Key: recordKey, Value: p.ownRecord().encode(), Expect: p.recordRevision,
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
	p.lastRecord, p.recordRevision = p.ownRecord(), r.Revision
	p.isRecorded = true
	p.status.Token = tokenOf(p.lastRecord, r.Revision)
	p.extendTerm()
	return nil
}

// prove renews the lease and reads the key, without waiting for earlier replies: while the
// store answers slowly, proofs arrive as often as otherwise.
func (p *Part) prove(now time.Time) []ports.Effect {
	if !p.renewedAt.IsZero() && now.Sub(p.renewedAt) > p.ttl+proofInterval {
		return p.endTerm(EndNotRenewed)
	}
	p.proofTag = p.nextTag()
	effects := []ports.Effect{ports.ArmTimer{Tag: p.proofTag, After: proofInterval}}
	if len(p.proofs) >= maxProofCalls {
		return effects
	}
	return append(effects,
		p.proofEffect(proofCall{sent: now, isRenewal: true}, ports.KVRenew{Lease: p.lease}),
		p.proofEffect(proofCall{sent: now}, ports.KVGet{Key: leaseKey}))
}

func (p *Part) proofEffect(c proofCall, req ports.KVRequest) ports.Effect {
	tag := p.nextTag()
	p.proofs[tag] = c
	return ports.KVCall{Tag: tag, Req: req}
}

// proofDone handles the reply to a renewal or to a read of the key. It shows the state of the
// store as of when the call was sent or later.
func (p *Part) proofDone(c proofCall, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVNotFound && c.isRenewal:
		return p.endTerm(EndLeaseLost)
	case r.Status == ports.KVNotFound, r.Status == ports.KVOK && !c.isRenewal && (!ok || item.Revision != p.keyRevision):
		return p.endTerm(EndKeyLost)
	case r.Status == ports.KVOK && c.isRenewal:
		p.renewedAt = timer.Later(p.renewedAt, c.sent)
		p.extendTerm()
	case r.Status == ports.KVOK:
		p.checkedAt = timer.Later(p.checkedAt, c.sent)
		p.extendTerm()
	case c.isRenewal && p.renewedAt.IsZero():
		return p.endTerm(EndNotRenewed)
	}
	return nil
}

// extendTerm updates the times until which this instance holds the key and may send orders.
func (p *Part) extendTerm() {
	if p.renewedAt.IsZero() || p.checkedAt.IsZero() {
		return
	}
	until := timer.Earlier(p.renewedAt.Add(p.ttl), p.checkedAt.Add(keyReadTTL))
	p.status.HeldUntil = until.Add(-heldMargin)
	if p.isRecorded {
		p.status.OrderUntil = timer.Earlier(p.renewedAt, p.checkedAt).Add(orderValidity)
	}
}

func (p *Part) endTerm(why EndReason) []ports.Effect {
	p.status = Status{Ended: why}
	clear(p.proofs)
	return p.readKey()
}

// release writes to the record that no order is on its way any more, so that the next holder
// need not wait for that, and then revokes the lease. Another instance makes no more calls,
// and keeps the holder that it knows to exchange messages with it until it ends.
func (p *Part) release(hasUnread bool) []ports.Effect {
	if p.phase != phaseHold {
		p.status = Status{Holder: p.status.Holder}
		p.phase = phaseStopped
		return nil
	}
	p.status = Status{Ended: EndStopped}
	clear(p.proofs)
	if !p.isRecorded {
		return p.revokeLease()
	}
	settled := p.lastRecord
	settled.Token = tokenOf(p.lastRecord, p.recordRevision)
	settled.Settled, settled.HasUnread = true, hasUnread
	return p.call(phaseRelease, ports.KVPut{Key: recordKey, Value: settled.encode(), Expect: p.recordRevision})
}

func (p *Part) revokeLease() []ports.Effect {
	return p.call(phaseStopped, ports.KVRevoke{Lease: p.lease})
}
