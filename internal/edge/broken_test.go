package edge

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/usage"
	"chivecroft.example/chivecroft/internal/stand/socket"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// longMessageBytes is more than the kernels buffer of a message that nobody reads.
const longMessageBytes = 8 << 20

// TestPeerReplyThatBreaksOffEarly has a neighbour answer a long message at once and reset the
// connection. What the message hands over must not count as received.
func TestPeerReplyThatBreaksOffEarly(t *testing.T) {
	for _, ending := range socket.Resets() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			at := socket.Listen(t, socket.EarlyAnswer(t.Context(), "HTTP/1.1 200 OK\r\n\r\n", ending))
			if err := newPeerClient().post(t.Context(), at, pathCrashes, make([]byte, longMessageBytes)); err == nil {
				t.Error("the message counts as received")
			}
		})
	}
}

// TestInvalidHeadsOfPeers has a neighbour answer with heads that are none of a response. None of
// its messages may be taken for a reply.
func TestInvalidHeadsOfPeers(t *testing.T) {
	for _, h := range socket.InvalidHeads() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			at := socket.Listen(t, socket.Answer(h.Answer("200 OK", headerRevision+": 7\r\n", "{}")))
			p := newPeerClient()
			_, exchanged := p.exchange(t.Context(), at, pathExchange, exchangeRequest{From: "i1"}, time.Second)
			_, fetched := p.config(t.Context(), at, knownConfig{}, 0)
			_, changed := p.changes(t.Context(), at, rev(0))
			_, _, permitted := p.permits(t.Context(), at, usage.Message{})
			_, handedOver := p.ledger(t.Context(), at, ledgerRequest{From: "i1", Term: 1})
			got := []bool{
				p.post(t.Context(), at, pathCrashes, []byte("[]")) != nil,
				exchanged != nil, fetched != nil, changed != nil, permitted != nil, handedOver != nil,
			}
			if diff := cmp.Diff([]bool{true, true, true, true, true, true}, got); diff != "" {
				t.Errorf("failures (-want +got):\n%s", diff)
			}
		})
	}
}

// TestInvalidHeadProvesNoEnd has a target answer the check whether it has ended with heads that
// are none of a response. It is alive, and the check must not wait for another answer.
func TestInvalidHeadProvesNoEnd(t *testing.T) {
	for _, h := range socket.InvalidHeads() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			answer := socket.Answer(h.Answer("200 OK", "", `{"born":2}`))
			at := socket.Listen(t, func(conn *net.TCPConn) {
				calls.Add(1)
				answer(conn)
			})
			target := fleet.Target{Identity: fleet.Identity{ID: "e1", Born: 1}, Addr: at}
			ends := newEndChecker(func(fleet.Identity) bool { return false }, func(fleet.Target) {})
			if ends.hasEnded(t.Context(), target) {
				t.Error("the target counts as ended")
			}
			if n := calls.Load(); n != 1 && !h.IsUnreadable {
				t.Errorf("asked %d times", n)
			}
		})
	}
}

// TestMemoryOfEndlessReplies has neighbours answer with bytes that do not end, in several calls at
// the same time.
func TestMemoryOfEndlessReplies(t *testing.T) {
	const calls, mostBytes = 8, 64 << 20
	for _, answer := range socket.EndlessAnswers() {
		for _, c := range []struct {
			name string
			size int
			ask  func(*peerClient, context.Context, netip.AddrPort) error
		}{
			{"config", maxConfigBytes / 2, func(p *peerClient, ctx context.Context, at netip.AddrPort) error {
				_, err := p.config(ctx, at, knownConfig{}, 0)
				return err
			}},
			{"exchange", maxMessageBytes / 2, func(p *peerClient, ctx context.Context, at netip.AddrPort) error {
				_, err := p.exchange(ctx, at, pathExchange, exchangeRequest{From: "i1"}, time.Second)
				return err
			}},
			{"post", maxMessageBytes, func(p *peerClient, ctx context.Context, at netip.AddrPort) error {
				return p.post(ctx, at, pathCrashes, []byte("[]"))
			}},
		} {
			t.Run(c.name+", "+answer.Name, func(t *testing.T) {
				p := newPeerClient()
				held := answer.HeldBytes(t, calls, c.size, func(at netip.AddrPort) func(context.Context) {
					return func(ctx context.Context) {
						if c.ask(p, ctx, at) == nil {
							t.Error("taken for a reply")
						}
					}
				})
				if held > mostBytes {
					t.Errorf("%d MB held", held>>20)
				}
			})
		}
	}
}

// TestCutHeadsOfPeers has a neighbour end its connection within the head of a reply. None of its
// replies may count.
func TestCutHeadsOfPeers(t *testing.T) {
	for _, text := range socket.CutHeads("HTTP/1.1 200 OK\r\n" + headerRevision + ": 7\r\nContent-Length: 2\r\n\r\n{}") {
		at := socket.Listen(t, socket.Answer(text))
		p := newPeerClient()
		posted := p.post(t.Context(), at, pathCrashes, []byte("[]"))
		_, exchanged := p.exchange(t.Context(), at, pathExchange, exchangeRequest{From: "i1"}, time.Second)
		_, fetched := p.config(t.Context(), at, knownConfig{}, 0)
		if posted == nil || exchanged == nil || fetched == nil {
			t.Errorf("%q: %v, %v, %v", text, posted, exchanged, fetched)
		}
	}
}
