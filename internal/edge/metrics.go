package edge

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/transport/meter"
	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform"
)

// MetricsPath is the path at which metrics are served.
const MetricsPath = "/metrics"

// instanceMetrics counts what the parts of an instance do. Its meter is created after the
// instance has begun to serve, since that takes some time; earlier events are not
// counted.
type instanceMetrics struct {
	meter atomic.Pointer[meter.Meter]
	log   *log.Logger
	// storeCalls is the number of calls to the store.
	storeCalls atomic.Int64
}

// start creates the meter and serves it at an address, with more handlers by their paths.
func (m *instanceMetrics) start(ctx context.Context, instance, zone string, s *controlServer, at netip.AddrPort, more map[string]http.HandlerFunc) error {
	mt, err := meter.New(instance, zone)
	if err != nil {
		return trace.Wrap(err, "create the meter")
	}
	m.meter.Store(mt)
	mux := http.NewServeMux()
	metrics := mt.Handler()
	mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, r *http.Request) {
		if chargeAnswer(w, r, metricsAnswerCost) {
			metrics.ServeHTTP(w, r)
		}
	})
	for path, handler := range more {
		mux.Handle(path, handler)
	}
	return s.start(ctx, at.String(), mux, m.log)
}

// requestEnded counts a finished request.
func (m *instanceMetrics) requestEnded(e proxy.Ended) {
	mt := m.meter.Load()
	if mt == nil || e.Service == "" {
		return
	}
	// The tenant label holds the route, which stands for the callers that use it.
	call := meter.Call{Service: e.Service, Tenant: e.Route, Class: config.Class(e.Kind.String())}
	mt.QueueWait(call, e.Waited)
	if e.Status >= http.StatusOK && e.Status < http.StatusMultipleChoices && e.Reason == proxy.ReasonAnswered {
		mt.FirstToken(call, e.Began)
		mt.Served(call)
		return
	}
	mt.Refused(call, e.Reason, e.NotRun)
}

// storeCallEnded counts a finished call to the store by its kind and the purpose of its
// key.
func (m *instanceMetrics) storeCallEnded(kind, key string, status ports.KVStatus) {
	m.storeCalls.Add(1)
	if mt := m.meter.Load(); mt != nil {
		mt.KVCall(kind+" "+keyPurpose(key), status)
	}
}

// keyPurpose returns the label for what a key of the store is used for.
func keyPurpose(key string) string {
	switch {
	case key == platform.ConfigKey:
		return "configuration"
	case key == configCopyKey:
		return "copy"
	case strings.HasPrefix(key, platform.TargetPrefix):
		return "targets"
	case strings.HasPrefix(key, elect.Prefix):
		return "holder"
	}
	return "lease"
}

// limitsChanged records the number of rate limits in force.
func (m *instanceMetrics) limitsChanged(n int) {
	if mt := m.meter.Load(); mt != nil {
		mt.Limits(n)
	}
}

// quotaUsed adds an amount of a team's quota by what became of it.
func (m *instanceMetrics) quotaUsed(team, outcome string, amount float64) {
	if mt := m.meter.Load(); mt != nil {
		mt.Quota(team, outcome, amount)
	}
}

// quotaLevels records the levels of the teams' buckets at the holder.
func (m *instanceMetrics) quotaLevels(levels map[string]float64) {
	if mt := m.meter.Load(); mt != nil {
		for team, level := range levels {
			mt.QuotaLevel(team, level)
		}
	}
}

// targetEnded counts a target that has ended unplanned.
func (m *instanceMetrics) targetEnded(service string) {
	if mt := m.meter.Load(); mt != nil {
		mt.TargetEnd(service)
	}
}

// blocksChanged records the number of blocks of prompt parts in force.
func (m *instanceMetrics) blocksChanged(n int) {
	if mt := m.meter.Load(); mt != nil {
		mt.Blocks(n)
	}
}

// proofAged records the age of the proof that the active configuration is the newest.
func (m *instanceMetrics) proofAged(age time.Duration) {
	if mt := m.meter.Load(); mt != nil {
		mt.ProofAge(age)
	}
}

// memoryUsed records the bytes held by use, the connections by state and the refusals by
// reason since the last call.
func (m *instanceMetrics) memoryUsed(bytes map[string]int64, conns map[string]int, refused map[string]int64) {
	mt := m.meter.Load()
	if mt == nil {
		return
	}
	for use, n := range bytes {
		mt.HeldBytes(use, n)
	}
	for state, n := range conns {
		mt.Connections(state, n)
	}
	for reason, n := range refused {
		mt.RefusedConnections(reason, n)
	}
}

// controlPortUsed records the bytes and connections of a port for others than callers, and
// its refusals since the last call.
func (m *instanceMetrics) controlPortUsed(s *controlServer) {
	held, conns, refused := s.observe()
	mt := m.meter.Load()
	if mt == nil {
		return
	}
	mt.PortBytes(s.port, held)
	for state, n := range conns {
		mt.PortConnections(s.port, state, n)
	}
	for reason, n := range refused {
		mt.PortRefused(s.port, reason, n)
	}
}

// orderEnded counts a finished order by its result, and one to load a model by its tier.
func (m *instanceMetrics) orderEnded(a sched.Action, result platform.OrderResult, c orderCheck) {
	mt := m.meter.Load()
	if mt == nil {
		return
	}
	mt.Order(result.String(), c.result.String())
	if c.result == checkPassed {
		mt.OrderTermLeft(c.termLeft)
	}
	if a.Operation == sched.Load && a.Adapter == "" {
		mt.Load(a.Model, toTier(a.Tier), result == platform.OrderTaken)
	}
}

// storeRestored counts that the store has come back from an older copy.
func (m *instanceMetrics) storeRestored() {
	if mt := m.meter.Load(); mt != nil {
		mt.StoreRestored()
	}
}

// outdatedIgnored counts what a feed has brought that was ignored as older than what is known.
func (m *instanceMetrics) outdatedIgnored(feed string, count int) {
	if mt := m.meter.Load(); mt != nil {
		mt.OutdatedIgnored(feed, count)
	}
}

// configActivated records the version of the active configuration and where it came from.
func (m *instanceMetrics) configActivated(version int64, from origin) {
	if mt := m.meter.Load(); mt != nil {
		mt.ConfigActivated(version, string(from))
	}
}

// termEnded counts the end of a term as the holder.
func (m *instanceMetrics) termEnded(why elect.EndReason) {
	if mt := m.meter.Load(); mt != nil {
		mt.TermEnd(why.String())
	}
}

func toTier(t sched.Tier) ports.Tier {
	switch t {
	case sched.TierMemory:
		return ports.TierMemory
	case sched.TierDisk:
		return ports.TierDisk
	case sched.TierStore:
	}
	return ports.TierRemote
}
