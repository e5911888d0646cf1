package meter

import (
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// scope names the instruments' origin.
const scope = "chivecroft.example/chivecroft/internal/transport/meter"

// create makes the instruments and returns all errors together.
func (m *Meter) create() error {
	c := creator{meter: m.provider.Meter(scope)}
	m.queueWait = c.histogram("chivecroft.queue.wait.duration", "Time that a request waited at the entry before it was sent.", waitBuckets)
	m.coldStart = c.histogram("chivecroft.cold_start.duration", "Time that a caller waited for a model to load.", waitBuckets)
	m.firstToken = c.histogram("gen_ai.server.time_to_first_token", "Time from a request to the first token of its answer.", waitBuckets)
	m.tokenGap = c.histogram("gen_ai.server.time_per_output_token", "Time between two tokens of an answer.", tokenBuckets)
	m.requests = c.counter("chivecroft.requests.served", "{request}", "Whole answers.")
	m.refusals = c.counter("chivecroft.requests.refused", "{request}", "Refusals by reason.")
	m.kvCalls = c.counter("chivecroft.kv.calls", "{call}", "Calls of the key-value service.")
	m.control = c.counter("chivecroft.control.io", "By", "Control traffic between instances.")
	m.link = c.counter("chivecroft.link.io", "By", "Traffic with another region on connections that this entry opened, and with the platform.")
	m.loads = c.counter("chivecroft.loads", "{load}", "Ended loads of models.")
	m.orders = c.counter("chivecroft.orders", "{order}", "Ended orders to targets by result, and by what the check before their write has found.")
	m.orderTermLeft = c.histogram("chivecroft.order.term_left", "Time from the check of an order to the end of its sender's term, as it was known then.", termBuckets)
	m.termEnds = c.counter("chivecroft.term.ends", "{term}", "Terms as the lease holder that have ended, by reason.")
	m.restores = c.counter("chivecroft.kv.restores", "{restore}", "Times that the store came back from an older copy, as the election has seen it.")
	m.idle = c.floatCounter("chivecroft.accelerator.idle.time", "s", "Time for which accelerators were held by idle replicas.")
	m.targetEnds = c.counter("chivecroft.target.ends", "{target}", "Targets that ended unplanned with requests in flight.")
	m.blocks = c.gauge("chivecroft.prompt.blocks", "{block}", "Blocks of prompt parts that crash targets.")
	m.outdated = c.counter("chivecroft.outdated", "{change}", "Changes that were ignored as older than what the instance has, by feed.")
	m.activated = c.counter("chivecroft.config.activations", "{configuration}", "Configurations that became active, by where they came from.")
	m.version = c.gauge("chivecroft.config.version", "", "Version of the active configuration.")
	m.limits = c.gauge("chivecroft.target.limits", "{target}", "Targets with a rate limit in force.")
	m.proofAge = c.floatGauge("chivecroft.config.proof.age", "s", "Time since the active configuration was known to be the newest.")
	m.quota = c.floatCounter("chivecroft.quota.amount", "{unit}", "Amounts of teams' quotas by what became of them.")
	m.quotaLevel = c.floatGauge("chivecroft.quota.level", "{unit}", "Level of each team's bucket at the lease holder.")
	m.heldBytes = c.gauge("chivecroft.memory.held", "By", "Bytes held for callers by use.")
	m.connections = c.gauge("chivecroft.caller.connections", "{connection}", "Connections of callers by state.")
	m.refusedConnections = c.counter("chivecroft.caller.connections.refused", "{connection}", "Connections and heads of requests that were refused, by reason.")
	m.portBytes = c.gauge("chivecroft.port.memory.held", "By", "Bytes held at the ports for others than callers.")
	m.portConnections = c.gauge("chivecroft.port.connections", "{connection}", "Connections of the ports for others than callers by port and state.")
	m.portRefused = c.counter("chivecroft.port.refused", "{refusal}", "Connections, heads and messages that the ports for others than callers have refused, by port and reason.")
	return trace.NewAggregate(c.errs...)
}

// creator collects the errors of making instruments.
type creator struct {
	meter metric.Meter
	errs  []error
}

func (c *creator) histogram(name, description string, buckets []float64) metric.Float64Histogram {
	h, err := c.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(buckets...))
	c.errs = append(c.errs, err)
	return h
}

func (c *creator) counter(name, unit, description string) metric.Int64Counter {
	n, err := c.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	c.errs = append(c.errs, err)
	return n
}

func (c *creator) gauge(name, unit, description string) metric.Int64Gauge {
	n, err := c.meter.Int64Gauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	c.errs = append(c.errs, err)
	return n
}

func (c *creator) floatCounter(name, unit, description string) metric.Float64Counter {
	n, err := c.meter.Float64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	c.errs = append(c.errs, err)
	return n
}

func (c *creator) floatGauge(name, unit, description string) metric.Float64Gauge {
	n, err := c.meter.Float64Gauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	c.errs = append(c.errs, err)
	return n
}

func resourceOf(instance, zone string) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "chivecroft"),
		attribute.String("service.instance.id", instance),
		attribute.String("cloud.availability_zone", zone),
	)
}
