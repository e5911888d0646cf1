package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// keeping is a receiver that keeps what it is told.
type keeping struct {
	Receiver
	mu   sync.Mutex
	told []ports.TellCounts
	hold chan struct{}
	fail bool
}

func (k *keeping) TellCounts(ctx context.Context, t ports.TellCounts) (ports.TellReply, error) {
	k.mu.Lock()
	k.told = append(k.told, t)
	hold, fail := k.hold, k.fail
	k.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	if fail {
		return ports.TellReply{}, errors.New("no room")
	}
	return ports.TellReply{Resend: t.Seq == 3}, nil
}

// neighbour serves a receiver and returns its address.
func neighbour(t *testing.T, r Receiver) netip.AddrPort {
	t.Helper()
	_, handler := NewHandler(r)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// say sends a message and returns the answer.
func say(t *testing.T, c *Client, to netip.AddrPort, msg ports.TellCounts) ports.PeerReply {
	t.Helper()
	answer := make(chan ports.PeerReply, 1)
	c.Send(to, msg, func(r ports.PeerReply) { answer <- r })
	select {
	case r := <-answer:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
		return ports.PeerReply{}
	}
}

var tellOrigin = ports.CountOrigin{Instance: "e1", Incarnation: 1 << 60, Zone: "bul-a", Nonce: 1 << 63}

// TestTellCounts sends counts on a stream: the origin holds for all messages, and
// each gets its own answer.
func TestTellCounts(t *testing.T) {
	k := &keeping{}
	to := neighbour(t, k)
	c := NewClient()
	defer c.Close()
	var sent []ports.TellCounts
	var resends []bool
	for seq := uint64(1); seq <= 4; seq++ {
		msg := ports.TellCounts{Origin: tellOrigin, Seq: seq, Whole: seq == 1, Counts: []ports.ToldCount{{ID: 1, Total: seq}}}
		sent = append(sent, msg)
		reply, _ := say(t, c, to, msg).Msg.(ports.TellReply)
		resends = append(resends, reply.Resend)
	}
	if diff := cmp.Diff(sent, k.told); diff != "" {
		t.Errorf("messages (-sent +received):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, false, true, false}, resends); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestSilentTells sends counts to a neighbour that does not answer: each message
// ends with an error in time, and the next one finds another stream.
func TestSilentTells(t *testing.T) {
	k := &keeping{hold: make(chan struct{})}
	to := neighbour(t, k)
	c := NewClient(WithTimeout(200 * time.Millisecond))
	defer c.Close()
	if r := say(t, c, to, ports.TellCounts{Origin: tellOrigin, Seq: 1}); r.Err == nil {
		t.Error("an answer came from a silent neighbour")
	}
	close(k.hold)
	if r := say(t, c, to, ports.TellCounts{Origin: tellOrigin, Seq: 2}); r.Err != nil {
		t.Errorf("after the silence: %v", r.Err)
	}
	k.mu.Lock()
	k.fail = true
	k.mu.Unlock()
	if r := say(t, c, to, ports.TellCounts{Origin: tellOrigin, Seq: 4}); r.Err == nil {
		t.Error("a message that was refused counts as kept")
	}
}

// TestTellsAreSmall measures what a message with one total and its answer take
// on the connection; the budget of telling is reckoned with 64 bytes.
func TestTellsAreSmall(t *testing.T) {
	const messages, budget = 2000, 64
	to := neighbour(t, &keeping{})
	var bytes atomic.Int64
	c := NewClient(WithCounter(func(_ bool, n int) { bytes.Add(int64(n)) }))
	defer c.Close()
	say(t, c, to, ports.TellCounts{Origin: tellOrigin, Seq: 10})
	before := bytes.Load()
	for n := range uint64(messages) {
		say(t, c, to, ports.TellCounts{
			Origin: tellOrigin, Seq: 1<<20 + n, Exact: true, Counts: []ports.ToldCount{{ID: 100, Total: 1<<20 + n}},
		})
	}
	each := float64(bytes.Load()-before) / messages
	t.Logf("%.1f B for a message and its answer", each)
	if each > budget {
		t.Errorf("a message and its answer take %.1f B, wanted at most %d", each, budget)
	}
}
