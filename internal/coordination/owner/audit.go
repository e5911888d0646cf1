package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// auditSpread keeps the audits of shards that are taken over together apart.
	auditSpread = 2 * time.Second
	// auditRetry is the wait after an audit's read failed.
	auditRetry = 2 * time.Second
)

// auditLedgers reads all ledgers once after a takeover. Where they grant this
// shard more than it holds, which a crash between the two writes of a grant or
// a release leaves behind, or have another maximum than the configuration, the
// resource is reviewed.
func (s *Shard) auditLedgers(after string) {
	s.kv(ports.KVList{Prefix: ledgerPrefix, After: after}, func(r ports.KVReply) {
		if r.Status != ports.KVOK || s.config == nil {
			s.after(auditRetry+s.jitter(auditRetry), s.sameTenure(func() { s.auditLedgers(after) }))
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
		s.happened(KindDamaged, item.Key, "%v", err)
		return
	}
	s.heedEpochs(ledger)
	for resource, r := range ledger.Resources {
		grant := r.Grants[s.name()]
		if grant == 0 && s.permits.held[resource] == 0 {
			continue
		}
		if grant > s.atMost(resource) || r.Max != s.maximum(resource) || r.Granted() > r.Max {
			s.permits.limits[resource] = true
		}
	}
}
