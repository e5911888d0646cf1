package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// senderRecord is what gossip showed of a former owner when it was first looked up in
// this term: its beat, or that it is unknown.
type senderRecord struct {
	beat    uint64
	at      time.Time
	unknown bool
}

// trackSenders looks up the former owners named in the plan, to determine later when they
// must have noticed that they were replaced.
func (s *Shard) trackSenders() {
	if s.stage != stageOwned {
		return
	}
	for _, t := range s.targets {
		for _, r := range t.replicas {
			s.trackAll(r.Unresolved)
			for _, a := range r.adapters {
				s.trackAll(a.Unresolved)
			}
		}
	}
}

func (s *Shard) trackAll(senders []place.Sender) {
	for _, sender := range senders {
		s.trackSender(sender)
	}
}

func (s *Shard) trackSender(sender place.Sender) {
	if s.isSelf(sender) {
		return
	}
	key := senderKey(sender)
	m, ok := s.members[sender.Instance]
	before, known := s.senders[key]
	if !known || before.unknown != !ok {
		s.senders[key] = senderRecord{beat: m.Beat, at: s.now, unknown: !ok}
	}
}

func senderKey(sender place.Sender) string {
	return fmt.Sprintf("%s/%d", sender.Instance, sender.Incarnation)
}

// isSenderGone reports whether a former owner's process has ended, or has run for long
// enough since the takeover that its own check of the lease stopped every order. A silent
// one may be paused between the check and the send.
func (s *Shard) isSenderGone(sender place.Sender) bool {
	m, ok := s.members[sender.Instance]
	if sender.Instance == s.settings.Self.ID {
		return sender.Incarnation < s.settings.Self.Incarnation
	}
	h, known := s.senders[senderKey(sender)]
	if !ok {
		// Membership keeps every entry that is on the instance list, silent or not.
		return known && h.unknown && s.now.Sub(h.at) >= s.settings.GoneDelay
	}
	if m.Incarnation > sender.Incarnation || m.Phase == ports.MemberGone {
		return true
	}
	if !known || h.unknown || m.Incarnation != sender.Incarnation || m.Phase == ports.MemberSilent {
		return false
	}
	return m.Beat > h.beat+1 && s.now.Sub(h.at) >= s.settings.MaxOrderTransit
}
