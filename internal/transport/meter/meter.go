package meter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/shard"
)

// Defaults of the bounds on label values.
const (
	defaultTenants = 50
	defaultModels  = 100
	defaultReasons = 30
	maxServices    = 50
	maxRegions     = 20
)

// Bounds of the histograms' buckets in seconds.
var (
	waitBuckets  = []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2, 5, 10, 20, 40, 80, 160}
	termBuckets  = []float64{0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.85, 1, 1.5}
	tokenBuckets = []float64{0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 0.5, 1, 2.5}
)

// Option changes a Meter under construction.
type Option func(*settings)

type settings struct{ tenants, models int }

// WithTenants bounds the tenants that have series of their own.
func WithTenants(n int) Option {
	return func(s *settings) { s.tenants = n }
}

// WithModels bounds the models that have series of their own.
func WithModels(n int) Option {
	return func(s *settings) { s.models = n }
}

// Call is whom a request is for; the labels of most metrics come from it.
type Call struct {
	Service string
	Tenant  string
	Class   config.Class
}

// Meter records metrics; it is safe for concurrent use.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	services *labels
	tenants  *labels
	models   *labels
	reasons  *labels
	// operations and messages are few, but come from callers of this package.
	operations, messages *labels
	regions              *labels
	// calls holds the attributes of the calls whose labels are their own, since
	// to sort and hash them anew for every token costs more than to count.
	calls *shard.Map[Call, metric.MeasurementOption]

	queueWait  metric.Float64Histogram
	coldStart  metric.Float64Histogram
	firstToken metric.Float64Histogram
	tokenGap   metric.Float64Histogram
	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	kvCalls    metric.Int64Counter
	control    metric.Int64Counter
	link       metric.Int64Counter
	loads      metric.Int64Counter
	orders     metric.Int64Counter
	termEnds   metric.Int64Counter
	restores   metric.Int64Counter
	outdated   metric.Int64Counter
	activated  metric.Int64Counter
	version    metric.Int64Gauge
	idle       metric.Float64Counter
	limits     metric.Int64Gauge
	targetEnds metric.Int64Counter
	blocks     metric.Int64Gauge
	proofAge   metric.Float64Gauge
	quota      metric.Float64Counter
	quotaLevel metric.Float64Gauge

	orderTermLeft metric.Float64Histogram

	heldBytes          metric.Int64Gauge
	connections        metric.Int64Gauge
	refusedConnections metric.Int64Counter
	portBytes          metric.Int64Gauge
	portConnections    metric.Int64Gauge
	portRefused        metric.Int64Counter
}

// New returns a meter that marks its series with the instance and zone.
func New(instance, zone string, opts ...Option) (*Meter, error) {
	s := settings{tenants: defaultTenants, models: defaultModels}
	for _, opt := range opts {
		opt(&s)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err, "create metrics exporter of %s", instance)
	}
	m := &Meter{
		provider:   sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithResource(resourceOf(instance, zone))),
		handler:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		services:   newLabels(maxServices),
		tenants:    newLabels(s.tenants),
		models:     newLabels(s.models),
		reasons:    newLabels(defaultReasons),
		operations: newLabels(defaultReasons),
		messages:   newLabels(defaultReasons),
		regions:    newLabels(maxRegions),
		calls:      shard.NewMap[Call, metric.MeasurementOption](),
	}
	if err := m.create(); err != nil {
		return nil, trace.Wrap(err, "create metrics of %s", instance)
	}
	return m, nil
}

// Handler serves the metrics in the form of Prometheus.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close stops the meter.
func (m *Meter) Close(ctx context.Context) error {
	return trace.Wrap(m.provider.Shutdown(ctx), "stop metrics")
}

// QueueWait records how long a request waited at the entry before it was sent.
func (m *Meter) QueueWait(c Call, d time.Duration) {
	m.queueWait.Record(context.Background(), d.Seconds(), m.call(c))
}

// ColdStart records how long a caller waited for a model to load.
func (m *Meter) ColdStart(c Call, model string, d time.Duration) {
	m.coldStart.Record(context.Background(), d.Seconds(), m.call(c), metric.WithAttributes(m.model(model)))
}

// FirstToken records the time from a request to the first token of its answer.
func (m *Meter) FirstToken(c Call, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.call(c))
}

// TokenGap records the time between two tokens of an answer.
func (m *Meter) TokenGap(c Call, d time.Duration) {
	m.tokenGap.Record(context.Background(), d.Seconds(), m.call(c))
}

// Served counts a whole answer.
func (m *Meter) Served(c Call) {
	m.requests.Add(context.Background(), 1, m.call(c))
}

// Refused counts a refusal.
func (m *Meter) Refused(c Call, reason string, notRun bool) {
	m.refusals.Add(context.Background(), 1, m.call(c), metric.WithAttributes(
		attribute.String("error.type", m.reasons.admit(reason)),
		attribute.String("chivecroft.not_run", strconv.FormatBool(notRun)),
	))
}

// KVCall counts a call of the KV service by what it asked and how it ended.
func (m *Meter) KVCall(operation string, status ports.KVStatus) {
	m.kvCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("db.operation.name", m.operations.admit(operation)),
		attribute.String("db.response.status_code", status.String()),
	))
}

// ControlBytes counts bytes of control traffic by kind of message and direction.
func (m *Meter) ControlBytes(kind string, sent bool, n int) {
	m.control.Add(context.Background(), int64(n), metric.WithAttributes(
		attribute.String("chivecroft.message", m.messages.admit(kind)),
		direction(sent),
	))
}

// LinkBytes counts bytes that went to or came from another region, by kind of
// traffic and direction.
func (m *Meter) LinkBytes(region, kind string, sent bool, n int) {
	m.link.Add(context.Background(), int64(n), metric.WithAttributes(
		attribute.String("chivecroft.region", m.regions.admit(region)),
		attribute.String("chivecroft.kind", m.messages.admit(kind)),
		direction(sent),
	))
}

func direction(sent bool) attribute.KeyValue {
	if sent {
		return attribute.String("network.io.direction", "transmit")
	}
	return attribute.String("network.io.direction", "receive")
}

// Load counts an ended load of a model.
func (m *Meter) Load(model string, tier ports.Tier, ok bool) {
	m.loads.Add(context.Background(), 1, metric.WithAttributes(
		m.model(model),
		attribute.String("chivecroft.tier", string(tier)),
		attribute.String("chivecroft.outcome", outcome(ok)),
	))
}

// Order counts an ended order to a target by its result and by what the check before its
// write has found.
func (m *Meter) Order(result, check string) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("chivecroft.result", result),
		attribute.String("chivecroft.check", check),
	))
}

// OrderTermLeft records the time from the check of an order to the end of its sender's term.
func (m *Meter) OrderTermLeft(d time.Duration) {
	m.orderTermLeft.Record(context.Background(), d.Seconds())
}

// TermEnd counts a term as the lease holder that has ended.
func (m *Meter) TermEnd(reason string) {
	m.termEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("chivecroft.reason", reason)))
}

// StoreRestored counts that the store has come back from an older copy.
func (m *Meter) StoreRestored() {
	m.restores.Add(context.Background(), 1)
}

// OutdatedIgnored adds to the changes of a feed that were ignored as older than what is known.
func (m *Meter) OutdatedIgnored(feed string, count int) {
	m.outdated.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("chivecroft.feed", feed)))
}

// ConfigActivated counts a configuration that has become active by its source, and records its version.
func (m *Meter) ConfigActivated(version int64, source string) {
	m.activated.Add(context.Background(), 1, metric.WithAttributes(attribute.String("chivecroft.source", source)))
	m.version.Record(context.Background(), version)
}

// IdleAccelerator adds to the time for which accelerators were held by idle replicas.
func (m *Meter) IdleAccelerator(model string, d time.Duration) {
	m.idle.Add(context.Background(), d.Seconds(), metric.WithAttributes(m.model(model)))
}

// Limits records for how many targets a rate limit is in force.
func (m *Meter) Limits(n int) {
	m.limits.Record(context.Background(), int64(n))
}

// TargetEnd counts a target that has ended unplanned.
func (m *Meter) TargetEnd(service string) {
	m.targetEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("chivecroft.service", m.services.admit(service))))
}

// Blocks records how many blocks of prompt parts are in force.
func (m *Meter) Blocks(n int) {
	m.blocks.Record(context.Background(), int64(n))
}

// ProofAge records how long ago the active configuration was known to be the newest.
func (m *Meter) ProofAge(age time.Duration) {
	m.proofAge.Record(context.Background(), age.Seconds())
}

// Quota adds an amount of a team's quota by what became of it.
func (m *Meter) Quota(team, outcome string, amount float64) {
	m.quota.Add(context.Background(), amount, metric.WithAttributes(m.team(team), attribute.String("chivecroft.outcome", outcome)))
}

// QuotaLevel records the level of a team's bucket at the lease holder, below 0 while
// permits are reserved.
func (m *Meter) QuotaLevel(team string, level float64) {
	m.quotaLevel.Record(context.Background(), level, metric.WithAttributes(m.team(team)))
}

func (m *Meter) team(name string) attribute.KeyValue {
	return attribute.String("chivecroft.team", m.tenants.admit(name))
}

func outcome(ok bool) string {
	if ok {
		return "loaded"
	}
	return "failed"
}

func (m *Meter) model(name string) attribute.KeyValue {
	return attribute.String("gen_ai.request.model", m.models.admit(name))
}

// call returns the attributes of a call.
func (m *Meter) call(c Call) metric.MeasurementOption {
	if option, ok := m.calls.Get(c); ok {
		return option
	}
	admitted := Call{Service: m.services.admit(c.Service), Tenant: m.tenants.admit(c.Tenant), Class: c.Class}
	option := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("chivecroft.service", admitted.Service),
		attribute.String("chivecroft.tenant", admitted.Tenant),
		attribute.String("chivecroft.class", string(admitted.Class)),
	))
	if admitted == c {
		m.calls.Put(c, option)
	}
	return option
}

// HeldBytes records the bytes that are held for callers for one use.
func (m *Meter) HeldBytes(use string, n int64) {
	m.heldBytes.Record(context.Background(), n, metric.WithAttributes(attribute.String("use", use)))
}

// Connections records the number of callers' connections in one state.
func (m *Meter) Connections(state string, n int) {
	m.connections.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("state", state)))
}

// RefusedConnections counts connections and heads of requests that were refused.
func (m *Meter) RefusedConnections(reason string, n int64) {
	m.refusedConnections.Add(context.Background(), n, metric.WithAttributes(attribute.String("error.type", reason)))
}

// PortBytes records the bytes that a port for others than callers holds.
func (m *Meter) PortBytes(port string, n int64) {
	m.portBytes.Record(context.Background(), n, metric.WithAttributes(attribute.String("port", port)))
}

// PortConnections records the connections of such a port in one state.
func (m *Meter) PortConnections(port, state string, n int) {
	m.portConnections.Record(context.Background(), int64(n),
		metric.WithAttributes(attribute.String("port", port), attribute.String("state", state)))
}

// PortRefused counts what such a port has refused.
func (m *Meter) PortRefused(port, reason string, n int64) {
	m.portRefused.Add(context.Background(), n,
		metric.WithAttributes(attribute.String("port", port), attribute.String("error.type", reason)))
}
