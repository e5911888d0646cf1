package hold

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Keys of the store.
const (
	// Prefix begins both keys.
	Prefix    = "chivecroft/holder/"
	leaseKey  = Prefix + "lease"
	recordKey = Prefix + "record"
)

// Bounds of holding.
const (
	// renewEvery is the interval of renewals, several in one lease.
	renewEvery = 250 * time.Millisecond
	// holderWatch is the time of the holder's watch of its key, idleWatch that of
	// the others.
	holderWatch = 600 * time.Millisecond
	idleWatch   = 20 * time.Second
	// firstWatch is short, since orders wait for the first sight.
	firstWatch = 30 * time.Millisecond
	// sightTime is how long the last sight of the key counts.
	sightTime = 1500 * time.Millisecond
	// margin is kept before the end of a lease for an order to arrive.
	margin = 150 * time.Millisecond
	// steadyTime is the rest of a lease that is left while renewals succeed.
	steadyTime = 300 * time.Millisecond
	// startSpread keeps instances that start together from asking all at once.
	startSpread = 80 * time.Millisecond
	// deferFirst and deferSpread are how long an instance lets the last holder
	// come back first.
	deferFirst  = 500 * time.Millisecond
	deferSpread = 400 * time.Millisecond
	// retryPause is the time after a failed call.
	retryPause = 200 * time.Millisecond
)

// Status is what an instance knows of the holder.
type Status struct {
	// Holder is the address of the holder's peer port, invalid if none is known.
	Holder netip.AddrPort
	// Mine tells that this instance is the holder, and Token its fencing number.
	Mine  bool
	Token uint64
	// Sure is until when the key is this instance's for sure.
	Sure time.Time
	// From and Until bound the time in which this instance may send orders.
	From, Until time.Time
}

// Steady tells whether the holder has heard from the store a short time ago.
func (s Status) Steady(now time.Time) bool {
	return s.Mine && now.Add(steadyTime).Before(s.Sure)
}

// May tells whether an order may be sent now.
func (s Status) May(now time.Time) bool {
	return s.Mine && !now.Before(s.From) && now.Before(s.Until)
}

// value is what both keys hold.
type value struct {
	Holder netip.AddrPort `json:"holder"`
	// Released tells that the holder stopped before it gave up the lease.
	Released bool `json:"released,omitempty"`
}

// phase is what the part does.
type phase uint8

const (
	// phaseLook reads who holds, phaseWatch waits for the key to change.
	phaseLook phase = iota
	phaseWatch
	// phaseLast reads who held last, phaseDefer lets that instance come back.
	phaseLast
	phaseDefer
	// phaseGrant opens a lease, phaseTake writes the key under it.
	phaseGrant
	phaseTake
	// phaseRead reads the record once more under the lease.
	phaseRead
	// phaseHold keeps the lease, waits for the time of orders and writes the record.
	phaseHold
	// phaseRelease writes the record before the lease is given up.
	phaseRelease
	phaseStopped
)

// Part is the state machine of one instance.
type Part struct {
	self     netip.AddrPort
	ttl      time.Duration
	handover time.Duration
	random   *rand.Rand
	patience time.Duration

	phase phase
	// tag is that of the call or timer that the phase waits for.
	tag    ports.Tag
	issued ports.Tag
	status Status
	// deferred tells that the last holder has had its time to come back.
	deferred bool

	lease ports.LeaseID
	// revision is that of the key, seen the store's at the last look at it.
	revision ports.Revision
	seen     ports.Revision
	last     value
	lastRev  ports.Revision
	// recorded tells that the record names this instance.
	recorded bool

	// renewed and sighted are when the last successful calls were sent.
	renewed, sighted time.Time
	renewal, sight   pending
	recording        ports.Tag
}

// pending is a call under way beside the phase's own.
type pending struct {
	tag  ports.Tag
	sent time.Time
	// wait is the time for which a watch was to wait.
	wait time.Duration
}

// until returns up to when a call's answer tells of the store. A watch without
// changes that took its whole time tells of that time as well.
func (c pending) until(now time.Time) time.Time {
	if end := c.sent.Add(c.wait); !end.After(now) {
		return end
	}
	return c.sent
}

// Start begins the work of a part.
type Start struct{}

// Release gives the holding up, for a planned stop.
type Release struct{}

// Doubt tells that the holder does not answer; it is looked up anew.
type Doubt struct{}

// IsEvent marks an event.
func (Start) IsEvent() {}

// IsEvent marks an event.
func (Release) IsEvent() {}

// IsEvent marks an event.
func (Doubt) IsEvent() {}

// Option changes a Part under construction.
type Option func(*Part)

// WithPatience lets other instances take the key first, for instances that are
// less able to carry the holder's work.
func WithPatience(d time.Duration) Option {
	return func(p *Part) { p.patience = d }
}

// NewPart returns the part of the instance whose peer port is self. Leases last
// ttl, and handover is the least time between orders of two holders.
func NewPart(self netip.AddrPort, ttl, handover time.Duration, random *rand.Rand, opts ...Option) *Part {
	p := &Part{self: self, ttl: ttl, handover: handover, random: random}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step takes one event; each change of the Status is a Note.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	before := p.status
	effects := p.step(now, ev)
	if p.status != before {
		effects = append(effects, ports.Note{Value: p.status})
	}
	return effects
}

func (p *Part) step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case Start:
		return p.pause(phaseLook, p.patience+time.Duration(p.random.Int64N(int64(startSpread))))
	case Doubt:
		if p.phase == phaseWatch {
			return p.look()
		}
	case Release:
		return p.release()
	case ports.TimerFired:
		return p.fired(now, e.Tag)
	case ports.KVDone:
		return p.answered(now, e.Tag, e.Reply)
	}
	return nil
}

func (p *Part) fired(now time.Time, tag ports.Tag) []ports.Effect {
	switch {
	case p.phase == phaseHold && tag == p.renewal.tag:
		return p.renew(now)
	case p.phase == phaseHold && tag == p.sight.tag:
		return p.watchOwn(now)
	case p.phase == phaseHold && tag == p.recording:
		return p.record()
	case tag == p.tag:
		return p.look()
	}
	return nil
}

func (p *Part) answered(now time.Time, tag ports.Tag, r ports.KVReply) []ports.Effect {
	switch {
	case p.phase == phaseHold && tag == p.renewal.tag:
		return p.renewDone(now, r)
	case p.phase == phaseHold && tag == p.sight.tag:
		return p.sightDone(now, r)
	case p.phase == phaseHold && tag == p.recording:
		return p.recordDone(r)
	case tag != p.tag:
		return nil
	}
	switch p.phase {
	case phaseLook:
		return p.looked(r)
	case phaseWatch:
		return p.watched(r)
	case phaseLast:
		return p.lastRead(r)
	case phaseGrant:
		return p.granted(r)
	case phaseTake:
		return p.taken(r)
	case phaseRead:
		return p.recordRead(now, r)
	case phaseRelease:
		return p.revoke()
	case phaseDefer, phaseHold, phaseStopped:
	}
	return nil
}

func (p *Part) next() ports.Tag {
	p.issued++
	return p.issued
}

func (p *Part) call(next phase, req ports.KVRequest) []ports.Effect {
	p.phase = next
	p.tag = p.next()
	return []ports.Effect{ports.KVCall{Tag: p.tag, Req: req}}
}

func (p *Part) pause(next phase, d time.Duration) []ports.Effect {
	p.phase = next
	p.tag = p.next()
	return []ports.Effect{ports.ArmTimer{Tag: p.tag, After: d}}
}

// look reads who holds.
func (p *Part) look() []ports.Effect {
	return p.call(phaseLook, ports.KVGet{Key: leaseKey})
}

func (p *Part) looked(r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVOK && ok:
		p.seen = max(r.Revision, item.Revision)
		return p.found(item)
	case r.Status == ports.KVNotFound:
		p.revision = 0
		return p.free()
	}
	return p.pause(phaseLook, retryPause)
}

// found follows another holder, or takes over from an earlier incarnation.
func (p *Part) found(item ports.Item) []ports.Effect {
	holder := decode(item.Value).Holder
	p.revision = item.Revision
	p.deferred = false
	if holder == p.self {
		return p.grant()
	}
	p.status = Status{Holder: holder}
	return p.follow()
}

func (p *Part) follow() []ports.Effect {
	return p.call(phaseWatch, ports.KVWatch{Prefix: leaseKey, After: p.seen, Wait: idleWatch})
}

func (p *Part) watched(r ports.KVReply) []ports.Effect {
	switch {
	case r.Status == ports.KVOK && len(r.Items) == 0:
		p.seen = max(p.seen, r.Revision)
		return p.follow()
	case r.Status == ports.KVOK, r.Status == ports.KVConflict:
		return p.look()
	}
	return p.pause(phaseLook, retryPause)
}

// free begins to take the key, unless another instance held it last and may be
// about to come back.
func (p *Part) free() []ports.Effect {
	p.status = Status{}
	if p.deferred {
		p.deferred = false
		return p.grant()
	}
	return p.call(phaseLast, ports.KVGet{Key: recordKey})
}

func (p *Part) lastRead(r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVNotFound:
		return p.grant()
	case r.Status != ports.KVOK || !ok:
		return p.pause(phaseLook, retryPause)
	case decode(item.Value).Holder == p.self:
		return p.grant()
	}
	p.deferred = true
	return p.pause(phaseDefer, deferFirst+p.patience+time.Duration(p.random.Int64N(int64(deferSpread))))
}

func (p *Part) grant() []ports.Effect {
	return p.call(phaseGrant, ports.KVGrant{TTL: p.ttl})
}

func (p *Part) granted(r ports.KVReply) []ports.Effect {
	if r.Status != ports.KVOK {
		return p.pause(phaseLook, retryPause)
	}
	p.lease = r.Lease
	return p.call(phaseTake, ports.KVPut{
		Key: leaseKey, Value: value{Holder: p.self}.encode(), Expect: p.revision, Lease: p.lease,
	})
}

// taken goes on if the key is this instance's for sure; otherwise a look tells.
func (p *Part) taken(r ports.KVReply) []ports.Effect {
	switch r.Status {
	case ports.KVOK:
	case ports.KVConflict:
		return p.look()
	default:
		return p.pause(phaseLook, retryPause)
	}
	p.revision, p.seen = r.Revision, r.Revision
	return p.call(phaseRead, ports.KVGet{Key: recordKey})
}

func (p *Part) recordRead(now time.Time, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVNotFound:
		p.last, p.lastRev = value{}, 0
	case r.Status == ports.KVOK && ok:
		p.last, p.lastRev = decode(item.Value), item.Revision
	default:
		return p.pause(phaseLook, retryPause)
	}
	return p.begin(now)
}

// begin holds the key. The lease is young, but its renewals count only from now on.
func (p *Part) begin(now time.Time) []ports.Effect {
	p.phase = phaseHold
	p.tag = 0
	p.recorded = false
	p.renewed, p.sighted = time.Time{}, time.Time{}
	p.status = Status{Holder: p.self, Mine: true, From: now.Add(p.waitFor())}
	p.recording = p.next()
	effects := p.renew(now)
	effects = append(effects, p.watchOwn(now)...)
	return append(effects, ports.ArmTimer{Tag: p.recording, After: p.waitFor()})
}

// waitFor is the time until a former holder has surely stopped, and the handover.
func (p *Part) waitFor() time.Duration {
	switch {
	case !p.last.Holder.IsValid(), p.last.Holder == p.self:
		return 0
	case p.last.Released:
		return p.handover
	}
	return max(sightTime, p.ttl) + p.handover
}

// record names this instance as the one that may have sent orders last; its
// revision is the fencing token.
func (p *Part) record() []ports.Effect {
	p.recording = p.next()
	return []ports.Effect{ports.KVCall{Tag: p.recording, Req: ports.KVPut{
		Key: recordKey, Value: value{Holder: p.self}.encode(), Expect: p.lastRev,
	}}}
}

// recordDone ends the holding after anything but a certain success: the next
// attempt reads the record anew.
func (p *Part) recordDone(r ports.KVReply) []ports.Effect {
	if r.Status == ports.KVUnavailable {
		p.recording = p.next()
		return []ports.Effect{ports.ArmTimer{Tag: p.recording, After: retryPause}}
	}
	if r.Status != ports.KVOK {
		return p.lost()
	}
	p.recorded = true
	p.lastRev = r.Revision
	p.status.Token = uint64(r.Revision)
	p.extend()
	return nil
}

func (p *Part) renew(now time.Time) []ports.Effect {
	if !p.renewed.IsZero() && now.Sub(p.renewed) > p.ttl {
		return p.lost()
	}
	p.renewal = pending{tag: p.next(), sent: now}
	return []ports.Effect{ports.KVCall{Tag: p.renewal.tag, Req: ports.KVRenew{Lease: p.lease}}}
}

func (p *Part) renewDone(now time.Time, r ports.KVReply) []ports.Effect {
	switch r.Status {
	case ports.KVOK:
		p.renewed = p.renewal.sent
		p.extend()
	case ports.KVNotFound:
		return p.lost()
	default:
		if p.renewed.IsZero() {
			return p.lost()
		}
	}
	p.renewal.tag = p.next()
	return []ports.Effect{ports.ArmTimer{Tag: p.renewal.tag, After: max(renewEvery-now.Sub(p.renewal.sent), 0)}}
}

// watchOwn watches the own key; no change is a sight of it.
func (p *Part) watchOwn(now time.Time) []ports.Effect {
	wait := holderWatch
	if p.sighted.IsZero() {
		wait = firstWatch
	}
	p.sight = pending{tag: p.next(), sent: now, wait: wait}
	return []ports.Effect{ports.KVCall{Tag: p.sight.tag, Req: ports.KVWatch{
		Prefix: leaseKey, After: p.seen, Wait: wait,
	}}}
}

// readOwn reads the own key where the history that a watch needs is gone.
func (p *Part) readOwn(now time.Time) []ports.Effect {
	p.sight = pending{tag: p.next(), sent: now}
	return []ports.Effect{ports.KVCall{Tag: p.sight.tag, Req: ports.KVGet{Key: leaseKey}}}
}

func (p *Part) sightDone(now time.Time, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVOK && (!ok || !item.Deleted && item.Revision == p.revision):
		p.seen = max(p.seen, r.Revision)
		p.sighted = p.sight.until(now)
		p.extend()
		return p.watchOwn(now)
	case r.Status == ports.KVConflict:
		return p.readOwn(now)
	case r.Status == ports.KVOK, r.Status == ports.KVNotFound:
		return p.lost()
	}
	p.sight.tag = p.next()
	return []ports.Effect{ports.ArmTimer{Tag: p.sight.tag, After: retryPause}}
}

// extend moves the end of the time in which orders may be sent.
func (p *Part) extend() {
	if p.renewed.IsZero() || p.sighted.IsZero() {
		return
	}
	until := p.renewed.Add(p.ttl)
	if seen := p.sighted.Add(sightTime); seen.Before(until) {
		until = seen
	}
	p.status.Sure = until.Add(-margin)
	if p.recorded {
		p.status.Until = p.status.Sure
	}
}

func (p *Part) lost() []ports.Effect {
	p.status = Status{}
	return p.look()
}

// release writes that no order follows, so that a successor need not wait for the
// lease, and then ends the lease.
func (p *Part) release() []ports.Effect {
	held := p.phase == phaseHold
	p.status = Status{}
	if !held {
		p.phase = phaseStopped
		return nil
	}
	if !p.recorded {
		return p.revoke()
	}
	return p.call(phaseRelease, ports.KVPut{
		Key: recordKey, Value: value{Holder: p.self, Released: true}.encode(), Expect: p.lastRev,
	})
}

func (p *Part) revoke() []ports.Effect {
	return p.call(phaseStopped, ports.KVRevoke{Lease: p.lease})
}

func (v value) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The value has no field that can't be written.
		panic(err)
	}
	return data
}

// decode reads a value; one that cannot be read names nobody.
func decode(data []byte) value {
	var v value
	if err := json.Unmarshal(data, &v); err != nil {
		return value{}
	}
	return v
}
