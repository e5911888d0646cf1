package edge

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/stand/socket"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
)

// TestStopAwaitsOrdersOnTheirWay stops the orders of a holder while a target has not answered
// one yet. It guards against a successor that counts the handover from before its arrival.
func TestStopAwaitsOrdersOnTheirWay(t *testing.T) {
	for _, c := range []struct {
		name      string
		delay     time.Duration
		least     time.Duration
		hasUnread bool
	}{
		{"answered late", 500 * time.Millisecond, 500 * time.Millisecond, false},
		{"not answered", 5 * time.Second, platform.OrderTimeout, true},
		{"connection closed without an answer", -1, platform.OrderTimeout, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			at := socket.Listen(t, func(conn *net.TCPConn) {
				if _, err := socket.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				arrived <- struct{}{}
				if c.delay < 0 {
					return
				}
				time.Sleep(c.delay)
				_, _ = io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			})
			k := newTestCoordinator(t)
			// No order of a former process is on its way any more.
			k.ordersInFlight.Wait()
			target := fleet.Target{Identity: fleet.Identity{ID: "e1", Born: 1}, Addr: at, Service: "llm"}
			k.setTarget(target)
			k.setHolder(true)
			began := time.Now()
			k.mu.Lock()
			k.carryOut(sched.NewPlanner("llm", &fleet.Engine{}, time.Second, nil), sched.Action{To: target, Model: "m1"})
			k.mu.Unlock()
			<-arrived
			hasUnread := k.stopOrders()
			if took := time.Since(began); took < c.least {
				t.Errorf("orders have stopped %v after the last one was sent, at least %v expected", took, c.least)
			}
			if diff := cmp.Diff(c.hasUnread, hasUnread); diff != "" {
				t.Errorf("unread orders (-want +got):\n%s", diff)
			}
			if k.mayOrder(k.clock.Now()) {
				t.Error("orders may still be sent")
			}
		})
	}
}

// TestStopAwaitsOrdersOfAFormerProcess stops an instance right after its start. It guards against
// a successor that counts the handover from before the arrival of the orders that a killed
// process of the same machine has sent.
func TestStopAwaitsOrdersOfAFormerProcess(t *testing.T) {
	began := time.Now()
	k := newTestCoordinator(t)
	k.setHolder(true)
	k.stopOrders()
	if took := time.Since(began); took < platform.OrderTimeout {
		t.Errorf("orders have stopped %v after the start, at least %v expected", took, platform.OrderTimeout)
	}
}
