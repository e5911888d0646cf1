package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/api/peer/v1/peerv1connect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/codec"
)

// tellQueue is the number of messages that wait to be written; one more ends
// the stream, whose other side then takes too long.
const tellQueue = 64

// tellStreams are the open streams of counts, at most one to each peer.
type tellStreams struct {
	mu   sync.Mutex
	open map[netip.AddrPort]*tellStream
}

// tellStream is a stream of counts on an HTTP/2 connection of its own. A message
// on it costs some 40 bytes with its answer, a tenth of a call by itself.
//
// The answers come in the order of the messages. A stream whose answer is late
// is given up with its connection, since that may have gone silent, and the next
// message opens another one.
type tellStream struct {
	timeout time.Duration
	cancel  context.CancelFunc
	out     chan ports.TellCounts
	forget  func(*tellStream)

	mu      sync.Mutex
	pending []func(ports.PeerReply)
	ended   bool
	// watch fires when the oldest answer is late, or when nothing was sent for long.
	watch *time.Timer
}

// tell sends counts and hands the answer to done.
func (c *Client) tell(to netip.AddrPort, msg ports.TellCounts, done func(ports.PeerReply)) {
	c.tells.mu.Lock()
	s := c.tells.open[to]
	if s == nil {
		s = c.openTell(to)
		c.tells.open[to] = s
	}
	c.tells.mu.Unlock()
	s.send(msg, done)
}

// openTell returns a stream to a peer; its connection is made by the first message.
func (c *Client) openTell(to netip.AddrPort) *tellStream {
	ctx, cancel := context.WithCancel(context.Background())
	pool := c.newPool()
	// The connection ends with the stream.
	pool.DisableKeepAlives = true
	pool.Protocols = new(http.Protocols)
	pool.Protocols.SetHTTP2(c.tls != nil)
	pool.Protocols.SetUnencryptedHTTP2(c.tls == nil)
	s := &tellStream{
		timeout: c.timeout,
		cancel:  cancel,
		out:     make(chan ports.TellCounts, tellQueue),
		forget:  func(s *tellStream) { c.forgetTell(to, s) },
	}
	s.watch = time.AfterFunc(idleConnTimeout, s.late)
	stub := peerv1connect.NewPeerServiceClient(&http.Client{Transport: pool}, c.scheme()+"://"+to.String(), connect.WithReadMaxBytes(maxReplyBytes))
	go s.run(ctx, stub, to)
	return s
}

func (c *Client) forgetTell(to netip.AddrPort, s *tellStream) {
	c.tells.mu.Lock()
	defer c.tells.mu.Unlock()
	if c.tells.open[to] == s {
		delete(c.tells.open, to)
	}
}

// closeTells ends all streams.
func (c *Client) closeTells() {
	c.tells.mu.Lock()
	var open []*tellStream
	for _, s := range c.tells.open {
		open = append(open, s)
	}
	c.tells.mu.Unlock()
	for _, s := range open {
		s.end(trace.Errorf("the client is closed"))
	}
}

func (s *tellStream) send(msg ports.TellCounts, done func(ports.PeerReply)) {
	s.mu.Lock()
	full := len(s.pending) >= tellQueue
	if !s.ended && !full {
		s.pending = append(s.pending, done)
		s.out <- msg
		if len(s.pending) == 1 {
			s.watch.Reset(s.timeout)
		}
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	err := trace.Errorf("the stream of counts has ended")
	s.end(err)
	done(ports.PeerReply{Err: err})
}

// run writes messages until the stream ends.
func (s *tellStream) run(ctx context.Context, stub peerv1connect.PeerServiceClient, to netip.AddrPort) {
	stream := stub.TellCounts(ctx)
	// A cancelled context alone leaves the connection waiting for more to send.
	defer func() {
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	}()
	go s.receive(stream, to)
	first := true
	for {
		select {
		case msg := <-s.out:
			out := codec.EncodeTellCounts(msg)
			if !first {
				out.Origin = nil
			}
			first = false
			if err := stream.Send(out); err != nil {
				s.end(trace.Wrap(err, "telling counts to peer %s", to))
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *tellStream) receive(stream *connect.BidiStreamForClient[peerv1.TellCountsRequest, peerv1.TellCountsResponse], to netip.AddrPort) {
	for {
		in, err := stream.Receive()
		if err != nil {
			s.end(trace.Wrap(err, "telling counts to peer %s", to))
			return
		}
		if done := s.answered(); done != nil {
			done(ports.PeerReply{Msg: ports.TellReply{Resend: in.GetResend()}})
		}
	}
}

// answered takes the oldest message off the list.
func (s *tellStream) answered() func(ports.PeerReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.pending) == 0 {
		return nil
	}
	done := s.pending[0]
	s.pending = s.pending[1:]
	if len(s.pending) > 0 {
		s.watch.Reset(s.timeout)
	} else {
		s.watch.Reset(idleConnTimeout)
	}
	return done
}

func (s *tellStream) late() {
	s.end(trace.LimitExceeded("no answer on the stream of counts"))
}

// end gives the stream and its connection up.
func (s *tellStream) end(err error) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	pending := s.pending
	s.pending = nil
	s.watch.Stop()
	s.mu.Unlock()
	s.forget(s)
	s.cancel()
	for _, done := range pending {
		done(ports.PeerReply{Err: err})
	}
}
