package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

const (
	defaultOrderTimeout = 5 * time.Second
	defaultCallTimeout  = 2 * time.Second
	defaultOrders       = 256
	// bodyBytes bounds an answer other than a stream.
	bodyBytes = 16 << 20
	// bodiesBytes bounds what all answers that are being read hold. The largest one needs
	// one and a half times its size while its buffer grows.
	bodiesBytes = 48 << 20
)

// Client calls the engines of many targets; it is a ports.Engine.
type Client struct {
	scheme string
	config *tls.Config
	dialer *gate.Dialer
	http   *http.Client
	// streams keeps connections of its own: one that was kept has brought a whole
	// answer, or a sign of life, and not just the end of a call that a target
	// answers while it takes no requests.
	streams *http.Client
	// fresh opens a connection for each call and keeps none.
	fresh *http.Client
	timer timer.Service
	// replies reads the bodies of answers other than streams.
	replies *gate.Replies

	orderTimeout time.Duration
	callTimeout  time.Duration
	orders       chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeouts bounds orders and all other calls but streams.
func WithTimeouts(order, call time.Duration) Option {
	return func(c *Client) { c.orderTimeout, c.callTimeout = order, call }
}

// WithTLS makes the client speak TLS to the engines.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) { c.scheme, c.config = "https", config }
}

// WithTimer sets the timer service by which orders lapse.
func WithTimer(t timer.Service) Option {
	return func(c *Client) { c.timer = t }
}

// WithWatch has the bytes of the connections counted.
func WithWatch(watch gate.Watch) Option {
	return func(c *Client) { c.dialer = gate.NewDialer(gate.WithWatch(watch)) }
}

// WithOrderLimit bounds the orders in flight; more end as unsent.
func WithOrderLimit(n int) Option {
	return func(c *Client) { c.orders = make(chan struct{}, n) }
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		scheme:       "http",
		dialer:       gate.NewDialer(),
		timer:        timer.NewSystem(),
		replies:      gate.NewReplies(bodyBytes, bodiesBytes),
		orderTimeout: defaultOrderTimeout,
		callTimeout:  defaultCallTimeout,
		orders:       make(chan struct{}, defaultOrders),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.http = &http.Client{Transport: c.dialer.Transport(c.config), CheckRedirect: noRedirect}
	c.streams = &http.Client{Transport: c.dialer.Transport(c.config), CheckRedirect: noRedirect}
	fresh := c.dialer.Transport(c.config)
	fresh.DisableKeepAlives = true
	c.fresh = &http.Client{Transport: fresh, CheckRedirect: noRedirect}
	return c
}

// Close gives up the orders in flight; each still reports its end.
func (c *Client) Close() {
	c.cancel()
	c.http.CloseIdleConnections()
	c.streams.CloseIdleConnections()
}

// Retire closes the idle connections to an engine and keeps the busy ones from
// taking another call; it returns how many connections there were.
func (c *Client) Retire(at netip.AddrPort) int {
	return c.dialer.Retire(at.String())
}

// suspect retires the connections to an engine after a timeout: what made one
// silent has probably lost track of the others too.
func (c *Client) suspect(at netip.AddrPort, err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.Retire(at)
	}
}

// Cancel stops the work of a request on an engine.
func (c *Client) Cancel(ctx context.Context, at netip.AddrPort, requestID string) error {
	return c.exchange(ctx, "cancel", at, http.MethodPost, wire.PathCancel, wire.CancelRequest{RequestID: requestID}, nil)
}

// Events reads an engine's cache events after a sequence number.
func (c *Client) Events(ctx context.Context, at netip.AddrPort, after uint64) (wire.CacheEvents, error) {
	var events wire.CacheEvents
	path := wire.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.exchange(ctx, "read cache events", at, http.MethodGet, path, nil, &events)
	return events, err
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, at netip.AddrPort) (wire.LoadReport, error) {
	var report wire.LoadReport
	err := c.exchange(ctx, "read load", at, http.MethodGet, wire.PathLoad, nil, &report)
	return report, err
}

// Alive asks for a sign of life, over a connection that streams go over.
func (c *Client) Alive(ctx context.Context, at netip.AddrPort) error {
	return c.exchangeOver(ctx, c.streams, "probe", at, http.MethodGet, wire.PathAlive, nil, nil)
}

func (c *Client) exchange(ctx context.Context, step string, at netip.AddrPort, method, path string, in, out any) error {
	return c.exchangeOver(ctx, c.http, step, at, method, path, in, out)
}

// exchangeOver sends in, if not nil, and reads the answer into out, if not nil.
func (c *Client) exchangeOver(ctx context.Context, over *http.Client, step string, at netip.AddrPort, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	ctx, call := gate.Track(ctx, nil)
	resp, err := c.send(ctx, over, at, method, path, in)
	if err != nil {
		sent := call.Seal()
		c.suspect(at, err)
		return trace.Wrap(&Error{Step: step, Peer: at, NotRun: !sent, Err: err})
	}
	defer resp.Body.Close()
	data, err := c.replies.ReadAll(resp.Body)
	if err != nil {
		call.Seal()
		c.suspect(at, err)
		return trace.Wrap(&Error{Step: step, Peer: at, Err: err})
	}
	call.Release()
	if resp.StatusCode/100 != 2 {
		return trace.Wrap(refusal(step, at, resp.StatusCode, data))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return trace.Wrap(&Error{Step: step, Peer: at, Err: err})
	}
	return nil
}

func (c *Client) send(ctx context.Context, over *http.Client, at netip.AddrPort, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+at.String()+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return over.Do(req)
}

// refusal reads the body of an answer that is not a success. Without a whole
// body that says so, nothing is known about whether the engine began.
func refusal(step string, at netip.AddrPort, status int, data []byte) *Error {
	e := &Error{Step: step, Peer: at, Status: status}
	var body wire.EngineError
	if err := json.Unmarshal(data, &body); err != nil {
		e.Err = err
		return e
	}
	e.Reason, e.NotRun = body.Reason, body.NotRun
	return e
}

// noRedirect keeps a call from being sent a second time elsewhere.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
