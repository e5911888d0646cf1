package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// auditJitter spreads the audits of shards that are taken over at the same time.
	auditJitter = 2 * time.Second
	// auditRetryDelay is the delay after a failed read.
	auditRetryDelay = 2 * time.Second
)

// auditLedgers reads all ledgers once after a takeover. It marks the resources of which a
// ledger grants this shard more than it holds, which a crash between the two writes of a
// grant or a release leaves behind, and those with another maximum than the
// configuration.
func (s *Shard) auditLedgers(after string) {
	s.kv(ports.KVList{Prefix: ledgerPrefix, After: after}, func(r ports.KVReply) {
		if r.Status != ports.KVOK || s.config == nil {
			s.after(auditRetryDelay+s.jitter(auditRetryDelay), s.ifSameTerm(func() { s.auditLedgers(after) }))
			return
		}
		for _, item := range r.Items {
			s.auditLedger(item)
			after = item.Key
		}
		if r.More {
			s.auditLedgers(after)
		}
	})
}

func (s *Shard) auditLedger(item ports.Item) {
	ledger, err := permit.Decode(item.Value)
	if err != nil {
		s.report(KindDamaged, item.Key, "%v", err)
		return
	}
	s.checkLedgerEpochs(ledger)
	for resource, r := range ledger.Resources {
		grant := r.Grants[s.ledgerName()]
		if grant == 0 && s.permits.held[resource] == 0 {
			continue
		}
		if grant > s.maxHeldPermits(resource) || r.Max != s.maxPermits(resource) || r.Granted() > r.Max {
			s.permits.limitsToCheck[resource] = true
		}
	}
}
