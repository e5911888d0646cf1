package edge

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform/fake"
)

// logRecorder keeps log lines.
type logRecorder struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write keeps one line.
func (r *logRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

// take returns the fields of the lines so far whose message is one of those given, and forgets
// all lines.
func (r *logRecorder) take(t *testing.T, messages string) []map[string]any {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(r.buf.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if strings.Contains(messages, fields["message"].(string)) {
			delete(fields, "time")
			delete(fields, "level")
			out = append(out, fields)
		}
	}
	r.buf.Reset()
	return out
}

func newRecordedCoordinator(t *testing.T) (*coordinator, *logRecorder) {
	k, r := newTestCoordinator(t), &logRecorder{}
	k.log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: r}}
	return k, r
}

// within replaces a duration in milliseconds by true if it is in a range.
func within(fields map[string]any, name string, from, to time.Duration) {
	if ms, ok := fields[name].(float64); ok {
		d := time.Duration(ms * float64(time.Millisecond))
		if d >= from && d <= to {
			fields[name] = true
		}
	}
}

// TestTermLines begins a term after that of another instance, puts its orders off, sends two
// orders, of which one has no answer, and ends the term.
func TestTermLines(t *testing.T) {
	k, lines := newRecordedCoordinator(t)
	now := k.clock.Now()
	const second, slack = time.Second, 900 * time.Millisecond
	s := elect.Status{
		IsHolder: true, Former: netip.MustParseAddrPort("10.1.0.2:7000"), OrderFrom: now.Add(3 * second),
		Start: elect.TermStart{Wait: elect.WaitSettled, CountedFrom: now.Add(-2 * second), Record: 7},
	}
	k.setStatus(s)
	s.OrderFrom = now.Add(5 * second)
	k.setStatus(s)
	s.OrderFrom, s.Token, s.OrderUntil = now.Add(5*second), 9, now.Add(second)
	k.setStatus(s)
	k.mu.Lock()
	k.termOrders.pass(now.Add(-4 * second))
	k.termOrders.pass(now.Add(-3 * second))
	k.termOrders.inFlight--
	k.mu.Unlock()
	s.OrderUntil = now.Add(60 * second)
	k.setStatus(s)
	k.setStatus(elect.Status{Ended: elect.EndKeyLost})
	k.setStatus(elect.Status{})
	got := lines.take(t, "term began, orders put off, orders may begin, term ended")
	for _, l := range got {
		within(l, "waited", 2*second, 2*second+slack)
		within(l, "sinceLastOrder", 3*second, 3*second+slack)
		within(l, "termLeft", 60*second-slack, 60*second)
		within(l, "by", 2*second, 2*second)
		if l["message"] == "orders put off" {
			within(l, "ordersIn", 5*second-slack, 5*second)
		}
		within(l, "ordersIn", 3*second-slack, 3*second)
	}
	want := []map[string]any{
		{"message": "term began", "instance": "i1", "former": "10.1.0.2:7000", "formerRecord": 7.0, "wait": "settled", "waited": true, "ordersIn": true},
		{"message": "orders put off", "instance": "i1", "by": true, "ordersIn": true},
		{"message": "orders may begin", "instance": "i1", "token": 9.0, "wait": "settled", "waited": true},
		{"message": "term ended", "instance": "i1", "token": 9.0, "reason": "keyLost", "orders": 2.0, "inFlight": 1.0, "termLeft": true, "sinceLastOrder": true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestOrderLines sends orders that pass their check and orders that don't, each for its own
// reason.
func TestOrderLines(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name      string
		orderFrom time.Duration
		until     time.Duration
		token     uint64
		late      time.Duration
		result    string
		check     string
		// hasTimes means that the line tells when the order was checked.
		hasTimes bool
	}{
		{"taken", -second, second, 5, 0, "taken", "passed", true},
		{"no answer", -second, second, 5, 2 * second, "unknown", "passed", true},
		{"of an earlier term", -second, second, 4, 0, "unsent", "otherTerm", false},
		{"put off", second, 2 * second, 5, 0, "unsent", "tooEarly", false},
		{"after the term", -2 * second, -second, 5, 0, "unsent", "tooLate", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			k, lines := newRecordedCoordinator(t)
			now := k.clock.Now()
			k.setStatus(elect.Status{IsHolder: true, Token: 5, OrderFrom: now.Add(c.orderFrom), OrderUntil: now.Add(c.until)})
			target := fake.NewTarget(t, "e1", "a1", 0, "m1")
			target.AnswerLate(c.late)
			p := sched.NewPlanner("llm", &fleet.Engine{}, second, rand.New(rand.NewPCG(1, 1)))
			k.ordersInFlight.Add(1)
			k.sendOrder(p, sched.Action{To: fleet.Target{Identity: fleet.Identity{ID: "e1"}, Addr: target.Addr()}, Operation: sched.Load, Model: "m2"}, c.token)
			got := lines.take(t, "order finished")
			if len(got) != 1 {
				t.Fatalf("lines %v", got)
			}
			want := map[string]any{"result": c.result, "check": c.check, "token": float64(c.token), "termLeft": nil, "sinceCheck": nil}
			if c.hasTimes {
				want["termLeft"], want["sinceCheck"] = true, true
			}
			within(got[0], "termLeft", c.until-500*time.Millisecond, c.until)
			within(got[0], "sinceCheck", 0, time.Second)
			for name := range got[0] {
				if _, isWanted := want[name]; !isWanted {
					delete(got[0], name)
				}
			}
			for name := range want {
				if _, isThere := got[0][name]; !isThere {
					got[0][name] = nil
				}
			}
			if diff := cmp.Diff(want, got[0]); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
			if k.termOrders.inFlight != 0 {
				t.Errorf("%d orders in flight at the end", k.termOrders.inFlight)
			}
		})
	}
}

// TestStopLine stops the orders of a holder while one is in flight, and of an instance that is
// not the holder.
func TestStopLine(t *testing.T) {
	k, lines := newRecordedCoordinator(t)
	// No order of a former process is on its way any more.
	k.ordersInFlight.Wait()
	read, unread := fleet.Identity{ID: "e1", Born: 1}, fleet.Identity{ID: "e2", Born: 1}
	for _, id := range []fleet.Identity{read, unread} {
		k.setTarget(fleet.Target{Identity: id, Service: "llm"})
	}
	now := k.clock.Now()
	k.setStatus(elect.Status{IsHolder: true, Token: 5, OrderFrom: now, OrderUntil: now.Add(time.Second)})
	k.termOrders.pass(now)
	k.ordersInFlight.Add(1)
	const answer = 60 * time.Millisecond
	k.clock.After(answer, k.ordersInFlight.Done)
	k.unread[unread] = now
	k.unread[fleet.Identity{ID: "e1"}] = now
	k.stopOrders()
	k.setStatus(elect.Status{Ended: elect.EndStopped})
	k.stopOrders()
	got := lines.take(t, "orders stopped")
	for _, l := range got {
		within(l, "took", answer, answer+time.Second)
	}
	want := []map[string]any{{"message": "orders stopped", "instance": "i1", "token": 5.0, "inFlight": 1.0, "unread": 1.0, "took": true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestRestoreLine has the store come back from an older copy during a term, and later once more.
func TestRestoreLine(t *testing.T) {
	k, lines := newRecordedCoordinator(t)
	self := netip.MustParseAddrPort("10.1.0.1:7000")
	k.setStatus(elect.Status{Holder: self, IsHolder: true, Token: 5, Era: 1})
	k.setStatus(elect.Status{Era: 2, Restores: 1, Ended: elect.EndOlderCopy})
	k.setStatus(elect.Status{Era: 2, Restores: 1})
	k.setStatus(elect.Status{Era: 4, Restores: 2})
	want := []map[string]any{
		{"message": "store back from an older copy", "instance": "i1", "era": 2.0, "eraBefore": 1.0, "mine": true, "holder": self.String(), "token": 5.0},
		{"message": "term ended", "instance": "i1", "token": 5.0, "reason": "olderCopy", "orders": 0.0, "inFlight": 0.0},
		{"message": "store back from an older copy", "instance": "i1", "era": 4.0, "eraBefore": 2.0, "mine": false, "holder": "", "token": 0.0},
	}
	if diff := cmp.Diff(want, lines.take(t, "store back from an older copy, term ended")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestLateTargetLine has targets respond to a new holder in time, and two seconds after its
// first orders.
func TestLateTargetLine(t *testing.T) {
	k, lines := newRecordedCoordinator(t)
	const handover = 3 * time.Second
	late := fake.NewTarget(t, "e2", "a1", 0, "m1")
	for _, c := range []struct {
		id      string
		settled time.Duration
	}{{"e1", 0}, {"e2", handover + 2*time.Second}} {
		now := k.clock.Now()
		k.setStatus(elect.Status{})
		k.setStatus(elect.Status{
			IsHolder: true, Token: 5, SettledAt: now.Add(-c.settled), Handover: handover, OrderFrom: now.Add(handover - c.settled),
		})
		p := sched.NewPlanner("llm", &fleet.Engine{}, time.Second, rand.New(rand.NewPCG(1, 1)))
		p.SetHandover(handover, now.Add(time.Minute), time.Now())
		target := fleet.Target{Identity: fleet.Identity{ID: c.id, Born: late.Born}, Addr: late.Addr()}
		late.ID = c.id
		p.SetTarget(now, target)
		k.requestReport(p, sched.Action{To: target})
		k.requestReport(p, sched.Action{To: target})
	}
	got := lines.take(t, "orders wait for a target")
	for _, l := range got {
		within(l, "late", handover+2*time.Second, handover+3*time.Second)
		within(l, "ordersIn", handover-time.Second, handover)
	}
	want := []map[string]any{{"message": "orders wait for a target", "instance": "i1", "target": "e2", "token": 5.0, "late": true, "ordersIn": true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestHandoverLine reads settings again that have the same handover, and then another one.
func TestHandoverLine(t *testing.T) {
	k, lines := newRecordedCoordinator(t)
	k.setStatus(elect.Status{IsHolder: true, Token: 5})
	k.logHandover(3*time.Second, 3*time.Second)
	k.logHandover(3*time.Second, 20*time.Second)
	want := []map[string]any{
		{"message": "handover changed", "instance": "i1", "was": 3000.0, "handover": 20000.0, "mine": true, "token": 5.0},
	}
	if diff := cmp.Diff(want, lines.take(t, "handover changed")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
