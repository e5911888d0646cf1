package hold

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

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

// begin holds the key. The lease is young, but its renewals count only from now on.
func (p *Part) begin(now time.Time) []ports.Effect {
	p.phase = phaseHold
	p.tag = 0
	p.recorded = false
	p.renewed, p.sighted = time.Time{}, time.Time{}
	from := timer.Later(now, p.waitsSince(now).Add(p.waitFor()))
	p.vanishedAt = time.Time{}
	p.status = Status{Holder: p.self, Mine: true, From: from}
	p.recording = p.next()
	effects := p.renew(now)
	effects = append(effects, p.watchOwn(now)...)
	return append(effects, ports.ArmTimer{Tag: p.recording, After: from.Sub(now)})
}

// waitsSince is from when the wait for a former holder counts: from when its key was
// found to be gone, if the record shows that nobody has held and ordered since.
func (p *Part) waitsSince(now time.Time) time.Time {
	if p.vanishedAt.IsZero() || p.lastRev > p.vanishedRev {
		return now
	}
	return p.vanishedAt
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
