package await

import (
	"cmp"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Bounds of waiting.
const (
	// answerMargin is the part of the time left that is kept for the answer to
	// travel, up to answerMarginMost.
	answerMargin     = 0.05
	answerMarginMost = 200 * time.Millisecond
	// demandInterval is the least time between two demands of a line.
	demandInterval = time.Second
	// demandRetry is the time until a demand that got no owner is sent again.
	demandRetry = 200 * time.Millisecond
	// coldRetryAfter is the advice where the owner gave none.
	coldRetryAfter = 5 * time.Second
	// demandTimeout bounds one demand, so that a silent owner holds up no other.
	demandTimeout = 2 * time.Second
	// lineIdle is how long an empty line is remembered.
	lineIdle = time.Minute
	// estimateSlack is the part of an estimated wait by which it may be wrong.
	estimateSlack = 4
	// rateWeight is the weight of one sample in the averages of a line.
	rateWeight = 0.1
)

// lineKey names a line: requests that any replica for one of them can serve.
type lineKey struct{ key, adapter string }

// line is the queue of one model and adapter, or of one plain service, with
// what is known of when it moves.
type line struct {
	key     lineKey
	plain   bool
	queue   *queue
	shedder admit.Shedder
	// interval is the average time between two grants while requests waited.
	interval  time.Duration
	grantedAt time.Time
	// asking is set while a demand is under way; askedAt is when the latest was
	// sent, askAt when the next may be.
	asking bool
	askAt  time.Time
	// readyAt is the owner's estimate of the load's end, zero for none.
	readyAt time.Time
	// failure is the failed load that the line has reacted to.
	failure string
	// wake is the pending call that looks at the line again, at wakeAt.
	wake   timer.Cancel
	wakeAt time.Time
}

// act is what has to happen once the line's lock is released.
type act struct {
	answers []addressed
	demand  *ports.Demand
}

type addressed struct {
	to *waiter
	answer
}

func (a *act) refuse(w *waiter, reason admit.Reason, detail string, retryAfter time.Duration) {
	refusal := &admit.Refusal{Reason: reason, Detail: detail, RetryAfter: retryAfter}
	a.answers = append(a.answers, addressed{to: w, answer: answer{refusal: refusal}})
}

// picker is the routing table as the queues use it.
type picker interface {
	Pick(q route.Query, now time.Time) (route.Choice, route.Status)
	Outlook(key string) (readyIn time.Duration, loading bool, failed string)
	Ready(q route.Query) bool
	CrossWait(q route.Query) time.Duration
	Took(key string) time.Duration
}

// work grants what can be granted, refuses whom waiting cannot help and decides
// about a demand.
func (l *line) work(now time.Time, table picker) act {
	var a act
	status := l.grant(now, table, &a)
	l.expire(now, &a)
	if l.queue.count == 0 {
		l.readyAt = time.Time{}
		return a
	}
	if l.plain {
		if status != route.Busy {
			l.refuseAll(&a, admit.ReasonNoTarget, "no instance of the service is known", coldRetryAfter)
			return a
		}
	} else {
		l.look(now, table, status, &a)
		l.ask(now, &a)
	}
	return a
}

// grant hands out places until there are none, and returns why it ended.
func (l *line) grant(now time.Time, table picker, a *act) route.Status {
	for {
		w := l.queue.next()
		if w == nil {
			return route.Picked
		}
		if !now.Before(w.due) {
			l.queue.remove(w)
			a.refuse(w, admit.ReasonDeadline, "the deadline passed while the request waited", l.retryAfter(now))
			continue
		}
		choice, status := table.Pick(w.req.Query, now)
		if status != route.Picked {
			return status
		}
		l.queue.granted(w)
		l.readyAt = time.Time{}
		l.count(now, w)
		grant := Grant{Choice: choice, Waited: now.Sub(w.joined), Cold: w.cold}
		a.answers = append(a.answers, addressed{to: w, answer: answer{grant: grant}})
	}
}

// count keeps the averages that the estimates and the shedding rest on.
func (l *line) count(now time.Time, w *waiter) {
	// A sample is the time between two grants only if somebody waited all along.
	if w.joined.Before(l.grantedAt) {
		sample := now.Sub(l.grantedAt)
		if l.interval == 0 {
			l.interval = sample
		}
		l.interval += time.Duration(rateWeight * float64(sample-l.interval))
	}
	l.grantedAt = now
}

// expire refuses those whose time is up. It looks through the queue only once a
// deadline can have come, since it is called at the end of every call.
func (l *line) expire(now time.Time, a *act) {
	if now.Before(l.queue.first) {
		return
	}
	l.refuseWhere(a, func(w *waiter) (admit.Reason, string, time.Duration, bool) {
		if now.Before(w.due) {
			return "", "", 0, false
		}
		return admit.ReasonDeadline, "the deadline passed while the request waited", l.retryAfter(now), true
	})
	l.queue.first, _ = l.queue.earliest()
}

// look takes what the table tells of loads. A load that has failed since
// the line looked last makes a new demand due at once, whose answer moves or
// refuses the waiters.
func (l *line) look(now time.Time, table picker, status route.Status, a *act) {
	if status == route.Busy || status == route.Picked {
		return
	}
	readyIn, loading, failed := table.Outlook(l.key.key)
	switch {
	case loading && readyIn > 0:
		l.readyAt = now.Add(readyIn)
		l.refuseLate(now, a)
	case !loading && failed != "" && failed != l.failure:
		l.failure = failed
		l.readyAt = time.Time{}
		l.askAt = now
	}
}

// ask makes a demand due, at most one at a time and one in an interval.
func (l *line) ask(now time.Time, a *act) {
	if l.asking || l.queue.count == 0 || now.Before(l.askAt) {
		return
	}
	first, class := l.queue.earliest()
	l.asking = true
	l.askAt = now.Add(demandInterval)
	a.demand = &ports.Demand{
		Model: l.key.key, Adapter: l.key.adapter, Class: class,
		Waiting: l.queue.count, Within: max(first.Sub(now), 0),
	}
}

// answered takes the owner's answer to a demand; ready tells that replicas are
// in use and the demand was for more of them.
func (l *line) answered(now time.Time, reply ports.DemandReply, err error, ready bool) act {
	var a act
	l.asking = false
	switch {
	case err != nil, reply.Status == ports.DemandElsewhere:
		l.askAt = now.Add(demandRetry)
	case reply.Status == ports.DemandRefused:
		if !ready {
			l.refuseAll(&a, demandReason(reply.Reason), reply.Reason, cmp.Or(max(reply.RetryAfter, 0), coldRetryAfter))
		}
	case reply.ReadyIn > 0 && !ready:
		l.readyAt = now.Add(reply.ReadyIn)
		l.refuseLate(now, &a)
	}
	return a
}

// refuseLate refuses those who give up before the load is expected to end.
func (l *line) refuseLate(now time.Time, a *act) {
	l.refuseWhere(a, func(w *waiter) (admit.Reason, string, time.Duration, bool) {
		if !w.due.Before(l.readyAt) {
			return "", "", 0, false
		}
		return admit.ReasonTooLate, "the model will not be loaded before the deadline", l.readyAt.Sub(now), true
	})
}

func (l *line) refuseAll(a *act, reason admit.Reason, detail string, retryAfter time.Duration) {
	l.refuseWhere(a, func(*waiter) (admit.Reason, string, time.Duration, bool) {
		return reason, detail, retryAfter, true
	})
}

func (l *line) refuseWhere(a *act, judge func(*waiter) (admit.Reason, string, time.Duration, bool)) {
	var out []*waiter
	l.queue.each(func(w *waiter) {
		if _, _, _, refuse := judge(w); refuse {
			out = append(out, w)
		}
	})
	for _, w := range out {
		reason, detail, retryAfter, _ := judge(w)
		l.queue.remove(w)
		a.refuse(w, reason, detail, retryAfter)
	}
}

// wakeAt is the first deadline or the next demand, whichever comes first.
func (l *line) nextLook() time.Time {
	if l.queue.count == 0 {
		return time.Time{}
	}
	first, _ := l.queue.earliest()
	if !l.plain && !l.asking && l.askAt.Before(first) {
		return l.askAt
	}
	return first
}

// expectedWait estimates the wait of a newcomer: to the end of the load, or
// through the queue at the pace of the latest grants.
func (l *line) expectedWait(now time.Time, w *waiter) time.Duration {
	if !l.readyAt.IsZero() {
		return max(l.readyAt.Sub(now), 0)
	}
	return time.Duration(l.queue.ahead(w.req, w.due)) * l.interval
}

// idle tells that the line holds nothing worth keeping.
func (l *line) idle(now time.Time) bool {
	return l.queue.count == 0 && !l.asking && now.Sub(l.grantedAt) > lineIdle
}

func (l *line) retryAfter(now time.Time) time.Duration {
	if !l.readyAt.IsZero() {
		return cmp.Or(max(l.readyAt.Sub(now), 0), time.Second)
	}
	return cmp.Or(time.Duration(l.queue.count)*l.interval, time.Second)
}

func demandReason(reason string) admit.Reason {
	if reason == string(admit.ReasonLoadFailed) {
		return admit.ReasonLoadFailed
	}
	return admit.ReasonNoReplica
}
