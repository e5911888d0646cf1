package picker

import (
	"math"
	"slices"
	"time"
)

const (
	// maxQueueTimeShare is the share of the time until its deadline that a request is
	// queued for a model of which the lease holder has given no expected load time.
	maxQueueTimeShare = 0.3
	// defaultRetryAfter is returned with a refusal if no load of the model is under way.
	defaultRetryAfter = 2 * time.Second
	// stoppingRetryAfter is returned with a refusal by an instance that is stopping.
	stoppingRetryAfter = 100 * time.Millisecond
	// queueCheckInterval is the interval at which the queue is checked for expired
	// deadlines, backoffs and ejections.
	queueCheckInterval = 50 * time.Millisecond
	// minCheckInterval limits how often it is checked when deadlines are close together.
	minCheckInterval = time.Millisecond
	// retrySpread is the share of Retry-After over which refusals are spread.
	retrySpread = 0.1
	// maxRefusals is the number of refusals after which the spread begins again.
	maxRefusals = 1 << 20
)

type queuedRequest struct {
	req    Request
	result chan acquireResult
	// hasLeft means that the request is no longer in the queue.
	hasLeft bool
}

type acquireResult struct {
	reservation *Reservation
	err         error
}

// compareQueued orders requests by priority, then by arrival.
func compareQueued(x, y *queuedRequest) int {
	if x.req.Priority != y.req.Priority {
		return x.req.Priority - y.req.Priority
	}
	return x.req.Arrived.Compare(y.req.Arrived)
}

// enqueue adds a request to the queue.
func (p *Picker) enqueue(w *queuedRequest) {
	p.queue = insertQueued(p.queue, w, compareQueued)
	p.addToTeam(w)
}

// insertQueued inserts a request behind those that are equal to it.
func insertQueued(list []*queuedRequest, w *queuedRequest, compare func(x, y *queuedRequest) int) []*queuedRequest {
	i, _ := slices.BinarySearchFunc(list, w, func(have, w *queuedRequest) int {
		if compare(have, w) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, w)
}

// leave ends the queueing of a request with a result. compact or DeleteFunc removes it from
// the list.
func (p *Picker) leave(w *queuedRequest, a acquireResult) {
	w.hasLeft = true
	p.removeFromTeam(w)
	w.result <- a
}

// compact removes the requests from the list that have left the queue.
func (p *Picker) compact() {
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.hasLeft })
}

// dequeue removes a request whose caller is gone. A reservation that was made for it at
// the same moment is released.
func (p *Picker) dequeue(w *queuedRequest, err error) error {
	p.mu.Lock()
	wasQueued := !w.hasLeft
	if wasQueued {
		p.leave(w, acquireResult{err: err})
		p.compact()
	}
	p.mu.Unlock()
	if !wasQueued {
		if a := <-w.result; a.reservation != nil {
			a.reservation.Release(Outcome{})
		}
	}
	return err
}

// refuse returns a Refusal if queueing the request cannot help, otherwise nil.
func (p *Picker) refuse(now time.Time, q *Request) *Refusal {
	if p.closed {
		return &Refusal{Reason: ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
	if !now.Before(q.until()) {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: p.retryAfter(now, q)}
	}
	if until, ok := p.allBackingOff(now, q); ok {
		return &Refusal{Reason: ReasonBackoff, RetryAfter: until.Sub(now)}
	}
	if q.Model == "" {
		return nil
	}
	if p.expected[q.Model].After(q.until()) {
		return &Refusal{Reason: ReasonTooLate, RetryAfter: p.retryAfter(now, q)}
	}
	if now.Sub(q.Arrived) > p.maxQueueTime(q) && !p.waitsForPermit(now, q) {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: p.retryAfter(now, q)}
	}
	return nil
}

// maxQueueTime limits how long a request is queued. Without an expected load time for its
// model it is queued only for a share of the time until its deadline.
func (p *Picker) maxQueueTime(q *Request) time.Duration {
	if _, known := p.expected[q.Model]; known {
		return q.until().Sub(q.Arrived)
	}
	return time.Duration(maxQueueTimeShare * float64(q.Deadline.Sub(q.Arrived)))
}

func (p *Picker) retryAfter(now time.Time, q *Request) time.Duration {
	if ready := p.expected[q.Model]; ready.After(now) {
		return p.spread(ready.Sub(now))
	}
	return p.spread(defaultRetryAfter)
}

// spread returns the time after which a refused caller should come again, which is d or a
// little more: callers that are refused together must not come again together. Multiples of
// the golden ratio spread any number of refusals evenly.
func (p *Picker) spread(d time.Duration) time.Duration {
	_, part := math.Modf(float64(p.refusals%maxRefusals) * math.Phi)
	p.refusals++
	return d + time.Duration(retrySpread*part*float64(d))
}

// processQueue assigns queued requests to targets and refuses those for which further
// waiting cannot help.
func (p *Picker) processQueue(now time.Time) {
	p.serve(now, nil)
	p.refuseLimited(now)
	p.scheduleCheckLocked()
}

// RefuseBlocked refuses the queued requests for which isBlocked returns true. The block says
// when to come back, unless it is lifted by then.
func (p *Picker) RefuseBlocked(isBlocked func(*Request) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool {
		if !isBlocked(&w.req) {
			return false
		}
		p.leave(w, acquireResult{err: &Refusal{Reason: ReasonBlocked, RetryAfter: defaultRetryAfter}})
		return true
	})
}

// scheduleCheckLocked arms a timer while requests are queued, since deadlines, backoffs
// and ejections end without any other event.
func (p *Picker) scheduleCheckLocked() {
	if p.checkScheduled || len(p.queue) == 0 {
		return
	}
	p.checkScheduled = true
	now := p.timer.Now()
	delay := queueCheckInterval
	for _, w := range p.queue {
		delay = min(delay, w.req.until().Sub(now))
	}
	p.timer.After(max(delay, minCheckInterval), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checkScheduled = false
		p.processQueue(p.timer.Now())
	})
}
