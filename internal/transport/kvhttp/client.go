package kvhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultWatchMargin = 2 * time.Second
	defaultCalls       = 64
	defaultWatches     = 64
)

// Client calls the platform; it is a ports.KV and a ports.List.
type Client struct {
	base string
	// address is the host and port of base, as it is dialled.
	address string
	config  *tls.Config
	dialer  *gate.Dialer
	http    *http.Client
	timer   timer.Service
	// replies reads the bodies of answers.
	replies *gate.Replies

	timeout     time.Duration
	watchMargin time.Duration
	calls       chan struct{}
	watches     chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	counts counters
	last   atomic.Pointer[time.Time]
}

type counters struct{ reads, writes, watches, lists atomic.Uint64 }

// Counts is how many calls were sent, by kind.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeout bounds each call other than a watch.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWatchMargin sets how much longer than its wait a watch may take.
func WithWatchMargin(d time.Duration) Option {
	return func(c *Client) { c.watchMargin = d }
}

// WithTLS sets the TLS configuration for https addresses.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) { c.config = config }
}

// WithTimer sets the timer service that stamps answers.
func WithTimer(t timer.Service) Option {
	return func(c *Client) { c.timer = t }
}

// WithWatch has the bytes of the connections counted.
func WithWatch(watch gate.Watch) Option {
	return func(c *Client) { c.dialer = gate.NewDialer(gate.WithWatch(watch)) }
}

// WithLimits bounds the calls and the watches in flight; more are refused as
// unavailable.
func WithLimits(calls, watches int) Option {
	return func(c *Client) {
		c.calls = make(chan struct{}, calls)
		c.watches = make(chan struct{}, watches)
	}
}

// New returns a client of the platform at baseURL, such as
// "http://192.0.2.7:7000".
func New(baseURL string, opts ...Option) *Client {
	c := &Client{
		base:        strings.TrimRight(baseURL, "/"),
		dialer:      gate.NewDialer(),
		timer:       timer.NewSystem(),
		replies:     gate.NewReplies(replyBytes, repliesBytes),
		timeout:     defaultTimeout,
		watchMargin: defaultWatchMargin,
		calls:       make(chan struct{}, defaultCalls),
		watches:     make(chan struct{}, defaultWatches),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.address = addressOf(c.base)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.http = &http.Client{Transport: c.dialer.Transport(c.config), CheckRedirect: noRedirect}
	return c
}

// addressOf returns the host and port behind an address; of a malformed one,
// nothing, and each call will report it.
func addressOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// Close gives up the calls in flight; each still reports its end.
func (c *Client) Close() {
	c.cancel()
	c.http.CloseIdleConnections()
}

// Counts returns how many calls were sent so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads:   c.counts.reads.Load(),
		Writes:  c.counts.writes.Load(),
		Watches: c.counts.watches.Load(),
		Lists:   c.counts.lists.Load(),
	}
}

// LastAnswer returns when the service last gave a whole answer, zero for never.
func (c *Client) LastAnswer() time.Time {
	if at := c.last.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Call sends one request on its own goroutine.
func (c *Client) Call(req ports.KVRequest, done func(ports.KVReply)) {
	slots := c.calls
	if _, ok := req.(ports.KVWatch); ok {
		slots = c.watches
	}
	select {
	case slots <- struct{}{}:
	default:
		err := trace.LimitExceeded("%s to %s: too many calls in flight", stepOf(req), c.base)
		done(ports.KVReply{Status: ports.KVUnavailable, Err: err})
		return
	}
	c.count(req)
	go func() {
		reply := c.call(req)
		<-slots
		done(reply)
	}()
}

func (c *Client) count(req ports.KVRequest) {
	switch req.(type) {
	case ports.KVGet, ports.KVList:
		c.counts.reads.Add(1)
	case ports.KVWatch:
		c.counts.watches.Add(1)
	default:
		c.counts.writes.Add(1)
	}
}

func (c *Client) answered() {
	now := c.timer.Now()
	c.last.Store(&now)
}

// noRedirect keeps a call from being sent a second time elsewhere.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
