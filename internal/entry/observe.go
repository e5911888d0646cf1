package entry

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/meter"
)

func (e *Entry) frontDeps() front.Deps {
	return front.Deps{
		Config:   e.config,
		Table:    e.table,
		Room:     e.queues,
		Limits:   e.limits,
		Claims:   e.claims,
		Engine:   e.watchedEngines(),
		Services: e.services,
		Timer:    e.timer,
		Link:     e.link,
		Arrive:   e.arrive,
		Observe:  e.observe,
		Bounds: front.Bounds{
			ChatBytes:          e.settings.Requests.ChatBytes,
			OnceBytes:          e.settings.Requests.OnceBytes,
			Deadline:           e.settings.Requests.Deadline,
			DeferrableDeadline: e.settings.Requests.DeferrableDeadline,
			MaxDeadline:        e.settings.Requests.MaxDeadline,
			InFlight:           e.settings.Requests.InFlight,
		},
	}
}

// arrive counts a request for the day page.
func (e *Entry) arrive(service string, class config.Class) {
	e.recorder.Arrived(service, class)
	e.telling.Arrived()
}

// observe counts the outcome of a request for the day page and the metrics, and
// waits until it is kept outside of this instance.
func (e *Entry) observe(o front.Outcome) {
	call := meter.Call{Service: o.Service, Tenant: o.Tenant, Class: o.Class}
	switch o.Status {
	case front.StatusServed:
		e.recorder.Served(o.Service, o.Class)
		e.meter.Served(call)
	case front.StatusCancelled:
		e.recorder.Abandoned(o.Service, o.Class)
	default:
		e.recorder.Refused(o.Service, o.Class, string(o.Reason), o.NotRun)
		e.meter.Refused(call, string(o.Reason), o.NotRun)
	}
	if o.Cold {
		e.recorder.ColdStart(o.Model, o.QueueWait)
		e.meter.ColdStart(call, o.Model, o.QueueWait)
	}
	if o.Claim != "" {
		e.recorder.RunOnce(o.Service, o.Claim)
	}
	e.meter.QueueWait(call, o.QueueWait)
	if o.FirstToken > 0 {
		e.meter.FirstToken(call, o.FirstToken)
	}
	e.observeGaps(call, o.Gaps)
	e.log.Debug().Str("requestId", o.RequestID).Str("tenant", o.Tenant).Str("model", o.Model).
		Str("service", o.Service).Str("status", string(o.Status)).Str("reason", string(o.Reason)).
		Dur("elapsed", o.Elapsed).Dur("queueWait", o.QueueWait).Msg("request")
	e.telling.Ended()
}

// observeGaps records the gaps between tokens at the bounds of their buckets.
func (e *Entry) observeGaps(call meter.Call, gaps front.Gaps) {
	for i, count := range gaps.Buckets {
		bound := gaps.Max
		if i < len(front.GapBounds) {
			bound = min(front.GapBounds[i], gaps.Max)
		}
		for range count {
			e.meter.TokenGap(call, bound)
		}
	}
}

// countedKV counts the calls of the KV service by what they ask and how they end.
type countedKV struct {
	kv    ports.KV
	meter *meter.Meter
}

// Call carries out one request.
func (c countedKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	c.kv.Call(req, func(reply ports.KVReply) {
		c.meter.KVCall(operation(req), reply.Status)
		done(reply)
	})
}

func operation(req ports.KVRequest) string {
	switch req.(type) {
	case ports.KVGet:
		return "get"
	case ports.KVList:
		return "list"
	case ports.KVPut:
		return "put"
	case ports.KVDelete:
		return "delete"
	case ports.KVWatch:
		return "watch"
	case ports.KVGrant:
		return "grant"
	case ports.KVRenew:
		return "renew"
	case ports.KVRevoke:
		return "revoke"
	}
	return "other"
}
