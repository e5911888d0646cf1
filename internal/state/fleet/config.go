package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of requests.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStream requests are answered by a series of events.
	KindStream
)

// String returns the kind in the words of the logs.
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

// Config is one whole version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route tells how the requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may be continued by another target.
	Resumable bool
	// Engine tells that the requests name a model.
	Engine bool
	// Timeout is the longest time until the whole answer.
	Timeout time.Duration
	// Goal is the latency that the operators want: to the whole answer, for streams
	// to the first event.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream.
	GapGoal time.Duration
	// Priority is the rank of the route, 0 being the most urgent.
	Priority int
	// MaxAttempts bounds the targets that run one request.
	MaxAttempts int
	// Backends are the services that share the requests by weight.
	Backends []Backend
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a plain service or, with models, a group of model engines.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the targets of a service that hold models.
type Engine struct {
	Slots       int
	KVTokens    int
	MemoryMB    float64
	HostMB      float64
	DiskMB      float64
	Adapters    int
	LoadsPerSec float64
	Models      map[string]Model
}

// Model is one model of an engine with the times that its loads take.
type Model struct {
	Name      string
	SizeMB    float64
	AdapterMB float64
	Adapters  int
	// FromStore, FromDisk and FromMemory are the times of a load by the place of
	// the nearest copy of the weights.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}

// Index prepares the configuration for Match.
func (c *Config) Index() {
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
}

// Match returns the route of a host with the longest prefix of path, nil if
// there is none.
func (c *Config) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range c.byHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request, where point lies between 0 and 1 and
// decides between the backends by weight.
func (r *Route) Pick(point float64) string {
	sum := 0.0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	for _, b := range r.Backends {
		point -= b.Weight / sum
		if point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
