package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// answerWithin bounds the wait of an ask for a decision; after that it is told
// that the load is queued.
const answerWithin = time.Second

// queuedEstimate is added to a load's time for a load that waits for its turn.
const queuedEstimate = 2 * time.Second

func (s *Shard) answerDemands() {
	var left []ask
	for _, a := range s.asks {
		reply, ok := s.answer(a)
		if !ok {
			left = append(left, a)
			continue
		}
		s.note(DemandAnswered{ID: a.id, Reply: reply})
	}
	s.asks = left
}

// answer is what can be said of a model now, or false if a decision is near.
func (s *Shard) answer(a ask) (ports.DemandReply, bool) {
	if s.stage != stageOwned || s.session.superseded {
		return ports.DemandReply{Status: ports.DemandElsewhere, Hint: s.gossipedOwner()}, true
	}
	if s.config == nil {
		return s.queuedOrWait(a, "no configuration yet", defaultLoadTime)
	}
	if reason := s.unservable(a.model, a.adapter); reason != "" {
		return ports.DemandReply{Status: ports.DemandRefused, Reason: reason}, true
	}
	m := s.model(a.model)
	if s.growsElsewhere(m) {
		return ports.DemandReply{Status: ports.DemandQueued, Reason: m.refused, ReadyIn: s.loadTime(m.name) + queuedEstimate}, true
	}
	if in, ok := s.readyIn(m.name); ok {
		return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: in}, true
	}
	if wait := m.retryAt.Sub(s.now); wait > 0 {
		return ports.DemandReply{Status: ports.DemandRefused, Reason: "load failed: " + m.reason, RetryAfter: wait}, true
	}
	if rc := s.permits.recalls[m.name]; rc != nil && rc.emptyUntil.After(s.now) && s.available(m.name) < 1 {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "all replicas that the model may have are held elsewhere", Hint: rc.hint}, true
	}
	if !s.couldHold(m.name) {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "no target of the shard is large enough for the model"}, true
	}
	if m.refused != "" && m.refusedAt.Equal(s.now) && !s.hasUnseen() {
		// Another shard may have a place; the asker need not wait to try it.
		return ports.DemandReply{Status: ports.DemandQueued, Reason: m.refused, ReadyIn: s.loadTime(m.name) + queuedEstimate}, true
	}
	return s.queuedOrWait(a, m.refused, s.loadTime(m.name)+queuedEstimate)
}

// couldHold tells whether some target of the shard could hold the model if it
// were empty; a target that has not reported yet might.
func (s *Shard) couldHold(name string) bool {
	need := s.config.Models[name].MemoryBytes
	for _, t := range s.targets {
		if t.listed && !t.draining && !t.isLeaving() && (t.state == nil || t.state.MemoryBytes >= need) {
			return true
		}
	}
	return false
}

func (s *Shard) queuedOrWait(a ask, reason string, in time.Duration) (ports.DemandReply, bool) {
	if s.now.Sub(a.at) < answerWithin {
		return ports.DemandReply{}, false
	}
	return ports.DemandReply{Status: ports.DemandQueued, Reason: reason, ReadyIn: in}, true
}

// unservable says why no replica of the model can ever come under this configuration.
func (s *Shard) unservable(name, adapterName string) string {
	if _, known := s.config.Models[name]; !known {
		return fmt.Sprintf("unknown model %q", name)
	}
	if s.maximum(name) == 0 {
		return fmt.Sprintf("the rule of model %q allows no replica", name)
	}
	if a, known := s.config.Adapters[adapterName]; adapterName != "" && (!known || a.Model != name) {
		return fmt.Sprintf("unknown adapter %q of model %q", adapterName, name)
	}
	return ""
}

// readyIn estimates when a replica takes requests, if one is loaded or its load
// is written.
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
