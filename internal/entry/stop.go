package entry

import (
	"context"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// balancerDelay is how long an entry that is not ready still takes requests,
	// so that the balancer notices before anybody is refused.
	balancerDelay = 2 * time.Second
	// partsTimeout bounds the hand-over of shards and the last day row.
	partsTimeout = 15 * time.Second
	// drainPoll is how often a draining entry looks whether it is done.
	drainPoll = 50 * time.Millisecond
	// deferredRetryAfter is when those who still wait at the end may come back.
	deferredRetryAfter = time.Second
	// goodbye is how long the word that this entry has gone takes to spread.
	goodbye = time.Second
)

// StartDrain begins a graceful shutdown; Drained tells when it is over.
//
// First the entry says that it is not ready, and the balancer sends nobody any
// more. Then its shards are handed over, while requests go on: they need the
// routing table, not the ownership. Once every request has its answer, or the
// time for that is up, the last day row is written and the others are told.
func (e *Entry) StartDrain() {
	e.drain.Do(func() {
		e.stopping.Store(true)
		e.ready.Store(false)
		e.log.Info().Str("entry", e.self.ID).Int("inFlight", e.front.InFlight()).Msg("draining")
		e.setPhase(ports.MemberLeaving)
		go e.finish()
	})
}

// Drained is closed when a graceful shutdown is over.
func (e *Entry) Drained() <-chan struct{} {
	return e.drained
}

// Cut says how many requests a stop at this moment would cut.
func (e *Entry) Cut() int {
	return e.front.InFlight()
}

func (e *Entry) finish() {
	defer close(e.drained)
	deadline := e.timer.Now().Add(e.settings.Entry.DrainTimeout)
	if !e.sleep(e.ctx, balancerDelay) {
		return
	}
	e.front.Drain()
	e.queues.Drain()
	e.parts.toShards(owner.StopAsked{})
	e.finishRequests(deadline)
	e.parts.writer.Post(daily.StopAsked{})
	e.finishParts()
	e.setPhase(ports.MemberGone)
	e.sleep(e.ctx, goodbye)
}

// finishRequests waits until every request has its answer. Those who still wait
// for a replica at the deadline are refused, which is true to them: nothing ran.
func (e *Entry) finishRequests(deadline time.Time) {
	for e.front.InFlight() > 0 || e.claims.Unwritten() > 0 {
		if e.timer.Now().After(deadline) {
			e.queues.RefuseWaiting(deferredRetryAfter)
			e.log.Warn().Int("inFlight", e.front.InFlight()).Msg("the time to drain is up")
			return
		}
		if !e.sleep(e.ctx, drainPoll) {
			return
		}
	}
}

func (e *Entry) finishParts() {
	ctx, cancel := context.WithTimeout(e.ctx, partsTimeout)
	defer cancel()
	select {
	case <-e.parts.stopped.done:
	case <-ctx.Done():
		e.log.Warn().Str("step", "handOver").Msg("not everything was handed over in time")
	}
}

// tellFree tells the zone's entries that a shard is free, so that they need not
// wait for their next look.
func (e *Entry) tellFree(shard int) {
	e.tellZone(ports.HandOver{Shards: []int{shard}, From: e.self.ID}, alive)
}
