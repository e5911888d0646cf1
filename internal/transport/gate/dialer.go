package gate

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 15 * time.Second
	maxIdlePerHost  = 64
	maxIdleTotal    = 1024
	maxHeaderBytes  = 64 << 10
)

// Dialer opens the connections of one transport and tracks those that are open.
type Dialer struct {
	dialer net.Dialer
	watch  Watch
	// receiveBytes limits the kernel's receive buffer of a connection, 0 for its default.
	receiveBytes int
	// resetsUnanswered is set by WithResetUnanswered.
	resetsUnanswered bool

	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

// Option changes a Dialer under construction.
type Option func(*Dialer)

// WithWatch counts the bytes of the connections.
func WithWatch(watch Watch) Option {
	return func(d *Dialer) { d.watch = watch }
}

// WithSilence closes connections whose other side acknowledges nothing for d, whether
// sent bytes are unacknowledged or the connection is idle.
func WithSilence(d time.Duration) Option {
	return func(dialer *Dialer) { dialer.dialer = silenceDialer(d) }
}

// WithReceiveBuffer limits what the kernel holds of a response that is not read.
func WithReceiveBuffer(bytes int) Option {
	return func(d *Dialer) { d.receiveBytes = bytes }
}

// WithResetUnanswered makes a connection that ends before the first byte of a response, also by
// the end of the process, discard what the other side has not received.
func WithResetUnanswered() Option {
	return func(d *Dialer) { d.resetsUnanswered = true }
}

// NewDialer returns a dialer without connections.
func NewDialer(opts ...Option) *Dialer {
	d := &Dialer{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod},
		conns:  make(map[string]map[*conn]struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Transport returns an HTTP/1 transport that uses the dialer; config may be nil.
//
// HTTP/2 is not supported, since it puts many calls on one connection, where a first byte
// says nothing about a single call. No proxy is used and no compression.
func (d *Dialer) Transport(config *tls.Config) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return NewTransport(&http.Transport{
		DialContext:            d.Dial,
		TLSClientConfig:        config,
		TLSHandshakeTimeout:    dialTimeout,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	})
}

// Dial opens a tracked connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok && d.receiveBytes > 0 {
		_ = tcp.SetReadBuffer(d.receiveBytes)
	}
	c := &conn{
		Conn: d.watch.Watched(raw, address), opened: time.Now(),
		onClose: func(c *conn) { d.remove(address, c) },
	}
	if tcp, ok := raw.(*net.TCPConn); ok && d.resetsUnanswered {
		_ = tcp.SetLinger(0)
		c.unanswered = tcp
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[address] == nil {
		d.conns[address] = make(map[*conn]struct{})
	}
	d.conns[address][c] = struct{}{}
	return c, nil
}

// Retire closes the idle connections to an address and prevents busy ones from being used
// for another call. It returns how many connections there were.
func (d *Dialer) Retire(address string) int {
	open := d.open(address)
	for _, c := range open {
		if c.retire() {
			_ = c.Close()
		}
	}
	return len(open)
}

func (d *Dialer) open(address string) []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.conns[address]))
}

func (d *Dialer) remove(address string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns[address], c)
	if len(d.conns[address]) == 0 {
		delete(d.conns, address)
	}
}
