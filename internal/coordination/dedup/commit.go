package dedup

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// startCalls starts KV calls for the queued buckets, as far as the limits on concurrent
// calls and on writes permit.
func (p *Part) startCalls() {
	waiting := p.queue
	p.queue = nil
	for i, b := range waiting {
		if p.kvCallsInFlight >= p.settings.MaxInFlight || !p.hasWriteToken() {
			p.queue = append(p.queue, waiting[i:]...)
			return
		}
		b.queued = false
		p.startNextCall(b)
	}
}

// hasWriteToken refills the token bucket and reports whether it holds a token. If it
// doesn't, a timer is armed that resumes the queue once there is one.
func (p *Part) hasWriteToken() bool {
	rate := p.writeRate()
	if !p.refilledAt.IsZero() {
		p.writeTokens = min(p.writeTokens+rate*p.now.Sub(p.refilledAt).Seconds(), p.writeBurst())
	}
	p.refilledAt = p.now
	if p.writeTokens >= 1 {
		return true
	}
	if !p.hasQueueTimer {
		p.hasQueueTimer = true
		after := time.Duration((1 - p.writeTokens) / rate * float64(time.Second))
		p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(awaitedEvent{kind: awaitQueueTimer}), After: after + time.Microsecond})
	}
	return false
}

// startNextCall starts the next KV call of a bucket if it has work to do.
func (p *Part) startNextCall(b *bucket) {
	if b.busy {
		return
	}
	if b.mustClear {
		p.clearSplitBucket(b)
		return
	}
	if b.children[0] != nil || len(b.ops) == 0 && !b.mustCreate {
		return
	}
	if p.now.Before(b.notBefore) {
		p.armWakeTimer(b, b.notBefore.Sub(p.now))
		return
	}
	if b.mustRead || (b.contended && !b.fresh) {
		p.startRead(b)
		return
	}
	p.commit(b)
}

func (p *Part) armWakeTimer(b *bucket, after time.Duration) {
	if b.hasWakeTimer {
		return
	}
	b.hasWakeTimer = true
	p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(awaitedEvent{kind: awaitWakeTimer, bucket: b}), After: after})
}

func (p *Part) startRead(b *bucket) {
	b.mustRead = false
	p.startKVCall(b, awaitRead, ports.KVGet{Key: b.key})
}

// commit applies all pending operations to the records last seen and writes the result.
// If the operations change nothing, the claims are answered from the records alone, which
// must be fresh for that.
func (p *Part) commit(b *bucket) {
	merged, decisions, changed := p.mergeOps(b)
	if changed && p.needsSplit(b, merged) {
		p.writeSplitMark(b)
		return
	}
	if !changed && !b.mustCreate {
		if !b.fresh {
			p.startRead(b)
			return
		}
		p.completeOps(b, b.ops, decisions)
		return
	}
	p.writeTokens--
	b.inFlightRecords = merged
	b.inFlightOps = b.ops
	p.startKVCall(b, awaitWrite, ports.KVPut{Key: b.key, Value: encodeBucket(merged, false), Expect: b.revision})
}

func (p *Part) startKVCall(b *bucket, kind awaitedKind, req ports.KVRequest) {
	b.busy = true
	p.kvCallsInFlight++
	p.effects = append(p.effects, ports.KVCall{Tag: p.newTag(awaitedEvent{kind: kind, bucket: b}), Req: req})
}

// mergeOps returns the records with the pending operations applied, the decision on each
// claim, and whether anything changed.
func (p *Part) mergeOps(b *bucket) (map[string]*record, map[*op]Decision, bool) {
	records := maps.Clone(b.records)
	decisions := make(map[*op]Decision)
	changed := false
	for _, op := range b.ops {
		switch op.kind {
		case opClaim:
			d, insert := p.evaluateClaim(b, records, op)
			decisions[op] = d
			if insert {
				records[op.id] = op.record
				changed = true
			}
		case opEnd:
			changed = p.mergeEnd(records, op) || changed
		case opRelease:
			changed = mergeRelease(records, op) || changed
		}
	}
	if !changed {
		return records, decisions, false
	}
	b.dropExpired(records, p.settings.Retention, p.now)
	if !b.shrinkToFit(records, p.settings.MaxBucketBytes) {
		p.dropNewClaims(records, decisions)
		changed = len(decisions) < len(b.ops)
	}
	return records, decisions, changed
}

// evaluateClaim returns the decision on a claim given the records, and whether the claim
// has to be inserted.
func (p *Part) evaluateClaim(b *bucket, records map[string]*record, op *op) (Decision, bool) {
	run := Decision{Kind: DecisionRun, Ticket: Ticket{ID: op.id, Nonce: op.record.Nonce}}
	r := records[op.id]
	switch {
	case op.answered:
		return Decision{}, false
	case r == nil:
		return run, true
	case r.Nonce == op.record.Nonce:
		return run, false
	case r.Sum != op.record.Sum:
		return Decision{Kind: DecisionMismatch}, false
	case r.hasEnded():
		return endedDecision(r), false
	case r.Entry == p.settings.Self && r.Incarnation == p.settings.Incarnation:
		// This entry does not know the call: the claim was abandoned when it may already
		// have been written, and the call was never sent.
		return run, true
	}
	return p.evaluateRunning(b, op.id, r), false
}

func (p *Part) evaluateRunning(b *bucket, id string, r *record) Decision {
	if p.isClaimantGone(b, id, r) {
		return Decision{Kind: DecisionUnknown}
	}
	left := r.TimeLeft + claimMargin - b.age(id, p.now)
	if left <= 0 {
		return Decision{Kind: DecisionUnknown}
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: min(left, maxInProgressRetryAfter)}
}

// isClaimantGone reports whether the process that claimed a key has ended. An entry that
// is not among the known members may have just started, so it counts as gone only after
// claimMargin.
func (p *Part) isClaimantGone(b *bucket, id string, r *record) bool {
	if r.Entry == p.settings.Self {
		return r.Incarnation != p.settings.Incarnation
	}
	if p.memberIncarnations == nil {
		return false
	}
	incarnation, known := p.memberIncarnations[r.Entry]
	if !known {
		return b.age(id, p.now) > claimMargin
	}
	return incarnation > r.Incarnation
}

// mergeEnd replaces a claim with its outcome and reports whether the records changed. If
// the key has no record, as after a call that ran without a claim, the outcome is added;
// a record of another claim is left as it is.
func (p *Part) mergeEnd(records map[string]*record, op *op) bool {
	r := records[op.id]
	if r != nil && (r.Nonce != op.record.Nonce || r.hasEnded()) {
		return false
	}
	records[op.id] = op.record
	return true
}

func mergeRelease(records map[string]*record, op *op) bool {
	r := records[op.id]
	if r == nil || r.Nonce != op.record.Nonce || r.hasEnded() {
		return op.maybeWritten
	}
	delete(records, op.id)
	return true
}

// dropNewClaims removes the new claims from a bucket that is full.
func (p *Part) dropNewClaims(records map[string]*record, decisions map[*op]Decision) {
	for op, d := range decisions {
		if d.Kind == DecisionRun && records[op.id] == op.record && !op.maybeWritten {
			delete(records, op.id)
			decisions[op] = Decision{Kind: DecisionFull, RetryAfter: unavailableRetryAfter}
		}
	}
}

func (p *Part) handleKVDone(e ports.KVDone) {
	c, ok := p.awaited[e.Tag]
	if !ok {
		return
	}
	delete(p.awaited, e.Tag)
	p.outage.recordReply(p.now, e.Reply.Status)
	c.bucket.busy = false
	p.kvCallsInFlight--
	if c.bucket.children[0] != nil {
		// This call removed the records of a split bucket. Its result does not matter,
		// since only the split mark is still read.
		return
	}
	p.enqueueBucket(c.bucket)
	if c.kind == awaitWrite {
		p.handleWriteReply(c.bucket, e.Reply)
		return
	}
	p.handleReadReply(c.bucket, e.Reply)
}

func (p *Part) handleWriteReply(b *bucket, reply ports.KVReply) {
	merged, batch := b.inFlightRecords, b.inFlightOps
	b.inFlightRecords, b.inFlightOps = nil, nil
	switch reply.Status {
	case ports.KVOK:
		p.handleCommitted(b, merged, batch, reply.Revision)
	case ports.KVConflict:
		p.handleConflict(b, reply)
	case ports.KVUnknown:
		// The write may have taken effect, so the bucket is read to find out.
		for _, op := range batch {
			op.maybeWritten = true
		}
		b.mustRead = true
		p.backOff(b)
	case ports.KVInvalid:
		p.handleRejected(b)
	default:
		p.handleUnavailable(b)
	}
}

func (p *Part) handleCommitted(b *bucket, merged map[string]*record, batch []*op, revision ports.Revision) {
	decisions := p.decisionsFor(b, merged, batch)
	b.failures = 0
	b.setRecords(merged, revision, p.now)
	if b.isSplitting {
		p.split(b)
		return
	}
	p.noteCreated(b)
	b.fresh = true
	p.completeOps(b, batch, decisions)
	b.fresh = false
}

// decisionsFor evaluates the claims of a batch against the records that were written with
// it.
func (p *Part) decisionsFor(b *bucket, merged map[string]*record, batch []*op) map[*op]Decision {
	decisions := make(map[*op]Decision)
	for _, op := range batch {
		if op.kind != opClaim {
			continue
		}
		d, missing := p.evaluateClaim(b, merged, op)
		if missing {
			d = Decision{Kind: DecisionFull, RetryAfter: unavailableRetryAfter}
		}
		decisions[op] = d
	}
	return decisions
}

func (p *Part) handleConflict(b *bucket, reply ports.KVReply) {
	if err := b.load(reply, p.now); err != nil {
		p.handleRejected(b)
		return
	}
	if p.splitIfMarked(b) {
		return
	}
	// The reply to a conflict holds the current value of the bucket.
	b.fresh = true
	b.contended = true
	b.failures = min(b.failures+1, 8)
	if b.failures > 1 {
		delay := time.Duration(p.random.Int64N(int64(conflictDelay) * int64(b.failures)))
		b.notBefore = p.now.Add(delay)
		b.fresh = false
	}
}

func (p *Part) handleReadReply(b *bucket, reply ports.KVReply) {
	switch reply.Status {
	case ports.KVOK, ports.KVNotFound:
		before := b.revision
		if err := b.load(reply, p.now); err != nil {
			p.handleRejected(b)
			return
		}
		if p.splitIfMarked(b) {
			return
		}
		b.contended = b.revision != before
		b.failures = 0
		b.fresh = true
		p.commit(b)
		b.fresh = false
	case ports.KVUnknown:
		b.mustRead = true
		p.backOff(b)
	default:
		p.handleUnavailable(b)
	}
}

// completeOps answers the claims of a batch and removes its operations.
func (p *Part) completeOps(b *bucket, batch []*op, decisions map[*op]Decision) {
	done := make(map[*op]bool, len(batch))
	for _, op := range batch {
		done[op] = true
		if op.kind != opClaim {
			p.countUnwritten(op, -1)
			p.removeWrittenCall(b, op)
			continue
		}
		if op.answered {
			continue
		}
		p.answerClaim(b, op, decisions[op])
	}
	p.removeOps(b, done)
}

func (p *Part) removeOps(b *bucket, done map[*op]bool) {
	var left []*op
	for _, op := range b.ops {
		if !done[op] {
			left = append(left, op)
		}
	}
	b.ops = left
}

// removeWrittenCall removes a call of this entry once its end is in the KV service.
func (p *Part) removeWrittenCall(b *bucket, op *op) {
	if local := b.localCalls[op.id]; op.kind == opEnd && local != nil && local.record.Nonce == op.record.Nonce {
		delete(b.localCalls, op.id)
	}
}

// answerClaim answers a claim with its decision, or holds it for a moment. A call may run
// only if its deadline has not passed.
func (p *Part) answerClaim(b *bucket, op *op, d Decision) {
	if p.holdClaim(b, op, d) {
		return
	}
	op.answered = true
	if d.Kind != DecisionRun {
		p.removeLocalCall(b, op)
		p.answer(op.requestID, d)
		return
	}
	if !p.now.Before(op.deadline) {
		p.release(b, op.id, op.record, false)
		p.answer(op.requestID, Decision{Kind: DecisionUnavailable, RetryAfter: unavailableRetryAfter})
		return
	}
	b.localCalls[op.id].phase = phaseRunning
	p.answer(op.requestID, d)
}

// holdClaim defers the answer to a claim whose call runs at another entry, and evaluates
// the claim again later. The entry that ran the call answers its caller before the
// outcome is written, so that no caller waits for that write; a repeat at another entry
// may arrive before the outcome does. For example, the outcome of a call that is answered
// at 0 ms reaches the KV service at 5 ms; a repeat that reads the claim at 3 ms reads
// again at 23 ms.
func (p *Part) holdClaim(b *bucket, op *op, d Decision) bool {
	if d.Kind != DecisionInProgress {
		return false
	}
	delay := firstHoldDelay
	if op.inProgress == nil {
		op.heldUntil = p.now.Add(maxHold)
		if op.deadline.Before(op.heldUntil) {
			op.heldUntil = op.deadline
		}
	} else {
		delay = 2 * op.holdDelay
	}
	op.holdDelay = min(delay, op.heldUntil.Sub(p.now))
	op.inProgress = &d
	if op.holdDelay <= 0 {
		return false
	}
	b.heldClaims = append(b.heldClaims, op)
	tag := p.newTag(awaitedEvent{kind: awaitHoldTimer, bucket: b, op: op})
	p.effects = append(p.effects, ports.ArmTimer{Tag: tag, After: op.holdDelay})
	return true
}

// retryHeld adds a held claim to the pending operations of its bucket again.
func (p *Part) retryHeld(b *bucket, claim *op) {
	b.heldClaims = slices.DeleteFunc(b.heldClaims, func(held *op) bool { return held == claim })
	p.addOp(b, claim)
	p.armExpiryTimer()
}

func (p *Part) removeLocalCall(b *bucket, op *op) {
	if local := b.localCalls[op.id]; local != nil && local.record == op.record {
		delete(b.localCalls, op.id)
	}
}

// abandonClaim answers a claim that cannot be committed in time, and releases the key if
// the claim may have been written.
func (p *Part) abandonClaim(b *bucket, op *op) {
	if willRun := p.answerUncommitted(b, op); !willRun && (op.maybeWritten || b.busy) {
		p.release(b, op.id, op.record, true)
	}
}

// answerUncommitted answers a claim that is not committed, and reports whether its call
// runs nevertheless because it may run without a claim.
func (p *Part) answerUncommitted(b *bucket, op *op) (willRun bool) {
	op.answered = true
	// A call that was seen running at another entry must not run without a claim here
	// just because the KV service is unreachable now.
	if op.withoutKV && op.inProgress == nil {
		b.localCalls[op.id].phase = phaseRunning
		p.answer(op.requestID, Decision{
			Kind: DecisionRunUnclaimed, Ticket: Ticket{ID: op.id, Nonce: op.record.Nonce},
		})
		return true
	}
	d := Decision{Kind: DecisionUnavailable, RetryAfter: unavailableRetryAfter}
	if op.inProgress != nil {
		d = *op.inProgress
	}
	p.answer(op.requestID, d)
	p.removeLocalCall(b, op)
	return false
}

// handleUnavailable answers all claims of a bucket at once after the KV service refused a
// call; the ends of calls are kept and written later.
func (p *Part) handleUnavailable(b *bucket) {
	b.mustRead = true
	done := make(map[*op]bool)
	for _, op := range b.ops {
		if op.kind != opClaim {
			continue
		}
		done[op] = true
		if !op.answered {
			p.abandonClaim(b, op)
		}
	}
	p.removeOps(b, done)
	p.dropBacklogBodies(b)
	p.backOff(b)
}

// handleRejected answers the claims of a bucket whose value cannot be written or decoded.
func (p *Part) handleRejected(b *bucket) {
	done := make(map[*op]bool)
	for _, op := range b.ops {
		if op.kind == opClaim && !op.answered {
			op.answered = true
			done[op] = true
			p.removeLocalCall(b, op)
			p.answer(op.requestID, Decision{Kind: DecisionFull, RetryAfter: unavailableRetryAfter})
		}
	}
	p.removeOps(b, done)
	b.mustRead = true
	p.backOff(b)
}

// dropBacklogBodies limits the memory that unwritten outcomes take during an outage: only
// the newest maxBucketOps/10 operations keep the bodies of their responses.
func (p *Part) dropBacklogBodies(b *bucket) {
	const opsWithBody = maxBucketOps / 10
	for i, op := range b.ops {
		if i >= len(b.ops)-opsWithBody {
			return
		}
		if op.kind == opEnd && op.record.Outcome != nil && op.record.Outcome.BodyKept {
			op.record = op.record.withoutBody()
		}
	}
}

func (p *Part) backOff(b *bucket) {
	b.failures = min(b.failures+1, 8)
	maxDelay := min(minBackoff<<b.failures, maxBackoff)
	b.notBefore = p.now.Add(maxDelay/2 + time.Duration(p.random.Int64N(int64(maxDelay/2))))
}
