package once

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// work starts KV calls for the buckets whose turn it is.
func (p *Part) work() {
	waiting := p.turn
	p.turn = nil
	for i, b := range waiting {
		if p.flying >= p.settings.InFlight || !p.mayWrite() {
			p.turn = append(p.turn, waiting[i:]...)
			return
		}
		b.queued = false
		p.serve(b)
	}
}

// mayWrite fills the allowance and, if it is used up, sees to it that the turn
// goes on when there is a write in it again.
func (p *Part) mayWrite() bool {
	rate := p.share()
	if !p.filledAt.IsZero() {
		p.writes = min(p.writes+rate*p.now.Sub(p.filledAt).Seconds(), p.burst())
	}
	p.filledAt = p.now
	if p.writes >= 1 {
		return true
	}
	if !p.turning {
		p.turning = true
		after := time.Duration((1 - p.writes) / rate * float64(time.Second))
		p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(call{kind: callTurn}), After: after + time.Microsecond})
	}
	return false
}

// serve starts a bucket's next call, if it has anything to do.
func (p *Part) serve(b *bucket) {
	if b.busy {
		return
	}
	if b.emptying {
		p.empty(b)
		return
	}
	if b.halves[0] != nil || len(b.ops) == 0 && !b.due {
		return
	}
	if p.now.Before(b.notBefore) {
		p.wake(b, b.notBefore.Sub(p.now))
		return
	}
	if b.mustRead || (b.contended && !b.fresh) {
		p.read(b)
		return
	}
	p.commit(b)
}

func (p *Part) wake(b *bucket, after time.Duration) {
	if b.waking {
		return
	}
	b.waking = true
	p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(call{kind: callWake, bucket: b}), After: after})
}

func (p *Part) read(b *bucket) {
	b.mustRead = false
	p.kvCall(b, callRead, ports.KVGet{Key: b.key})
}

// commit merges all waiting changes into the records last seen and writes them.
// Where nothing would change, the answers rest on the records alone, which
// then have to be fresh.
func (p *Part) commit(b *bucket) {
	merged, verdicts, changed := p.merge(b)
	if changed && p.outgrown(b, merged) {
		p.mark(b)
		return
	}
	if !changed && !b.due {
		if !b.fresh {
			p.read(b)
			return
		}
		p.settle(b, b.ops, verdicts)
		return
	}
	p.writes--
	b.writing = merged
	b.batch = b.ops
	p.kvCall(b, callWrite, ports.KVPut{Key: b.key, Value: encodeBucket(merged, false), Expect: b.revision})
}

func (p *Part) kvCall(b *bucket, kind callKind, req ports.KVRequest) {
	b.busy = true
	p.flying++
	p.effects = append(p.effects, ports.KVCall{Tag: p.newTag(call{kind: kind, bucket: b}), Req: req})
}

// merge returns the records with the ops applied, and the verdict of each claim.
func (p *Part) merge(b *bucket) (map[string]*record, map[*op]Verdict, bool) {
	records := maps.Clone(b.records)
	verdicts := make(map[*op]Verdict)
	changed := false
	for _, op := range b.ops {
		switch op.kind {
		case opClaim:
			v, insert := p.judge(b, records, op)
			verdicts[op] = v
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
		return records, verdicts, false
	}
	b.trim(records, p.settings.Retention, p.now)
	if !b.makeRoom(records, p.settings.BucketBytes) {
		p.dropClaims(records, verdicts)
		changed = len(verdicts) < len(b.ops)
	}
	return records, verdicts, changed
}

// judge says what a claim gets in view of the records, and whether it is
// inserted.
func (p *Part) judge(b *bucket, records map[string]*record, op *op) (Verdict, bool) {
	run := Verdict{Kind: VerdictRun, Ticket: Ticket{ID: op.id, Nonce: op.record.Nonce}}
	r := records[op.id]
	switch {
	case op.answered:
		return Verdict{}, false
	case r == nil:
		return run, true
	case r.Nonce == op.record.Nonce:
		return run, false
	case r.Sum != op.record.Sum:
		return Verdict{Kind: VerdictMismatch}, false
	case r.ended():
		return ended(r), false
	case r.Entry == p.settings.Self && r.Incarnation == p.settings.Incarnation:
		// It is none of the calls that this entry knows of: a claim given up in
		// doubt, whose call was never sent.
		return run, true
	}
	return p.judgeRunning(b, op.id, r), false
}

func (p *Part) judgeRunning(b *bucket, id string, r *record) Verdict {
	if p.gone(b, id, r) {
		return Verdict{Kind: VerdictUnknown}
	}
	left := r.Within + claimMargin - b.age(id, p.now)
	if left <= 0 {
		return Verdict{Kind: VerdictUnknown}
	}
	return Verdict{Kind: VerdictInProgress, RetryAfter: min(left, runningRetry)}
}

// gone tells whether the entry that claimed a key has ended. One that no member
// has told of yet may have just begun.
func (p *Part) gone(b *bucket, id string, r *record) bool {
	if r.Entry == p.settings.Self {
		return r.Incarnation != p.settings.Incarnation
	}
	if p.members == nil {
		return false
	}
	incarnation, known := p.members[r.Entry]
	if !known {
		return b.age(id, p.now) > claimMargin
	}
	return incarnation > r.Incarnation
}

// mergeEnd replaces the claim by its outcome. Without a claim of its own in the
// records, as after a call that ran without one, the outcome is added unless
// the key is another's.
func (p *Part) mergeEnd(records map[string]*record, op *op) bool {
	r := records[op.id]
	if r != nil && (r.Nonce != op.record.Nonce || r.ended()) {
		return false
	}
	records[op.id] = op.record
	return true
}

func mergeRelease(records map[string]*record, op *op) bool {
	r := records[op.id]
	if r == nil || r.Nonce != op.record.Nonce || r.ended() {
		return op.inDoubt
	}
	delete(records, op.id)
	return true
}

// dropClaims takes the new claims out of a bucket that is full.
func (p *Part) dropClaims(records map[string]*record, verdicts map[*op]Verdict) {
	for op, v := range verdicts {
		if v.Kind == VerdictRun && records[op.id] == op.record && !op.inDoubt {
			delete(records, op.id)
			verdicts[op] = Verdict{Kind: VerdictFull, RetryAfter: unavailableRetry}
		}
	}
}

func (p *Part) kvDone(e ports.KVDone) {
	c, ok := p.pending[e.Tag]
	if !ok {
		return
	}
	delete(p.pending, e.Tag)
	p.silence.heard(p.now, e.Reply.Status)
	c.bucket.busy = false
	p.flying--
	if c.bucket.halves[0] != nil {
		// It was emptied, or not; nobody reads more than the mark.
		return
	}
	p.enqueue(c.bucket)
	if c.kind == callWrite {
		p.wrote(c.bucket, e.Reply)
		return
	}
	p.didRead(c.bucket, e.Reply)
}

func (p *Part) wrote(b *bucket, reply ports.KVReply) {
	merged, batch := b.writing, b.batch
	b.writing, b.batch = nil, nil
	switch reply.Status {
	case ports.KVOK:
		p.committed(b, merged, batch, reply.Revision)
	case ports.KVConflict:
		p.conflicted(b, reply)
	case ports.KVUnknown:
		// The write may have taken effect: what is there now decides.
		for _, op := range batch {
			op.inDoubt = true
		}
		b.mustRead = true
		p.pause(b)
	case ports.KVInvalid:
		p.rejected(b)
	default:
		p.unavailable(b)
	}
}

func (p *Part) committed(b *bucket, merged map[string]*record, batch []*op, revision ports.Revision) {
	verdicts := p.verdictsOf(b, merged, batch)
	b.failures = 0
	b.adopt(merged, revision, p.now)
	if b.marking {
		p.split(b)
		return
	}
	p.found(b)
	b.fresh = true
	p.settle(b, batch, verdicts)
	b.fresh = false
}

// verdictsOf judges a batch by the records that were written with it.
func (p *Part) verdictsOf(b *bucket, merged map[string]*record, batch []*op) map[*op]Verdict {
	verdicts := make(map[*op]Verdict)
	for _, op := range batch {
		if op.kind != opClaim {
			continue
		}
		v, missing := p.judge(b, merged, op)
		if missing {
			v = Verdict{Kind: VerdictFull, RetryAfter: unavailableRetry}
		}
		verdicts[op] = v
	}
	return verdicts
}

func (p *Part) conflicted(b *bucket, reply ports.KVReply) {
	if err := b.load(reply, p.now); err != nil {
		p.rejected(b)
		return
	}
	if p.noticed(b) {
		return
	}
	// The conflict's reply shows the bucket as it was at that moment.
	b.fresh = true
	b.contended = true
	b.failures = min(b.failures+1, 8)
	if b.failures > 1 {
		pause := time.Duration(p.random.Int64N(int64(conflictPause) * int64(b.failures)))
		b.notBefore = p.now.Add(pause)
		b.fresh = false
	}
}

func (p *Part) didRead(b *bucket, reply ports.KVReply) {
	switch reply.Status {
	case ports.KVOK, ports.KVNotFound:
		before := b.revision
		if err := b.load(reply, p.now); err != nil {
			p.rejected(b)
			return
		}
		if p.noticed(b) {
			return
		}
		b.contended = b.revision != before
		b.failures = 0
		b.fresh = true
		p.commit(b)
		b.fresh = false
	case ports.KVUnknown:
		b.mustRead = true
		p.pause(b)
	default:
		p.unavailable(b)
	}
}

// settle gives the verdicts of a batch and forgets its ops.
func (p *Part) settle(b *bucket, batch []*op, verdicts map[*op]Verdict) {
	done := make(map[*op]bool, len(batch))
	for _, op := range batch {
		done[op] = true
		if op.kind != opClaim {
			p.count(op, -1)
			p.written(b, op)
			continue
		}
		if op.answered {
			continue
		}
		p.decide(b, op, verdicts[op])
	}
	p.forget(b, done)
}

func (p *Part) forget(b *bucket, done map[*op]bool) {
	var left []*op
	for _, op := range b.ops {
		if !done[op] {
			left = append(left, op)
		}
	}
	b.ops = left
}

// written forgets a call of this entry once its end is in the KV service.
func (p *Part) written(b *bucket, op *op) {
	if mine := b.own[op.id]; op.kind == opEnd && mine != nil && mine.record.Nonce == op.record.Nonce {
		delete(b.own, op.id)
	}
}

// decide answers a claim. A call that may run is only let go while enough of
// its time is left.
func (p *Part) decide(b *bucket, op *op, v Verdict) {
	if p.hold(b, op, v) {
		return
	}
	op.answered = true
	if v.Kind != VerdictRun {
		p.disown(b, op)
		p.answer(op.asked, v)
		return
	}
	if !p.now.Before(op.due) {
		p.release(b, op.id, op.record, false)
		p.answer(op.asked, Verdict{Kind: VerdictUnavailable, RetryAfter: unavailableRetry})
		return
	}
	b.own[op.id].phase = ownRunning
	p.answer(op.asked, v)
}

// hold keeps a claim whose call runs at another entry for a moment and then has
// it judged anew. The entry that ran the call answers before the outcome is
// written, so that no caller waits for that write; a repeat at another entry may
// be faster. For example the outcome of a call answered at 0 ms is in the KV
// service at 5 ms; a repeat that reads the claim at 3 ms reads again at 23 ms.
func (p *Part) hold(b *bucket, op *op, v Verdict) bool {
	if v.Kind != VerdictInProgress {
		return false
	}
	again := holdFirst
	if op.runs == nil {
		op.heldUntil = p.now.Add(holdMost)
		if op.due.Before(op.heldUntil) {
			op.heldUntil = op.due
		}
	} else {
		again = 2 * op.pause
	}
	op.pause = min(again, op.heldUntil.Sub(p.now))
	op.runs = &v
	if op.pause <= 0 {
		return false
	}
	b.held = append(b.held, op)
	tag := p.newTag(call{kind: callHeld, bucket: b, op: op})
	p.effects = append(p.effects, ports.ArmTimer{Tag: tag, After: op.pause})
	return true
}

// retryHeld puts a held claim among those that wait for the bucket.
func (p *Part) retryHeld(b *bucket, claim *op) {
	b.held = slices.DeleteFunc(b.held, func(held *op) bool { return held == claim })
	p.add(b, claim)
	p.startTick()
}

func (p *Part) disown(b *bucket, op *op) {
	if mine := b.own[op.id]; mine != nil && mine.record == op.record {
		delete(b.own, op.id)
	}
}

// giveUp answers a claim that can't be committed in time, and takes back what
// may have been written of it.
func (p *Part) giveUp(b *bucket, op *op) {
	if runs := p.goWithout(b, op); !runs && (op.inDoubt || b.busy) {
		p.release(b, op.id, op.record, true)
	}
}

// goWithout answers a claim that is not committed, and tells whether its call runs
// all the same.
func (p *Part) goWithout(b *bucket, op *op) (runs bool) {
	op.answered = true
	// A call that was seen to run elsewhere is not run without a claim because the
	// KV service can't be reached.
	if op.withoutKV && op.runs == nil {
		b.own[op.id].phase = ownRunning
		p.answer(op.asked, Verdict{
			Kind: VerdictRunUnclaimed, Ticket: Ticket{ID: op.id, Nonce: op.record.Nonce},
		})
		return true
	}
	v := Verdict{Kind: VerdictUnavailable, RetryAfter: unavailableRetry}
	if op.runs != nil {
		v = *op.runs
	}
	p.answer(op.asked, v)
	p.disown(b, op)
	return false
}

// unavailable answers the claims at once when the KV service takes no call;
// ends are kept and tried again.
func (p *Part) unavailable(b *bucket) {
	b.mustRead = true
	done := make(map[*op]bool)
	for _, op := range b.ops {
		if op.kind != opClaim {
			continue
		}
		done[op] = true
		if !op.answered {
			p.giveUp(b, op)
		}
	}
	p.forget(b, done)
	p.bound(b)
	p.pause(b)
}

// rejected handles a bucket that can't be written or read as it is.
func (p *Part) rejected(b *bucket) {
	done := make(map[*op]bool)
	for _, op := range b.ops {
		if op.kind == opClaim && !op.answered {
			op.answered = true
			done[op] = true
			p.disown(b, op)
			p.answer(op.asked, Verdict{Kind: VerdictFull, RetryAfter: unavailableRetry})
		}
	}
	p.forget(b, done)
	b.mustRead = true
	p.pause(b)
}

// bound keeps an outage from filling the memory: bodies go first.
func (p *Part) bound(b *bucket) {
	const withBody = opsMost / 10
	for i, op := range b.ops {
		if i >= len(b.ops)-withBody {
			return
		}
		if op.kind == opEnd && op.record.Outcome != nil && op.record.Outcome.BodyKept {
			op.record = op.record.withoutBody()
		}
	}
}

func (p *Part) pause(b *bucket) {
	b.failures = min(b.failures+1, 8)
	most := min(backoffLeast<<b.failures, backoffMost)
	b.notBefore = p.now.Add(most/2 + time.Duration(p.random.Int64N(int64(most/2))))
}
