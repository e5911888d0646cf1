package dedup

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Settings configure a Part; zero values select the defaults.
type Settings struct {
	// Self and Incarnation identify this entry.
	Self        string
	Incarnation uint64
	// Buckets is the number of KV values that hold claims before any is split. It must be
	// the same at all entries and may change only while none of them runs.
	Buckets int
	// SplitBytes is the encoded size above which a bucket is split.
	SplitBytes int
	// MaxInFlight limits concurrent KV calls; claims that wait for a free call are
	// committed together.
	MaxInFlight int
	// WritesPerSecond limits the KV writes of all entries together. Each entry takes an
	// equal share, and operations that wait for a write are committed together.
	WritesPerSecond float64
	// Retention is how long the outcome of a call is kept.
	Retention time.Duration
	// MaxBucketBytes limits the size of a bucket's value.
	MaxBucketBytes int
	// KVTimeout limits how long a claim waits for the KV service.
	KVTimeout time.Duration
}

// Defaults of Settings, and limits.
const (
	defaultBuckets         = 16
	defaultMaxInFlight     = 4
	defaultSplitBytes      = 640 << 10
	defaultWritesPerSecond = 240
	defaultRetention       = 10 * time.Minute
	defaultMaxBucketBytes  = 768 << 10
	defaultKVTimeout       = 3 * time.Second
	// maxWriteBurst limits the number of writes in a burst. A burst is also limited to
	// the entry's share of writes in maxBurstSeconds.
	maxWriteBurst   = 10
	maxBurstSeconds = 0.5
	// minTimeLeft is the time that must be left before the caller's deadline for a call
	// to be sent.
	minTimeLeft = 50 * time.Millisecond
	// claimMargin is added to a claim's time limit before other entries regard the call
	// as ended.
	claimMargin = 2 * time.Second
	// expiryCheckInterval is the time between two checks for claims that have waited too
	// long.
	expiryCheckInterval = 25 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed KV call.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// conflictDelay times the number of failures in a row bounds the random delay after a
	// compare-and-swap conflict.
	conflictDelay = 4 * time.Millisecond
	// unavailableRetryAfter is the RetryAfter of claims refused because the KV service is
	// unreachable or the bucket is full.
	unavailableRetryAfter = 2 * time.Second
	// maxInProgressRetryAfter is the longest RetryAfter of DecisionInProgress.
	maxInProgressRetryAfter = time.Second
	// maxHold is how long a repeated claim waits for a call that runs at another entry:
	// the call may have just been answered and its outcome not be written yet. The bucket
	// is read again after firstHoldDelay, and the delay doubles with each further read.
	maxHold        = time.Second
	firstHoldDelay = 20 * time.Millisecond
	// maxBucketOps limits the pending operations of one bucket.
	maxBucketOps = 5000
)

// Part is the state machine that decides which calls may run; it implements ports.Part.
type Part struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	effects  []ports.Effect

	// buckets are the roots of the trees of buckets; those that were split have children.
	buckets []*bucket
	// queue holds the buckets that have work to do, in first-in-first-out order.
	queue           []*bucket
	kvCallsInFlight int
	// writeTokens is the token bucket that limits KV writes, as refilled at refilledAt.
	writeTokens   float64
	refilledAt    time.Time
	hasQueueTimer bool
	// memberIncarnations are the incarnations of the known entries by ID, nil before the
	// first MembersChanged.
	memberIncarnations map[string]uint64
	// entryCount is the estimated number of entries.
	entryCount     int
	lastTag        ports.Tag
	awaited        map[ports.Tag]awaitedEvent
	hasExpiryTimer bool
	unwritten      int
	outage         outageDetector
}

// awaitedEvent describes the KV reply or timer that a tag stands for.
type awaitedEvent struct {
	kind   awaitedKind
	bucket *bucket
	// op is the held claim of awaitHoldTimer.
	op *op
}

type awaitedKind uint8

const (
	awaitWrite awaitedKind = iota
	awaitRead
	awaitWakeTimer
	awaitExpiryTimer
	awaitQueueTimer
	awaitHoldTimer
)

// New returns a part that holds no claims.
func New(settings Settings, random *rand.Rand) *Part {
	settings = settings.withDefaults()
	p := &Part{settings: settings, random: random, awaited: make(map[ports.Tag]awaitedEvent)}
	for i := range settings.Buckets {
		b := newBucket(fmt.Sprintf("once/%04x", i))
		b.root = i
		p.buckets = append(p.buckets, b)
	}
	p.entryCount = assumedEntries
	p.writeTokens = p.writeBurst()
	return p
}

func (s Settings) withDefaults() Settings {
	if s.Buckets <= 0 {
		s.Buckets = defaultBuckets
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.WritesPerSecond <= 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.Retention <= 0 {
		s.Retention = defaultRetention
	}
	if s.SplitBytes <= 0 {
		s.SplitBytes = defaultSplitBytes
	}
	if s.MaxBucketBytes <= 0 {
		s.MaxBucketBytes = defaultMaxBucketBytes
	}
	if s.KVTimeout <= 0 {
		s.KVTimeout = defaultKVTimeout
	}
	return s
}

// Step processes one event and returns the resulting effects.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	p.now = now
	p.effects = nil
	switch e := ev.(type) {
	case Start:
	case ClaimRequested:
		p.handleClaim(e)
	case CallFinished:
		p.handleFinish(e.Finish)
	case MembersChanged:
		p.handleMembers(e.Members)
	case ports.KVDone:
		p.handleKVDone(e)
	case ports.TimerFired:
		p.handleTimer(e.Tag)
	}
	p.startCalls()
	return p.effects
}

func (p *Part) handleClaim(e ClaimRequested) {
	id := recordID(e.Claim)
	b := p.bucketOf(id)
	if d, known := p.answerLocally(b, id, e.Claim); known {
		p.answer(e.ID, d)
		return
	}
	if len(b.ops)+len(b.heldClaims) >= maxBucketOps {
		p.answer(e.ID, Decision{Kind: DecisionFull, RetryAfter: unavailableRetryAfter})
		return
	}
	op := &op{
		kind: opClaim, id: id, requestID: e.ID, withoutKV: e.Claim.WithoutKV,
		deadline: p.now.Add(min(e.Claim.TimeLeft-minTimeLeft, p.settings.KVTimeout)),
		record: newRecord(record{
			Sum: e.Claim.BodySum, Entry: p.settings.Self, Incarnation: p.settings.Incarnation,
			Nonce: p.random.Uint64(), TimeLeft: e.Claim.TimeLeft,
		}),
	}
	b.localCalls[id] = &localCall{record: op.record, phase: phaseClaiming}
	if p.outage.shouldRefuse(p.now) {
		p.answerUncommitted(b, op)
		return
	}
	p.addOp(b, op)
	p.armExpiryTimer()
}

// answerLocally answers a claim from state that cannot change any more: the calls of this
// entry, and outcomes that were read from the KV service.
func (p *Part) answerLocally(b *bucket, id string, claim Claim) (Decision, bool) {
	if local := b.localCalls[id]; local != nil {
		if local.record.Sum != claim.BodySum {
			return Decision{Kind: DecisionMismatch}, true
		}
		switch local.phase {
		case phaseClaiming, phaseRunning:
			return Decision{Kind: DecisionInProgress, RetryAfter: maxInProgressRetryAfter}, true
		case phaseEnded:
			return endedDecision(local.record), true
		}
	}
	if r := b.records[id]; r != nil && r.hasEnded() {
		if r.Sum != claim.BodySum {
			return Decision{Kind: DecisionMismatch}, true
		}
		return endedDecision(r), true
	}
	return Decision{}, false
}

func endedDecision(r *record) Decision {
	if r.EndKind != EndAnswered || r.Outcome == nil {
		return Decision{Kind: DecisionUnknown}
	}
	return Decision{Kind: DecisionOutcome, Outcome: *r.Outcome}
}

func (p *Part) handleFinish(f Finish) {
	if len(f.Ticket.ID) != 2*idBytes {
		return
	}
	b := p.bucketOf(f.Ticket.ID)
	local := b.localCalls[f.Ticket.ID]
	if local == nil || local.record.Nonce != f.Ticket.Nonce || local.phase != phaseRunning {
		return
	}
	if f.EndKind == EndNotRun {
		p.release(b, f.Ticket.ID, local.record, false)
		return
	}
	r := *local.record
	r.EndKind = f.EndKind
	if f.EndKind == EndAnswered {
		r.Outcome = &f.Outcome
	}
	local.record = newRecord(r)
	local.phase = phaseEnded
	p.addOp(b, &op{kind: opEnd, id: f.Ticket.ID, record: local.record})
}

// release gives up the claim of a call that was not sent. If maybeWritten is set, an
// earlier write of the claim may still take effect; the bucket is then written in any
// case, so that the earlier write fails for its old revision.
func (p *Part) release(b *bucket, id string, r *record, maybeWritten bool) {
	delete(b.localCalls, id)
	p.addOp(b, &op{kind: opRelease, id: id, record: r, maybeWritten: maybeWritten})
}

func (p *Part) handleMembers(members []ports.Member) {
	p.memberIncarnations = make(map[string]uint64, len(members))
	for _, m := range members {
		if m.Phase != ports.MemberGone {
			p.memberIncarnations[m.ID] = m.Incarnation
		}
	}
	p.entryCount = countEntries(members)
}

func (p *Part) answer(requestID uint64, d Decision) {
	p.effects = append(p.effects, ports.Note{Value: ClaimAnswered{ID: requestID, Decision: d}})
}

func (p *Part) addOp(b *bucket, op *op) {
	b.ops = append(b.ops, op)
	b.fresh = false
	p.countUnwritten(op, 1)
	p.enqueueBucket(b)
}

// countUnwritten adjusts and reports the number of finished or released calls that are
// not written yet.
func (p *Part) countUnwritten(op *op, delta int) {
	if op.kind == opClaim {
		return
	}
	p.unwritten += delta
	p.effects = append(p.effects, ports.Note{Value: Backlog{Unwritten: p.unwritten}})
}

func (p *Part) enqueueBucket(b *bucket) {
	if b.queued {
		return
	}
	b.queued = true
	p.queue = append(p.queue, b)
}

func (p *Part) newTag(c awaitedEvent) ports.Tag {
	p.lastTag++
	p.awaited[p.lastTag] = c
	return p.lastTag
}

func (p *Part) armExpiryTimer() {
	if p.hasExpiryTimer {
		return
	}
	p.hasExpiryTimer = true
	p.effects = append(p.effects, ports.ArmTimer{Tag: p.newTag(awaitedEvent{kind: awaitExpiryTimer}), After: expiryCheckInterval})
}

func (p *Part) handleTimer(tag ports.Tag) {
	c, ok := p.awaited[tag]
	if !ok {
		return
	}
	delete(p.awaited, tag)
	switch c.kind {
	case awaitWakeTimer:
		c.bucket.hasWakeTimer = false
		if c.bucket.children[0] == nil {
			p.enqueueBucket(c.bucket)
		}
	case awaitExpiryTimer:
		p.hasExpiryTimer = false
		p.expireClaims()
	case awaitQueueTimer:
		p.hasQueueTimer = false
	case awaitHoldTimer:
		p.retryHeld(p.bucketOf(c.op.id), c.op)
	case awaitWrite, awaitRead:
	}
}

// expireClaims answers the claims whose deadline has passed.
func (p *Part) expireClaims() {
	waiting := false
	p.visitLeaves(func(b *bucket) {
		for _, op := range b.unansweredClaims() {
			if p.now.Before(op.deadline) {
				waiting = true
				continue
			}
			p.abandonClaim(b, op)
		}
	})
	if waiting {
		p.armExpiryTimer()
	}
}
