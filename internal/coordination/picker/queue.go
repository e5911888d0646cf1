package picker

import (
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
)

type queuedRequest struct {
	req    Request
	result chan acquireResult
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

// dequeue removes a request whose caller is gone. A reservation that was made for it at
// the same moment is released.
func (p *Picker) dequeue(w *queuedRequest, err error) error {
	p.mu.Lock()
	i := slices.Index(p.queue, w)
	if i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
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
	if !now.Before(q.Deadline) {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: p.retryAfter(now, q)}
	}
	if until, ok := p.allBackingOff(now, q); ok {
		return &Refusal{Reason: ReasonBackoff, RetryAfter: until.Sub(now)}
	}
	if q.Model == "" {
		return nil
	}
	if p.expected[q.Model].After(q.Deadline) {
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
		return q.Deadline.Sub(q.Arrived)
	}
	return time.Duration(maxQueueTimeShare * float64(q.Deadline.Sub(q.Arrived)))
}

func (p *Picker) retryAfter(now time.Time, q *Request) time.Duration {
	if ready := p.expected[q.Model]; ready.After(now) {
		return ready.Sub(now)
	}
	return defaultRetryAfter
}

// processQueue assigns queued requests to targets and refuses those for which further
// waiting cannot help.
func (p *Picker) processQueue(now time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool {
		if s := p.tryAcquire(now, &w.req); s != nil {
			w.result <- acquireResult{reservation: s}
			return true
		}
		if refusal := p.refuse(now, &w.req); refusal != nil {
			w.result <- acquireResult{err: refusal}
			return true
		}
		return false
	})
	p.refuseLimited(now)
	p.scheduleCheckLocked()
}

// RefuseBlocked refuses the queued requests for which isBlocked returns true.
func (p *Picker) RefuseBlocked(isBlocked func(*Request) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool {
		if !isBlocked(&w.req) {
			return false
		}
		w.result <- acquireResult{err: &Refusal{Reason: ReasonBlocked}}
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
	p.timer.After(queueCheckInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checkScheduled = false
		p.processQueue(p.timer.Now())
	})
}
