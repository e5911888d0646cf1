package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests, which decides whether a request may be retried.
type Kind uint8

// The kinds of requests.
const (
	// KindUnsafe requests are not idempotent and run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent and may be retried.
	KindSafe
	// KindStream requests get a stream of events as their response. They may be retried
	// only if the route is resumable.
	KindStream
)

// String returns the name of the kind that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindStream:
		return "stream"
	case KindUnsafe:
	}
	return "unsafe"
}

// Config is one complete version of the operators' configuration. Index must be called
// once it is filled in and before Match.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Teams are empty if requests need no key.
	Teams []Team

	// byKey holds the team of each key.
	byKey map[KeyDigest]*Team
	// byHost holds the routes of each host, those with the longest path prefix first.
	byHost map[string][]*Route
}

// Limits are the limits that the operators set for requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route configures how the requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable reports whether another target may continue a broken stream.
	Resumable bool
	// Engine reports whether the requests name a model.
	Engine bool
	// Timeout is the longest time until the response is complete.
	Timeout time.Duration
	// Goal is the operators' latency objective: the time until the response is
	// complete, or for streams until the first event.
	Goal time.Duration
	// GapGoal is the operators' objective for the longest pause between two events of a
	// stream.
	GapGoal time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public reports whether requests need no key although there are teams.
	Public bool
	// MaxAttempts is the maximum number of times that one request may be run.
	MaxAttempts int
	// Backends are the services among which the requests are split by weight. There is
	// at least one, and all weights are above 0.
	Backends []Backend
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Backend is a service and its weight in the split of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a plain HTTP service or a group of model engines.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the targets of a service that serves models.
type Engine struct {
	// Slots is the number of requests that a target runs at a time.
	Slots int
	// KVTokens is the size of a target's KV cache in tokens.
	KVTokens int
	// MemoryMB is the accelerator memory of a target for the weights of loaded models
	// and adapters.
	MemoryMB float64
	// HostMB and DiskMB are the sizes of a target's host memory and disk for copies of
	// weights.
	HostMB float64
	DiskMB float64
	// Adapters is the maximum number of adapters loaded at a target.
	Adapters int
	// LoadsPerSec is the maximum rate of loads from the weight store, over all targets
	// of the service.
	LoadsPerSec float64
	// Models are the models of the service by name.
	Models map[string]Model
}

// Model is one model of an engine, with its sizes and load times.
type Model struct {
	Name string
	// SizeMB is the size of the model's weights, AdapterMB that of each of its adapters.
	SizeMB    float64
	AdapterMB float64
	// Adapters is the number of adapters of the model.
	Adapters int
	// FromStore, FromDisk and FromMemory are the times that a load takes if the nearest
	// copy of the weights is in the weight store, on the target's disk or in its host
	// memory.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}

// Index builds the indexes that Match and TeamOf use. It returns an error if a team is
// invalid.
func (c *Config) Index() error {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return c.indexTeams()
}

// Match returns the route of the host with the longest matching path prefix, or nil if
// there is none. The host may be in any case and have a port, as in a Host header.
func (c *Config) Match(host, path string) *Route {
	hostname, _, _ := strings.Cut(host, ":")
	for _, r := range c.byHost[strings.ToLower(hostname)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick chooses a backend by weight and returns its service. The caller passes a random
// number in [0, 1).
func (r *Route) Pick(random float64) string {
	sum := 0.0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	for _, b := range r.Backends {
		random -= b.Weight / sum
		if random < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
