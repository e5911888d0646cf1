package queue

import (
	"cmp"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// answerMarginShare is the share of the time until the deadline that is reserved for
	// sending the response, up to maxAnswerMargin.
	answerMarginShare = 0.05
	maxAnswerMargin   = 200 * time.Millisecond
	// demandInterval is the minimum time between two demands of a queue.
	demandInterval = time.Second
	// demandRetryDelay is the delay before a demand that reached no owner is sent again.
	demandRetryDelay = 200 * time.Millisecond
	// defaultRetryAfter is the retry time given to callers if the owner sent none.
	defaultRetryAfter = 5 * time.Second
	// demandTimeout bounds one demand, so that an owner that does not answer does not block
	// the next demand.
	demandTimeout = 2 * time.Second
	// queueIdleTimeout is how long an empty queue is kept after its last grant.
	queueIdleTimeout = time.Minute
	// estimateErrorDivisor sets the margin for an error of an estimated wait: one quarter of
	// the estimate.
	estimateErrorDivisor = 4
	// intervalWeight is the weight of one sample in the moving average of grantInterval.
	intervalWeight = 0.1
)

// queueKey identifies a queue. A replica that can serve one of its requests can serve all.
type queueKey struct{ key, adapter string }

// waitQueue is the queue of one model and adapter, or of one plain service, with the state
// from which waits are estimated and demands are scheduled.
type waitQueue struct {
	key     queueKey
	isPlain bool
	queue   *fairQueue
	shedder admit.Shedder
	// grantInterval is the moving average of the time between two grants while requests
	// waited.
	grantInterval time.Duration
	lastGrantAt   time.Time
	// demandPending is set while a demand awaits its reply.
	demandPending bool
	// nextDemandAt is the earliest time of the next demand.
	nextDemandAt time.Time
	// readyAt is the owner's estimate of when the load ends, zero if there is none.
	readyAt time.Time
	// handledFailure describes the latest failed load for which a demand was scheduled.
	handledFailure string
	// cancelTimer cancels the pending timer that processes the queue again, nil if there is
	// none.
	cancelTimer timer.Cancel
	// timerAt is when that timer fires.
	timerAt time.Time
}

// actions are carried out after the lock of the queue is released.
type actions struct {
	answers []delivery
	demand  *ports.Demand
}

// delivery is an outcome and the waiter to send it to.
type delivery struct {
	waiter *waiter
	outcome
}

func (a *actions) refuse(w *waiter, reason admit.Reason, detail string, retryAfter time.Duration) {
	refusal := &admit.Refusal{Reason: reason, Detail: detail, RetryAfter: retryAfter}
	a.answers = append(a.answers, delivery{waiter: w, outcome: outcome{refusal: refusal}})
}

// picker is the part of the routing table that the queues use.
type picker interface {
	Pick(q route.Query, now time.Time) (route.Choice, route.Status)
	LoadState(key string) (readyIn time.Duration, loading bool, failed string)
	HasUsable(q route.Query) bool
	LinkWait(q route.Query) time.Duration
	AvgDuration(key string) time.Duration
}

// process grants free slots, refuses the waiters that cannot be served in time and adds a
// demand if one is due.
func (q *waitQueue) process(now time.Time, table picker) actions {
	var a actions
	status := q.grant(now, table, &a)
	q.expire(now, &a)
	if q.queue.count == 0 {
		q.readyAt = time.Time{}
		return a
	}
	if q.isPlain {
		if status != route.Busy {
			q.refuseAll(&a, admit.ReasonNoTarget, "no instance of the service is known", defaultRetryAfter)
			return a
		}
	} else {
		q.checkLoads(now, table, status, &a)
		q.addDemand(now, &a)
	}
	return a
}

// grant gives slots to waiters until no waiter is left, in which case it returns
// route.Picked, or until no slot is free, in which case it returns the status of the pick.
func (q *waitQueue) grant(now time.Time, table picker, a *actions) route.Status {
	for {
		w := q.queue.next()
		if w == nil {
			return route.Picked
		}
		if !now.Before(w.refuseBy) {
			q.queue.remove(w)
			a.refuse(w, admit.ReasonDeadline, "the deadline passed while the request waited", q.retryAfter(now))
			continue
		}
		choice, status := table.Pick(w.req.Query, now)
		if status != route.Picked {
			return status
		}
		q.queue.removeGranted(w)
		q.readyAt = time.Time{}
		q.recordGrant(now, w)
		grant := Grant{Choice: choice, Waited: now.Sub(w.enqueuedAt), WasCold: w.isCold}
		a.answers = append(a.answers, delivery{waiter: w, outcome: outcome{grant: grant}})
	}
}

// recordGrant updates the average grant interval, which is used to estimate waits and thereby
// to decide about shedding.
func (q *waitQueue) recordGrant(now time.Time, w *waiter) {
	// The time since the last grant is a sample only if the queue was not empty meanwhile.
	if w.enqueuedAt.Before(q.lastGrantAt) {
		sample := now.Sub(q.lastGrantAt)
		if q.grantInterval == 0 {
			q.grantInterval = sample
		}
		q.grantInterval += time.Duration(intervalWeight * float64(sample-q.grantInterval))
	}
	q.lastGrantAt = now
}

// expire refuses the waiters whose time is up. It is called whenever a call ends, so it
// scans the queue only if a time to refuse may have come.
func (q *waitQueue) expire(now time.Time, a *actions) {
	if now.Before(q.queue.minRefuseBy) {
		return
	}
	q.refuseIf(a, func(w *waiter) (admit.Reason, string, time.Duration, bool) {
		if now.Before(w.refuseBy) {
			return "", "", 0, false
		}
		return admit.ReasonDeadline, "the deadline passed while the request waited", q.retryAfter(now), true
	})
	q.queue.minRefuseBy, _ = q.queue.earliest()
}

// checkLoads reads the state of the model's loads from the table. It refuses the waiters
// that cannot wait for a running load. If a load has failed since the last check, the next
// demand becomes due immediately; its reply sets a new estimate or refuses the waiters.
func (q *waitQueue) checkLoads(now time.Time, table picker, status route.Status, a *actions) {
	if status == route.Busy || status == route.Picked {
		return
	}
	readyIn, loading, failed := table.LoadState(q.key.key)
	switch {
	case loading && readyIn > 0:
		q.readyAt = now.Add(readyIn)
		q.refuseLate(now, a)
	case !loading && failed != "" && failed != q.handledFailure:
		q.handledFailure = failed
		q.readyAt = time.Time{}
		q.nextDemandAt = now
	}
}

// addDemand adds a demand to the actions if none is pending and the demand interval has
// passed.
func (q *waitQueue) addDemand(now time.Time, a *actions) {
	if q.demandPending || q.queue.count == 0 || now.Before(q.nextDemandAt) {
		return
	}
	first, class := q.queue.earliest()
	q.demandPending = true
	q.nextDemandAt = now.Add(demandInterval)
	a.demand = &ports.Demand{
		Model: q.key.key, Adapter: q.key.adapter, Class: class,
		Waiting: q.queue.count, Within: max(first.Sub(now), 0),
	}
}

// handleReply processes the owner's reply to a demand. If ready, replicas already serve the
// queue and the demand was for more of them, so that no waiter is refused.
func (q *waitQueue) handleReply(now time.Time, reply ports.DemandReply, err error, ready bool) actions {
	var a actions
	q.demandPending = false
	switch {
	case err != nil, reply.Status == ports.DemandElsewhere:
		q.nextDemandAt = now.Add(demandRetryDelay)
	case reply.Status == ports.DemandRefused:
		if !ready {
			q.refuseAll(&a, demandReason(reply.Reason), reply.Reason, cmp.Or(max(reply.RetryAfter, 0), defaultRetryAfter))
		}
	case reply.ReadyIn > 0 && !ready:
		q.readyAt = now.Add(reply.ReadyIn)
		q.refuseLate(now, &a)
	}
	return a
}

// refuseLate refuses the waiters that would have to be refused before the load is expected
// to end.
func (q *waitQueue) refuseLate(now time.Time, a *actions) {
	q.refuseIf(a, func(w *waiter) (admit.Reason, string, time.Duration, bool) {
		if !w.refuseBy.Before(q.readyAt) {
			return "", "", 0, false
		}
		return admit.ReasonTooLate, "the model will not be loaded before the deadline", q.readyAt.Sub(now), true
	})
}

func (q *waitQueue) refuseAll(a *actions, reason admit.Reason, detail string, retryAfter time.Duration) {
	q.refuseIf(a, func(*waiter) (admit.Reason, string, time.Duration, bool) {
		return reason, detail, retryAfter, true
	})
}

// refuseIf removes and refuses the waiters for which the last result of check is true.
func (q *waitQueue) refuseIf(a *actions, check func(*waiter) (admit.Reason, string, time.Duration, bool)) {
	var refused []*waiter
	q.queue.each(func(w *waiter) {
		if _, _, _, refuse := check(w); refuse {
			refused = append(refused, w)
		}
	})
	for _, w := range refused {
		reason, detail, retryAfter, _ := check(w)
		q.queue.remove(w)
		a.refuse(w, reason, detail, retryAfter)
	}
}

// nextCheck returns when the queue has to be processed again: at the first time to refuse a
// waiter or at the next demand, whichever comes first; zero for an empty queue.
func (q *waitQueue) nextCheck() time.Time {
	if q.queue.count == 0 {
		return time.Time{}
	}
	first, _ := q.queue.earliest()
	if !q.isPlain && !q.demandPending && q.nextDemandAt.Before(first) {
		return q.nextDemandAt
	}
	return first
}

// expectedWait estimates the wait of a new request: until the load ends, or else the number
// of requests granted before it times the average grant interval.
func (q *waitQueue) expectedWait(now time.Time, w *waiter) time.Duration {
	if !q.readyAt.IsZero() {
		return max(q.readyAt.Sub(now), 0)
	}
	return time.Duration(q.queue.countAhead(w.req, w.refuseBy)) * q.grantInterval
}

// isIdle reports whether the queue can be deleted: it is empty, awaits no reply and has
// granted nothing for queueIdleTimeout.
func (q *waitQueue) isIdle(now time.Time) bool {
	return q.queue.count == 0 && !q.demandPending && now.Sub(q.lastGrantAt) > queueIdleTimeout
}

// retryAfter estimates when a refused caller should retry.
func (q *waitQueue) retryAfter(now time.Time) time.Duration {
	if !q.readyAt.IsZero() {
		return cmp.Or(max(q.readyAt.Sub(now), 0), time.Second)
	}
	return cmp.Or(time.Duration(q.queue.count)*q.grantInterval, time.Second)
}

func demandReason(reason string) admit.Reason {
	if reason == string(admit.ReasonLoadFailed) {
		return admit.ReasonLoadFailed
	}
	return admit.ReasonNoReplica
}
