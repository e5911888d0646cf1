package once

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Settings are what a Part is made with.
type Settings struct {
	// Self and Incarnation name this entry.
	Self        string
	Incarnation uint64
	// Buckets is the number of KV values that hold claims before any is split; it
	// must be the same at all entries and may change only while none runs.
	Buckets int
	// SplitBytes is the size of its records from which a bucket is split.
	SplitBytes int
	// InFlight bounds the KV calls under way; claims that wait for a turn are
	// committed together.
	InFlight int
	// WritesPerSecond bounds the KV writes of all entries together; each takes an
	// equal share, and what waits for its turn is committed together.
	WritesPerSecond float64
	// Retention is how long the outcome of a call is kept.
	Retention time.Duration
	// BucketBytes bounds a bucket's value.
	BucketBytes int
	// Patience bounds the wait for the KV service.
	Patience time.Duration
}

// Defaults of Settings and bounds of a part.
const (
	defaultBuckets     = 16
	defaultInFlight    = 4
	defaultSplitBytes  = 640 << 10
	defaultWrites      = 240
	defaultRetention   = 10 * time.Minute
	defaultBucketBytes = 768 << 10
	defaultPatience    = 3 * time.Second
	// writeBurst is the number of writes that may follow each other at once, but
	// never more than the share of writeBurstSeconds.
	writeBurst        = 10
	writeBurstSeconds = 0.5
	// leastLeft is what has to be left of a call's time for it to be sent.
	leastLeft = 50 * time.Millisecond
	// claimMargin is added to a claim's time before others give it up.
	claimMargin = 2 * time.Second
	// tick is the period of looking for claims that waited too long.
	tick = 25 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed KV call.
	backoffLeast = 20 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
	// conflictPause bounds the random pause after a lost race for a bucket.
	conflictPause = 4 * time.Millisecond
	// unavailableRetry is the advice while the KV service is not reachable.
	unavailableRetry = 2 * time.Second
	// runningRetry is the longest advice while a call runs.
	runningRetry = time.Second
	// holdMost is how long a repeat waits for the end of a call that runs at another
	// entry: the call may have just been answered and its outcome be on its way. The
	// bucket is read after holdFirst and after twice as long each further time.
	holdMost  = time.Second
	holdFirst = 20 * time.Millisecond
	// opsMost bounds what waits for one bucket.
	opsMost = 5000
)

// Part decides which calls may run; it is a ports.Part.
type Part struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	effects  []ports.Effect

	// buckets are the first ones; some of them are split.
	buckets []*bucket
	// turn are the buckets with work, first come first served.
	turn   []*bucket
	flying int
	// writes is the allowance of KV writes, filled up to now.
	writes   float64
	filledAt time.Time
	turning  bool
	// members are the incarnations of the known entries, nil before the first news.
	members map[string]uint64
	// entries is how many entries there are, as far as is known.
	entries int
	tag     ports.Tag
	pending map[ports.Tag]call
	ticking bool
	backlog int
	silence silence
}

// call is what a tag was used for.
type call struct {
	kind   callKind
	bucket *bucket
	// op is the claim that is held.
	op *op
}

type callKind uint8

const (
	callWrite callKind = iota
	callRead
	callWake
	callTick
	callTurn
	callHeld
)

// New returns a part without claims.
func New(settings Settings, random *rand.Rand) *Part {
	settings = settings.withDefaults()
	p := &Part{settings: settings, random: random, pending: make(map[ports.Tag]call)}
	for i := range settings.Buckets {
		b := newBucket(fmt.Sprintf("once/%04x", i))
		b.root = i
		p.buckets = append(p.buckets, b)
	}
	p.entries = entriesAssumed
	p.writes = p.burst()
	return p
}

func (s Settings) withDefaults() Settings {
	if s.Buckets <= 0 {
		s.Buckets = defaultBuckets
	}
	if s.InFlight <= 0 {
		s.InFlight = defaultInFlight
	}
	if s.WritesPerSecond <= 0 {
		s.WritesPerSecond = defaultWrites
	}
	if s.Retention <= 0 {
		s.Retention = defaultRetention
	}
	if s.SplitBytes <= 0 {
		s.SplitBytes = defaultSplitBytes
	}
	if s.BucketBytes <= 0 {
		s.BucketBytes = defaultBucketBytes
	}
	if s.Patience <= 0 {
		s.Patience = defaultPatience
	}
	return s
}

// Step takes one event and returns what is to be done.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	p.now = now
	p.effects = nil
	switch e := ev.(type) {
	case Start:
	case ClaimAsked:
		p.claimAsked(e)
	case Finished:
		p.finished(e.Finish)
	case MembersChanged:
		p.membersChanged(e.Members)
	case ports.KVDone:
		p.kvDone(e)
	case ports.TimerFired:
		p.timerFired(e.Tag)
	}
	p.work()
	return p.effects
}

func (p *Part) claimAsked(e ClaimAsked) {
	id := recordID(e.Claim)
	b := p.bucketOf(id)
	if v, known := p.recall(b, id, e.Claim); known {
		p.answer(e.ID, v)
		return
	}
	if len(b.ops)+len(b.held) >= opsMost {
		p.answer(e.ID, Verdict{Kind: VerdictFull, RetryAfter: unavailableRetry})
		return
	}
	op := &op{
		kind: opClaim, id: id, asked: e.ID, withoutKV: e.Claim.WithoutKV,
		due: p.now.Add(min(e.Claim.Within-leastLeft, p.settings.Patience)),
		record: newRecord(record{
			Sum: e.Claim.BodySum, Entry: p.settings.Self, Incarnation: p.settings.Incarnation,
			Nonce: p.random.Uint64(), Within: e.Claim.Within,
		}),
	}
	b.own[id] = &own{record: op.record, phase: ownClaiming}
	if p.silence.refuses(p.now) {
		p.goWithout(b, op)
		return
	}
	p.add(b, op)
	p.startTick()
}

// recall answers from what this entry knows for certain: its own calls, and
// outcomes that can't change any more.
func (p *Part) recall(b *bucket, id string, claim Claim) (Verdict, bool) {
	if mine := b.own[id]; mine != nil {
		if mine.record.Sum != claim.BodySum {
			return Verdict{Kind: VerdictMismatch}, true
		}
		switch mine.phase {
		case ownClaiming, ownRunning:
			return Verdict{Kind: VerdictInProgress, RetryAfter: runningRetry}, true
		case ownEnded:
			return ended(mine.record), true
		}
	}
	if r := b.records[id]; r != nil && r.ended() {
		if r.Sum != claim.BodySum {
			return Verdict{Kind: VerdictMismatch}, true
		}
		return ended(r), true
	}
	return Verdict{}, false
}

func ended(r *record) Verdict {
	if r.Ending != EndedAnswered || r.Outcome == nil {
		return Verdict{Kind: VerdictUnknown}
	}
	return Verdict{Kind: VerdictOutcome, Outcome: *r.Outcome}
}

func (p *Part) finished(f Finish) {
	if len(f.Ticket.ID) != 2*idBytes {
		return
	}
	b := p.bucketOf(f.Ticket.ID)
	mine := b.own[f.Ticket.ID]
	if mine == nil || mine.record.Nonce != f.Ticket.Nonce || mine.phase != ownRunning {
		return
	}
	if f.Ending == EndedNotRun {
		p.release(b, f.Ticket.ID, mine.record, false)
		return
	}
	r := *mine.record
	r.Ending = f.Ending
	if f.Ending == EndedAnswered {
		r.Outcome = &f.Outcome
	}
	mine.record = newRecord(r)
	mine.phase = ownEnded
	p.add(b, &op{kind: opEnd, id: f.Ticket.ID, record: mine.record})
}

// release gives a key back whose call was not sent. In doubt whether the claim
// was written, the bucket is written in any case, so that a write still on its
// way can take no effect behind this one.
func (p *Part) release(b *bucket, id string, r *record, inDoubt bool) {
	delete(b.own, id)
	p.add(b, &op{kind: opRelease, id: id, record: r, inDoubt: inDoubt})
}

func (p *Part) membersChanged(members []ports.Member) {
	p.members = make(map[string]uint64, len(members))
	for _, m := range members {
		if m.Phase != ports.MemberGone {
			p.members[m.ID] = m.Incarnation
		}
	}
	p.entries = countEntries(members)
}

func (p *Part) answer(asked uint64, v Verdict) {
	p.effects = append(p.effects, ports.Note{Value: ClaimAnswered{ID: asked, Verdict: v}})
}

func (p *Part) add(b *bucket, op *op) {
	b.ops = append(b.ops, op)
	b.fresh = false
	p.count(op, 1)
	p.enqueue(b)
}

// count keeps the number of ends that are not written.
func (p *Part) count(op *op, by int) {
	if op.kind == opClaim {
		return
	}
	p.backlog += by
	p.effects = append(p.effects, ports.Note{Value: Backlog{Unwritten: p.backlog}})
}

func (p *Part) enqueue(b *bucket) {
	if b.queued {
		return
	}
	b.queued = true
	p.turn = append(p.turn, b)
}

func (p *Part) newTag(c call) ports.Tag {
	p.tag++
	p.pending[p.tag] = c
	return p.tag
}

func (p *Part) startTick() {
	if p.ticking {
		return
	}
	p.ticking = true
	p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(call{kind: callTick}), After: tick})
}

func (p *Part) timerFired(tag ports.Tag) {
	c, ok := p.pending[tag]
	if !ok {
		return
	}
	delete(p.pending, tag)
	switch c.kind {
	case callWake:
		c.bucket.waking = false
		if c.bucket.halves[0] == nil {
			p.enqueue(c.bucket)
		}
	case callTick:
		p.ticking = false
		p.expire()
	case callTurn:
		p.turning = false
	case callHeld:
		p.retryHeld(p.bucketOf(c.op.id), c.op)
	case callWrite, callRead:
	}
}

// expire answers the claims that have waited as long as they may.
func (p *Part) expire() {
	waiting := false
	p.leaves(func(b *bucket) {
		for _, op := range b.claims() {
			if p.now.Before(op.due) {
				waiting = true
				continue
			}
			p.giveUp(b, op)
		}
	})
	if waiting {
		p.startTick()
	}
}
