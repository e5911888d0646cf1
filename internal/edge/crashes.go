package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/relay"
)

// proofSlack is added to the interval of messages for the time in which an instance that
// is asked for proofs has answered.
const proofSlack = 300 * time.Millisecond

// judgeCrashes applies what an instance reports of crashes, blocks the parts of prompts
// that explain them, and returns what the instance lacks.
func (k *coordinator) judgeCrashes(now time.Time, m exchangeRequest, senders int) crash.Reply {
	report := m.Crashes
	if report == nil {
		report = &crash.Report{}
	}
	k.crashes.Report(now, report)
	if !k.crashes.IsIdle() {
		answerTime := k.answerTime(senders)
		for _, b := range k.crashes.Judge(now, answerTime, k.countTargets) {
			k.log.Warn().Str("parts", b.Parts).Str("service", b.Service).Str("scope", string(b.Scope)).
				Int("ends", b.Ends).Msg("block decided")
		}
	}
	return k.crashes.Reply(now, report, m.Term == k.term())
}

// answerTime is the time in which all instances have been asked for proofs and have
// replied. Relays pass the question on, the replies come directly.
func (k *coordinator) answerTime(senders int) time.Duration {
	direct := exchangeInterval + relay.Spread(senders) + proofSlack
	if k.tree.IsEmpty() {
		return direct
	}
	return direct + relay.MaxRelayAge
}

// countTargets returns the number of targets of a service.
func (k *coordinator) countTargets(service string) int {
	n := 0
	for _, r := range k.targets {
		if r.Service == service {
			n++
		}
	}
	return n
}
