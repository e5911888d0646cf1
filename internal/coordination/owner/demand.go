package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// demandAnswerTimeout is the maximum time for which a demand waits for a decision. After
// that the answer is that the load is queued.
const demandAnswerTimeout = time.Second

// queueDelayEstimate is added to the load time of a load that has not started yet.
const queueDelayEstimate = 2 * time.Second

func (s *Shard) answerDemands() {
	var left []pendingDemand
	for _, a := range s.pendingDemands {
		reply, ok := s.demandReply(a)
		if !ok {
			left = append(left, a)
			continue
		}
		s.notify(DemandAnswered{ID: a.id, Reply: reply})
	}
	s.pendingDemands = left
}

// demandReply returns the current answer to a demand, or false if a decision is imminent.
func (s *Shard) demandReply(a pendingDemand) (ports.DemandReply, bool) {
	if s.stage != stageOwned || s.ownership.superseded {
		return ports.DemandReply{Status: ports.DemandElsewhere, Hint: s.gossipedOwner()}, true
	}
	if s.config == nil {
		return s.queuedOrPending(a, "no configuration received yet", defaultLoadTime)
	}
	if reason := s.unservableReason(a.model, a.adapter); reason != "" {
		return ports.DemandReply{Status: ports.DemandRefused, Reason: reason}, true
	}
	m := s.model(a.model)
	if s.mustGrowElsewhere(m) {
		return ports.DemandReply{Status: ports.DemandQueued, Reason: m.refusal, ReadyIn: s.loadTime(m.name) + queueDelayEstimate}, true
	}
	if in, ok := s.readyIn(m.name); ok {
		return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: in}, true
	}
	if wait := m.retryAt.Sub(s.now); wait > 0 {
		return ports.DemandReply{Status: ports.DemandRefused, Reason: "load failed: " + m.failReason, RetryAfter: wait}, true
	}
	if rc := s.permits.recalls[m.name]; rc != nil && rc.pausedUntil.After(s.now) && s.availablePermits(m.name) < 1 {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "all permits of the model are held by other shards", Hint: rc.hint}, true
	}
	if !s.couldFit(m.name) {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "no target of the shard has enough memory for the model"}, true
	}
	if m.refusal != "" && m.refusedAt.Equal(s.now) && !s.awaitsFirstReport() {
		// Another shard may have room; the sender need not wait before it tries one.
		return ports.DemandReply{Status: ports.DemandQueued, Reason: m.refusal, ReadyIn: s.loadTime(m.name) + queueDelayEstimate}, true
	}
	return s.queuedOrPending(a, m.refusal, s.loadTime(m.name)+queueDelayEstimate)
}

// couldFit reports whether some target of the shard could hold the model if it were
// empty. A target that has not reported yet counts as large enough.
func (s *Shard) couldFit(name string) bool {
	need := s.config.Models[name].MemoryBytes
	for _, t := range s.targets {
		if t.listed && !t.draining && !t.isLeaving() && (t.state == nil || t.state.MemoryBytes >= need) {
			return true
		}
	}
	return false
}

func (s *Shard) queuedOrPending(a pendingDemand, reason string, in time.Duration) (ports.DemandReply, bool) {
	if s.now.Sub(a.at) < demandAnswerTimeout {
		return ports.DemandReply{}, false
	}
	return ports.DemandReply{Status: ports.DemandQueued, Reason: reason, ReadyIn: in}, true
}

// unservableReason returns why this configuration allows no replica of the model, or an
// empty string.
func (s *Shard) unservableReason(name, adapterName string) string {
	if _, known := s.config.Models[name]; !known {
		return fmt.Sprintf("unknown model %q", name)
	}
	if s.maxPermits(name) == 0 {
		return fmt.Sprintf("the rule of model %q allows no replica", name)
	}
	if a, known := s.config.Adapters[adapterName]; adapterName != "" && (!known || a.Model != name) {
		return fmt.Sprintf("unknown adapter %q of model %q", adapterName, name)
	}
	return ""
}

// readyIn estimates when a replica accepts requests, if one is loaded or its load is
// written.
func (s *Shard) readyIn(name string) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, t := range s.targets {
		if t.isLeaving() {
			continue
		}
		for _, r := range t.replicas {
			if r.Model != name || r.Phase == place.PhaseUnloading || (!r.sent && r.seen == nil && !s.isWritten(r.seq)) {
				continue
			}
			if in := s.replicaReadyIn(r); !found || in < best {
				best, found = in, true
			}
		}
	}
	return best, found
}

func (s *Shard) replicaReadyIn(r *replica) time.Duration {
	if r.isReady() {
		return 0
	}
	in := s.loadTime(r.Model)
	if r.FromStore {
		in = s.fetchTime(r.Model)
	}
	return max(in-s.now.Sub(r.decidedAt), minReadyIn)
}

// minReadyIn is the estimate for a load that has taken longer than expected.
const minReadyIn = 500 * time.Millisecond
