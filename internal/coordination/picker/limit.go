package picker

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// longPermitWait is the wait for a permit from which on another copy of the model
	// would be better for the request.
	longPermitWait = time.Second
	// maxLimited limits the refused requests that are kept for the next demand.
	maxLimited = 256
)

// Limit is the rate limit of a target as this instance knew it when it decided about a
// request, for logs. It is zero if there was none.
type Limit struct {
	Target string
	// PerSecond is the limit of all instances together, in requests a second.
	PerSecond float64
	// Age is the time since this instance has heard of the limit.
	Age time.Duration
	// Permits is the number of requests that this instance could send.
	Permits int
	// Wait is the expected time until it can send one more, 0 if that is not known.
	Wait time.Duration
}

// limitOf returns the limit of a target.
func (p *Picker) limitOf(target fleet.Identity, now time.Time) Limit {
	perSecond, age := p.share.Limit(target, now)
	if perSecond == 0 {
		return Limit{}
	}
	return Limit{Target: target.ID, PerSecond: perSecond, Age: age, Permits: p.share.Permits(target, now)}
}

// passOver records that a request does not go to targets whose limit leaves no room, and
// returns the limit of one of them.
func (p *Picker) passOver(now time.Time, q *Request) Limit {
	if !p.share.InForce() {
		return Limit{}
	}
	var passed Limit
	fresh := p.hasFreshUpdates(now)
	for _, r := range p.targets {
		if r.Service == q.Service && p.share.Blocks(r.Identity, now) && r.canAccept(now, q, fresh) {
			p.share.Pass(r.Identity)
			passed = p.limitOf(r.Identity, now)
		}
	}
	return passed
}

// place is the place of a queued request in the line for a target with a limit.
type place struct {
	target fleet.Identity
	// wait is the expected time until the request can be sent; valid if isKnown.
	wait    time.Duration
	isKnown bool
	// isOnly means that the request can go nowhere else.
	isOnly bool
}

// placeOf returns the place of a request for which no target has room: at the target with
// the least wait, given how many of this instance's requests are ahead at each. It returns
// false if no limit is what the request waits for.
func (p *Picker) placeOf(now time.Time, q *Request, ahead map[fleet.Identity]int) (place, bool) {
	best, found := place{isOnly: true}, false
	fresh := p.hasFreshUpdates(now)
	for _, r := range p.targets {
		if r.Service != q.Service || !r.isCandidate(now, q, fresh) {
			continue
		}
		if !p.share.Blocks(r.Identity, now) {
			best.isOnly = best.isOnly && now.Before(r.backoffUntil)
			continue
		}
		wait, known := p.share.Wait(r.Identity, ahead[r.Identity], now)
		wait = max(wait, r.backoffUntil.Sub(now))
		if !found || known && (!best.isKnown || wait < best.wait) {
			best.target, best.wait, best.isKnown, found = r.Identity, wait, known, true
		}
	}
	return best, found
}

// visitPlaces calls visit for each queued request that waits for a permit, the most urgent
// first, and removes those from the queue for which it returns false. The others are ahead
// of those that follow.
func (p *Picker) visitPlaces(now time.Time, visit func(*queuedRequest, place) bool) {
	if !p.share.InForce() {
		return
	}
	ahead := make(map[fleet.Identity]int)
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool {
		at, ok := p.placeOf(now, &w.req, ahead)
		if !ok {
			return false
		}
		if !visit(w, at) {
			return true
		}
		ahead[at.target]++
		return false
	})
}

// refuseLimited refuses the queued requests that limits leave no room for before their
// deadline.
func (p *Picker) refuseLimited(now time.Time) {
	p.visitPlaces(now, func(w *queuedRequest, at place) bool {
		refusal := p.refuseAt(now, &w.req, at)
		if refusal == nil {
			return true
		}
		if w.req.Model != "" && len(p.limited) < maxLimited {
			p.limited = append(p.limited, w.req)
		}
		p.leave(w, acquireResult{err: refusal})
		return false
	})
}

// refuseAt returns a Refusal if a request cannot wait for its place, otherwise nil.
func (p *Picker) refuseAt(now time.Time, q *Request, at place) *Refusal {
	if !at.isOnly || p.isLoadedBefore(now, q) {
		return nil
	}
	if !now.Before(q.until()) {
		// The wait for the permit says nothing about when to come back; it may be 0.
		return p.refuse(now, q)
	}
	retryAfter := at.wait
	switch {
	case at.isKnown && !now.Add(at.wait).After(q.until()):
		return nil
	case !at.isKnown && now.Sub(q.Arrived) <= p.maxQueueTime(q):
		return nil
	case !at.isKnown:
		retryAfter = defaultRetryAfter
	}
	limit := p.limitOf(at.target, now)
	limit.Wait = at.wait
	return &Refusal{Reason: ReasonLimit, RetryAfter: p.spread(retryAfter), Limit: limit}
}

// addLimited adds to the demand the requests that limits refuse or hold up for long.
func (p *Picker) addLimited(now time.Time, demandOf func(service, model string) *Demand) {
	for i := range p.limited {
		q := &p.limited[i]
		demandOf(q.Service, q.Model).addLimited(q)
	}
	p.limited = nil
	p.visitPlaces(now, func(w *queuedRequest, at place) bool {
		if w.req.Model != "" && at.isOnly && at.isKnown && at.wait > longPermitWait {
			demandOf(w.req.Service, w.req.Model).addLimited(&w.req)
		}
		return true
	})
}

// waitsForPermit reports whether a request waits for nothing but a permit, which
// refuseLimited judges.
func (p *Picker) waitsForPermit(now time.Time, q *Request) bool {
	if !p.share.InForce() {
		return false
	}
	at, ok := p.placeOf(now, q, nil)
	return ok && at.isOnly
}

// LimitDemand returns what to tell the lease holder about limits and the permits to ask
// it for.
func (p *Picker) LimitDemand() ([]quota.Report, []quota.Want) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	p.share.Retain(p.isListed, now)
	if !p.share.InForce() {
		return nil, nil
	}
	queued := make(map[fleet.Identity]quota.Queued)
	p.visitPlaces(now, func(w *queuedRequest, at place) bool {
		have := queued[at.target]
		queued[at.target] = quota.Queued{Count: have.Count + 1, Deadline: timer.Later(have.Deadline, w.req.until())}
		return true
	})
	return p.share.Reports(now), p.share.Wants(queued, now)
}

func (p *Picker) isListed(target fleet.Identity) bool {
	r := p.targets[target.ID]
	return r != nil && r.Identity == target
}

// ApplyPermits applies the lease holder's reply to a message with LimitDemand.
func (p *Picker) ApplyPermits(r quota.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	p.share.Apply(r, now)
	if len(r.Grants) > 0 {
		p.processQueue(now)
	}
}

// TimeToNextPermit returns the expected time until the next permit that queued requests
// wait for, and false if none wait for one.
func (p *Picker) TimeToNextPermit() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 || !p.share.InForce() {
		return 0, false
	}
	return p.share.NextPermit(p.timer.Now())
}
