package elect

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// readKey reads the key to find the holder.
func (p *Part) readKey() []ports.Effect {
	return p.call(phaseReadKey, ports.KVGet{Key: leaseKey})
}

func (p *Part) keyRead(now time.Time, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	if r.Status == ports.KVOK || r.Status == ports.KVNotFound {
		p.retryDelay = 0
	}
	switch {
	case r.Status == ports.KVOK && ok:
		p.seenRevision = max(r.Revision, item.Revision)
		return p.keyFound(item)
	case r.Status == ports.KVNotFound:
		p.keyRevision = 0
		if p.missingSince.IsZero() {
			p.missingSince, p.missingRevision = now, r.Revision
		}
		if !p.hasDelayed && p.acquireDelay > 0 {
			p.hasDelayed = true
			return p.delayPhase(phaseReadKey, p.acquireDelay)
		}
		return p.keyMissing()
	}
	return p.retry()
}

// keyFound handles a key that exists. If it names this instance, an earlier incarnation
// wrote it and this one takes it over; otherwise this instance follows the holder.
func (p *Part) keyFound(item ports.Item) []ports.Effect {
	holder := decode(item.Value).Holder
	p.keyRevision = item.Revision
	p.hasDeferred = false
	p.missingSince = time.Time{}
	if holder == p.self {
		return p.grantLease()
	}
	p.status = Status{Holder: holder}
	return p.delayPhase(phaseBeforeWatch, watchDelay)
}

func (p *Part) watchKey() []ports.Effect {
	return p.call(phaseWatch, ports.KVWatch{Prefix: leaseKey, After: p.seenRevision, Wait: idleWatchTimeout})
}

// becomePassive ends the watch of the key: the new tag makes the Part ignore its reply.
func (p *Part) becomePassive() {
	p.phase = phasePassive
	p.tag = p.nextTag()
}

func (p *Part) watchDone(r ports.KVReply) []ports.Effect {
	switch {
	case r.Status == ports.KVOK && len(r.Items) == 0:
		p.seenRevision = max(p.seenRevision, r.Revision)
		return p.watchKey()
	case r.Status == ports.KVOK, r.Status == ports.KVConflict:
		return p.readKey()
	}
	return p.retry()
}

// keyMissing starts to acquire the key. If another instance was the last holder, it is
// given time to return first.
func (p *Part) keyMissing() []ports.Effect {
	p.status = Status{}
	if p.hasDeferred {
		p.hasDeferred = false
		return p.grantLease()
	}
	return p.call(phaseReadLast, ports.KVGet{Key: recordKey})
}

func (p *Part) lastHolderRead(r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVNotFound:
		return p.grantLease()
	case r.Status != ports.KVOK || !ok:
		return p.retry()
	case decode(item.Value).Holder == p.self:
		return p.grantLease()
	}
	p.hasDeferred = true
	return p.delayPhase(phaseDefer, deferDelay+p.acquireDelay+time.Duration(p.random.Int64N(int64(deferJitter))))
}

func (p *Part) grantLease() []ports.Effect {
	return p.call(phaseGrant, ports.KVGrant{TTL: p.ttl})
}

func (p *Part) leaseGranted(r ports.KVReply) []ports.Effect {
	if r.Status != ports.KVOK {
		return p.retry()
	}
	p.lease = r.Lease
	return p.call(phaseAcquire, ports.KVPut{
		Key: leaseKey, Value: holderValue{Holder: p.self}.encode(), Expect: p.keyRevision, Lease: p.lease,
	})
}

// keyWritten continues if this instance certainly wrote the key; otherwise the key is
// read again.
func (p *Part) keyWritten(r ports.KVReply) []ports.Effect {
	switch r.Status {
	case ports.KVOK:
	case ports.KVConflict:
		return p.readKey()
	default:
		return p.retry()
	}
	p.keyRevision = r.Revision
	return p.call(phaseReadRecord, ports.KVGet{Key: recordKey})
}

func (p *Part) recordRead(now time.Time, r ports.KVReply) []ports.Effect {
	item, ok := r.Item()
	switch {
	case r.Status == ports.KVNotFound:
		p.lastRecord, p.recordRevision = holderValue{}, 0
	case r.Status == ports.KVOK && ok:
		p.lastRecord, p.recordRevision = decode(item.Value), item.Revision
	default:
		return p.retry()
	}
	return p.startTerm(now)
}
