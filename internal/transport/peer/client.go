package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/peer/v1/peerv1connect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/codec"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Defaults of a Client.
const (
	defaultTimeout   = 2 * time.Second
	maxReplyBytes    = 64 << 20
	compressMinBytes = 1 << 10
	idleConnTimeout  = 30 * time.Second
	maxIdlePerHost   = 8
)

// Client sends messages to other entries; it is a ports.Peers.
//
// Each peer has a connection pool of its own, so that dropping the connections
// of one that fell silent leaves the others alone.
type Client struct {
	tls     *tls.Config
	timeout time.Duration
	count   gate.Count
	watch   gate.Watch

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	tells tellStreams
}

// link is the connection pool and the stub for one peer.
type link struct {
	pool *gate.Transport
	stub peerv1connect.PeerServiceClient
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeout bounds each call; a PullTable gets its own wait on top.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithTLS makes the client use TLS.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) { c.tls = config }
}

// WithCounter tells count of the bytes of all connections.
func WithCounter(count gate.Count) Option {
	return func(c *Client) { c.count = count }
}

// WithWatch has the bytes of the connections counted by peer.
func WithWatch(watch gate.Watch) Option {
	return func(c *Client) { c.watch = watch }
}

// NewClient returns a client of the peer protocol.
func NewClient(opts ...Option) *Client {
	c := &Client{timeout: defaultTimeout, count: func(bool, int) {}, links: make(map[netip.AddrPort]*link)}
	c.tells.open = make(map[netip.AddrPort]*tellStream)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Send sends one message on a goroutine of its own and hands the answer to done.
func (c *Client) Send(to netip.AddrPort, msg ports.PeerMessage, done func(ports.PeerReply)) {
	if tell, ok := msg.(ports.TellCounts); ok {
		c.tell(to, tell, done)
		return
	}
	go func() {
		reply, err := c.Ask(context.Background(), to, msg)
		if err != nil {
			done(ports.PeerReply{Err: err})
			return
		}
		done(ports.PeerReply{Msg: reply})
	}()
}

// Ask sends one message and returns the answer.
func (c *Client) Ask(ctx context.Context, to netip.AddrPort, msg ports.PeerMessage) (any, error) {
	timeout := c.timeout
	if pull, ok := msg.(ports.PullTable); ok {
		timeout += pull.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l := c.link(to)
	reply, err := call(ctx, l.stub, msg)
	if err != nil {
		l.retire(ctx, err)
		return nil, trace.Wrap(err, "sending %T to peer %s", msg, to)
	}
	return reply, nil
}

// Close drops the idle connections and the streams of counts.
func (c *Client) Close() {
	c.closeTells()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.pool.CloseIdleConnections()
	}
}

func (c *Client) link(addr netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[addr]
	if !ok {
		l = c.newLink(addr)
		c.links[addr] = l
	}
	return l
}

func (c *Client) newLink(addr netip.AddrPort) *link {
	pool := gate.NewTransport(c.newPool())
	stub := peerv1connect.NewPeerServiceClient(&http.Client{Transport: pool}, c.scheme()+"://"+addr.String(),
		connect.WithReadMaxBytes(maxReplyBytes),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressMinBytes))
	return &link{pool: pool, stub: stub}
}

func (c *Client) scheme() string {
	if c.tls != nil {
		return "https"
	}
	return "http"
}

// newPool returns a connection pool with a TLS configuration of its own, into
// which the pool writes the HTTP versions that it speaks.
func (c *Client) newPool() *http.Transport {
	return &http.Transport{
		DialContext:         dialCounted(c.count, c.watch),
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		TLSClientConfig:     c.tls.Clone(),
	}
}

// ErrSilent is the cause with which a caller ends a call whose connection it
// believes to be silent.
var ErrSilent = errors.New("the connection is silent")

// retire drops idle connections after a call that timed out or was given up as
// silent: a connection that something in between has forgotten stays silent for
// good, and the pool would hand it out again.
func (l *link) retire(ctx context.Context, err error) {
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded || errors.Is(context.Cause(ctx), ErrSilent) {
		l.pool.CloseIdleConnections()
	}
}

func call(ctx context.Context, to peerv1connect.PeerServiceClient, msg ports.PeerMessage) (any, error) {
	switch m := msg.(type) {
	case ports.Gossip:
		r, err := to.Gossip(ctx, connect.NewRequest(codec.EncodeGossip(m)))
		if err != nil {
			return nil, err
		}
		return codec.DecodeGossip(r.Msg)
	case ports.FetchConfig:
		r, err := to.FetchConfig(ctx, connect.NewRequest(codec.EncodeFetchConfig(m)))
		if err != nil {
			return nil, err
		}
		return codec.DecodeConfigDelta(r.Msg)
	case ports.Demand:
		r, err := to.Demand(ctx, connect.NewRequest(codec.EncodeDemand(m)))
		if err != nil {
			return nil, err
		}
		return codec.DecodeDemandReply(r.Msg), nil
	case ports.PullTable:
		r, err := to.PullTable(ctx, connect.NewRequest(codec.EncodePullTable(m)))
		if err != nil {
			return nil, err
		}
		return codec.DecodeTableDelta(r.Msg)
	case ports.YieldPermit:
		r, err := to.YieldPermit(ctx, connect.NewRequest(codec.EncodeYieldPermit(m)))
		if err != nil {
			return nil, err
		}
		return ports.YieldReply{Yielded: int(r.Msg.GetYielded())}, nil
	case ports.TargetNews:
		_, err := to.TargetNews(ctx, connect.NewRequest(codec.EncodeTargetNews(m)))
		return ports.Ack{}, err
	case ports.HandOver:
		_, err := to.HandOver(ctx, connect.NewRequest(codec.EncodeHandOver(m)))
		return ports.Ack{}, err
	}
	return nil, trace.BadParameter("unknown message %T", msg)
}
