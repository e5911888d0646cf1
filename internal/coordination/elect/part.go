package elect

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Keys of the metadata store.
const (
	// Prefix is the common prefix of both keys.
	Prefix    = "chivecroft/holder/"
	leaseKey  = Prefix + "lease"
	recordKey = Prefix + "record"
)

const (
	// proofInterval is the interval at which the holder renews its lease and reads its key.
	proofInterval = 250 * time.Millisecond
	// maxProofCalls limits the renewals and reads that have no reply yet.
	maxProofCalls = 10
	// orderValidity is how long after the latest renewal and read of the key were sent an
	// order may be sent. The successor of a holder that has lost its key waits for it, so it is
	// no longer than the next proof takes while the store answers slowly.
	orderValidity = 700 * time.Millisecond
	// watchDelay is the time from finding another holder to watching its key.
	watchDelay = 300 * time.Millisecond
	// idleWatchTimeout is the timeout of the watches of instances that are not the holder.
	idleWatchTimeout = 20 * time.Second
	// keyReadTTL is how long a read of the key shows that this instance holds it, for
	// anything but orders. An instance is no longer steady when its successor begins,
	// deferDelay after the loss of the key.
	keyReadTTL = deferDelay + heldMargin + steadyMargin
	// heldMargin is subtracted from the end of a term, so that a message arrives before it.
	heldMargin = 150 * time.Millisecond
	// steadyMargin is the minimum remaining time of a term while renewals succeed.
	steadyMargin = 300 * time.Millisecond
	// firstReplyTime is how long after its start an instance takes a store without a record for
	// one that has never had one. Later the store may have lost it.
	firstReplyTime = time.Second
	// unreadTime is how much longer than for the handover a new holder waits for the responses of
	// all targets, so that its record need not say that it lacks some. The first orders follow
	// these responses in any case.
	unreadTime = 150 * time.Millisecond
	// startJitter spreads the first calls of instances that start at the same time.
	startJitter = 80 * time.Millisecond
	// deferDelay and deferJitter determine how long an instance waits for the last holder
	// to return before it takes the key itself.
	deferDelay  = 500 * time.Millisecond
	deferJitter = 400 * time.Millisecond
	// minRetryDelay is the delay after a failed call. For instances that are not the
	// holder it doubles up to maxRetryDelay, since all of them make calls.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// Status is what an instance knows about the holder.
type Status struct {
	// Holder is the address of the holder's peer port; it is invalid if no holder is
	// known.
	Holder netip.AddrPort
	// IsHolder means that this instance is the holder; Token is its fencing token.
	IsHolder bool
	Token    uint64
	// TermNumber orders the terms of all instances: a later one has a higher number. It is 0
	// if this instance is not the holder.
	TermNumber uint64
	// Former is the address of the last holder before this instance's term, which may be its
	// own; it is invalid if there was none.
	Former netip.AddrPort
	// HeldUntil is the time until which this instance is certain to hold the key.
	HeldUntil time.Time
	// SettledAt is the time from which no order of a former holder is on its way to a target
	// that reads what it is sent. Orders to one that has not read since then must wait for
	// Handover after it has. Both are zero if no order of a former holder can be unread.
	SettledAt time.Time
	Handover  time.Duration
	// OrderFrom and OrderUntil bound the time in which this instance may send orders.
	OrderFrom, OrderUntil time.Time
	// Start tells how the term of this instance has begun, Ended why it is over.
	Start TermStart
	Ended EndReason
	// Era is the store's era as of the latest reply, Restores how often the store has come back
	// from an older copy since this instance started.
	Era      uint64
	Restores int
}

// IsSteady reports whether this instance is the holder and certain to keep the key for at
// least steadyMargin, as it is while its renewals and checks succeed.
func (s Status) IsSteady(now time.Time) bool {
	return s.IsHolder && now.Before(s.SteadyUntil())
}

// SteadyUntil returns the time from which on IsSteady is false unless the term is extended.
func (s Status) SteadyUntil() time.Time { return s.HeldUntil.Add(-steadyMargin) }

// IsSettled reports whether this instance is the holder and no order of a former one is on its
// way to a target that reads what it is sent, although a target may not have read it.
func (s Status) IsSettled(now time.Time) bool {
	return s.IsHolder && s.Handover > 0 && !now.Before(s.SettledAt)
}

// CanOrder reports whether this instance may send an order at the given time.
func (s Status) CanOrder(now time.Time) bool {
	return s.IsHolder && !now.Before(s.OrderFrom) && now.Before(s.OrderUntil)
}

// phase is the state of a Part.
type phase uint8

const (
	// phaseReadKey reads the key of the holder.
	phaseReadKey phase = iota
	// phaseWatch waits for a change of the key.
	phaseWatch
	// phaseBeforeWatch waits for watchDelay, since a Deactivate event may make the watch
	// needless.
	phaseBeforeWatch
	// phasePassive makes no calls; other instances send SetHolder events with the holder.
	phasePassive
	// phaseReadLast reads the last holder from the record.
	phaseReadLast
	// phaseDefer waits for the last holder to return.
	phaseDefer
	// phaseGrant requests a lease.
	phaseGrant
	// phaseAcquire writes the key under the lease.
	phaseAcquire
	// phaseReadRecord reads the record again under the lease.
	phaseReadRecord
	// phaseHold renews the lease, and writes the record once orders may be sent.
	phaseHold
	// phaseRelease writes the record before the lease is revoked.
	phaseRelease
	phaseStopped
)

// Part is the state machine of one instance.
type Part struct {
	self     netip.AddrPort
	ttl      time.Duration
	handover time.Duration
	random   *rand.Rand
	// acquireDelay is how long this instance leaves the key to other instances first. It
	// is also added to the delay of phaseDefer.
	acquireDelay time.Duration
	// hasDelayed means that acquireDelay has passed once since the start.
	hasDelayed bool

	phase phase
	// tag is the tag of the call or timer that the phase waits for.
	tag     ports.Tag
	lastTag ports.Tag
	status  Status
	// retryDelay is the latest delay after a failed call, 0 after a successful one.
	retryDelay time.Duration
	// missingSince is when the key was first found missing and missingRevision the
	// store's revision then; missingSince is zero while the key exists.
	missingSince    time.Time
	missingRevision ports.Revision
	// hasDeferred means that the last holder has been given its time to return.
	hasDeferred bool

	// era is that of the latest reply; hasEra is false before the first one.
	era    uint64
	hasEra bool
	// restores counts the rises of the era.
	restores int
	// isFirstStart means that a store without a record has never had one.
	isFirstStart bool
	startedAt    time.Time
	// orderTime is the longest time from the check of an order to its arrival.
	orderTime time.Duration

	lease ports.LeaseID
	// keyRevision is the revision of the key, seenRevision that of the store up to which the
	// watch of another holder's key has seen it.
	keyRevision  ports.Revision
	seenRevision ports.Revision
	// lastRecord is the record as read under the lease, recordRevision its revision.
	lastRecord     holderValue
	recordRevision ports.Revision
	// isRecorded means that the record names this instance.
	isRecorded bool
	// hasUnread means that a target may have read orders of a former holder within the handover,
	// or not yet; isRecordPutOff that the record waits for the end of that.
	hasUnread      bool
	isRecordPutOff bool
	// handoverFrom is the time from which the wait for a former holder counts in the latest
	// term, handoverRecord the revision of the record that names that holder.
	handoverFrom   time.Time
	handoverRecord ports.Revision

	// renewedAt and checkedAt are the times from which the last successful renewal and
	// check of the key count.
	renewedAt, checkedAt time.Time
	// proofs are the renewals and reads of the key that have no reply yet, none outside a term;
	// proofTag is the tag of the timer for the next ones.
	proofs    map[ports.Tag]proofCall
	proofTag  ports.Tag
	recordTag ports.Tag
}

// Start starts the state machine.
type Start struct{}

// Release makes the holder give up the key, for a planned stop. The instance sends no more
// orders, and each of its orders has either been answered or been on its way for the time of
// WithOrderTime: the next holder relies on it. HasUnread means that a target may not have read
// all of them, since it has not responded.
type Release struct{ HasUnread bool }

// TargetsRead tells the holder of a term that the handover has passed since each target has
// responded, so that an order of this instance comes too soon after those of a former one at none.
type TargetsRead struct{ TermNumber uint64 }

// HolderUnresponsive means that the holder does not reply; the key is read again.
type HolderUnresponsive struct{}

// Deactivate makes the instance passive while another instance holds the key.
type Deactivate struct{}

// Activate ends the passive state and makes the instance read the key.
type Activate struct{}

// SetHolder names the holder to a passive instance.
type SetHolder struct{ Holder netip.AddrPort }

// SetHandover changes the minimum time between the orders of two holders. It also counts
// in a wait for a former holder that has begun, which it can only make longer.
type SetHandover struct{ Handover time.Duration }

// IsEvent implements ports.Event.
func (SetHandover) IsEvent() {}

// IsEvent implements ports.Event.
func (Deactivate) IsEvent() {}

// IsEvent implements ports.Event.
func (Activate) IsEvent() {}

// IsEvent implements ports.Event.
func (SetHolder) IsEvent() {}

// IsEvent implements ports.Event.
func (Start) IsEvent() {}

// IsEvent implements ports.Event.
func (Release) IsEvent() {}

// IsEvent implements ports.Event.
func (TargetsRead) IsEvent() {}

// IsEvent implements ports.Event.
func (HolderUnresponsive) IsEvent() {}

// Option configures a Part.
type Option func(*Part)

// WithAcquireDelay makes an instance that is less able to do the holder's work leave the
// key to others for d first.
func WithAcquireDelay(d time.Duration) Option {
	return func(p *Part) { p.acquireDelay = d }
}

// WithOrderTime sets the longest time from the check of an order to its arrival at a target
// that reads what it is sent.
func WithOrderTime(d time.Duration) Option {
	return func(p *Part) { p.orderTime = d }
}

// WithFirstStart tells that the whole system starts for the first time, so that a store without
// a record has never had one.
func WithFirstStart() Option {
	return func(p *Part) { p.isFirstStart = true }
}

// NewPart returns the Part of the instance with the peer port self. Leases last ttl, and
// handover is the minimum time between the orders of two holders.
func NewPart(self netip.AddrPort, ttl, handover time.Duration, random *rand.Rand, opts ...Option) *Part {
	p := &Part{self: self, ttl: ttl, handover: handover, random: random, proofs: make(map[ports.Tag]proofCall)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step handles an event. Each change of the Status is returned as a Note.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	before := p.status
	effects := p.step(now, ev)
	p.status.Era, p.status.Restores = p.era, p.restores
	if p.status != before {
		effects = append(effects, ports.Note{Value: p.status})
	}
	return effects
}

func (p *Part) step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case Start:
		p.startedAt = now
		return p.delayPhase(phaseReadKey, time.Duration(p.random.Int64N(int64(startJitter))))
	case HolderUnresponsive:
		if p.phase == phaseWatch || p.phase == phaseBeforeWatch {
			return p.readKey()
		}
	case Deactivate:
		if p.phase == phaseWatch || p.phase == phaseBeforeWatch {
			p.becomePassive()
		}
	case Activate:
		if p.phase == phasePassive {
			return p.readKey()
		}
	case SetHolder:
		if p.phase == phasePassive && e.Holder != p.self {
			p.status = Status{Holder: e.Holder}
		}
	case Release:
		return p.release(e.HasUnread)
	case TargetsRead:
		return p.targetsRead(e.TermNumber)
	case SetHandover:
		return p.setHandover(now, e.Handover)
	case ports.TimerFired:
		return p.timerFired(now, e.Tag)
	case ports.KVDone:
		return p.callDone(now, e.Tag, e.Reply)
	}
	return nil
}

func (p *Part) timerFired(now time.Time, tag ports.Tag) []ports.Effect {
	switch {
	case p.phase == phaseHold && tag == p.proofTag:
		return p.prove(now)
	case p.phase == phaseHold && tag == p.recordTag:
		return p.recordDue(now)
	case tag == p.tag && p.phase == phaseBeforeWatch:
		return p.watchKey()
	case tag == p.tag:
		return p.readKey()
	}
	return nil
}

func (p *Part) callDone(now time.Time, tag ports.Tag, r ports.KVReply) []ports.Effect {
	r, hasRisen := p.noteEra(now, r)
	if hasRisen {
		return p.restart()
	}
	if call, isProof := p.proofs[tag]; isProof {
		delete(p.proofs, tag)
		return p.proofDone(call, r)
	}
	switch {
	case p.phase == phaseHold && tag == p.recordTag:
		return p.recordDone(r)
	case tag != p.tag:
		return nil
	}
	switch p.phase {
	case phaseReadKey:
		return p.keyRead(now, r)
	case phaseWatch:
		return p.watchDone(r)
	case phaseReadLast:
		return p.lastHolderRead(r)
	case phaseGrant:
		return p.leaseGranted(r)
	case phaseAcquire:
		return p.keyWritten(r)
	case phaseReadRecord:
		return p.recordRead(now, r)
	case phaseRelease:
		return p.revokeLease()
	case phaseBeforeWatch, phasePassive, phaseDefer, phaseHold, phaseStopped:
	}
	return nil
}

func (p *Part) nextTag() ports.Tag {
	p.lastTag++
	return p.lastTag
}

func (p *Part) call(next phase, req ports.KVRequest) []ports.Effect {
	p.phase = next
	p.tag = p.nextTag()
	return []ports.Effect{ports.KVCall{Tag: p.tag, Req: req}}
}

func (p *Part) delayPhase(next phase, d time.Duration) []ports.Effect {
	p.phase = next
	p.tag = p.nextTag()
	return []ports.Effect{ports.ArmTimer{Tag: p.tag, After: d}}
}

// retry reads the key again after a delay that grows while calls fail.
func (p *Part) retry() []ports.Effect {
	p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
	spread := time.Duration(p.random.Int64N(int64(p.retryDelay)))
	return p.delayPhase(phaseReadKey, p.retryDelay/2+spread)
}
