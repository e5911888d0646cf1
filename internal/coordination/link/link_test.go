package link

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

var start = time.Unix(1000, 0)

// rate is the number of bytes per second that one entry may send in the tests.
const rate = 100_000

// newLink returns a link on which the entry may send rate bytes per second.
func newLink() (*Link, *timer.Virtual) {
	clock := timer.NewVirtual(start)
	return New(Settings{BitsPerSecond: 8 * regionsPerDirection * rate, Share: 1}, clock), clock
}

func newEntry(id, zone, region string, phase ports.MemberPhase) ports.Member {
	return ports.Member{ID: id, Zone: zone, Region: region, Phase: phase}
}

// TestSteps checks the zones that an entry sends demands for a model to, and their order.
func TestSteps(t *testing.T) {
	near := func(phase ports.MemberPhase) []ports.Member {
		return []ports.Member{
			newEntry("a1", "bul-a", "bulacan", phase), newEntry("b1", "bul-b", "bulacan", phase),
			newEntry("p1", "pam-a", "pampanga", ports.MemberAlive),
		}
	}
	far := near(ports.MemberAlive)[2]
	for _, c := range []struct {
		name, store string
		members     []ports.Member
		want        string
	}{
		{"no store region", "", near(ports.MemberAlive), "[{pam-a } {bul-a } {bul-b }]"},
		{
			"store in bulacan", "bulacan", near(ports.MemberAlive),
			"[{pam-a cached} {bul-a cached} {bul-b cached} {bul-a } {bul-b } {pam-a across}]",
		},
		{
			"store in pampanga", "pampanga", near(ports.MemberAlive),
			"[{pam-a cached} {bul-a cached} {bul-b cached} {pam-a } {bul-a across} {bul-b across}]",
		},
		{"bulacan cut off", "bulacan", near(ports.MemberSilent), "[{pam-a cached}]"},
		{"a store region without entries", "bulacan", near(ports.MemberAlive)[2:], "[{pam-a cached} {pam-a across}]"},
	} {
		got := fmt.Sprint(DemandOrder("menu-7b", far, c.members, c.store))
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestContact checks that a region is lost after demands have failed for lostTimeout, and no
// longer after the first answer.
func TestContact(t *testing.T) {
	var c Reachability
	var got []bool
	for second, answered := range []bool{false, false, false, false, false, false, false, true, false, false} {
		now := start.Add(time.Duration(second) * time.Second)
		if answered {
			c.Answered()
		} else {
			c.Failed(now)
		}
		got = append(got, c.IsLost(now))
	}
	if diff := cmp.Diff([]bool{false, false, false, false, false, true, true, false, false, false}, got); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
}

// TestStepsAreEqualInAllZones checks that the order of the demands is the same at all entries,
// whatever their zone.
func TestStepsAreEqualInAllZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []ports.Member
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			zone := rapid.IntRange(0, 3).Draw(t, "zone")
			members = append(members, newEntry(fmt.Sprint("e", i), fmt.Sprint("z", zone), fmt.Sprint("r", zone/2), ports.MemberAlive))
		}
		store := rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "store")
		model := rapid.StringMatching("[a-z]{1,4}").Draw(t, "model")
		want := DemandOrder(model, members[0], members, store)
		for _, m := range members {
			if diff := cmp.Diff(want, DemandOrder(model, m, members, store)); diff != "" {
				t.Fatalf("%s asks in another order (-first +%s):\n%s", m.ID, m.ID, diff)
			}
		}
	})
}

func TestSharers(t *testing.T) {
	self := newEntry("a1", "bul-a", "bulacan", ports.MemberAlive)
	members := []ports.Member{
		self, newEntry("a2", "bul-a", "bulacan", ports.MemberAlive), newEntry("a3", "bul-a", "bulacan", ports.MemberSilent),
		newEntry("b1", "bul-b", "bulacan", ports.MemberAlive), newEntry("p1", "pam-a", "pampanga", ports.MemberAlive),
	}
	// bul-b may have as many entries as bul-a, since its known members may be a sample.
	if got := EstimateEntries(self, members); got != 4 {
		t.Errorf("%d entries share the link, want 4", got)
	}
}

// TestNobodyIsStarved lets one tenant send bodies continuously for a minute, beside control
// traffic, which never waits, and chats of others. The bytes stay within the rate and use most
// of it, a chat may cross within 50 ms, and deferrable work of others can start in half of the
// seconds.
func TestNobodyIsStarved(t *testing.T) {
	const chunk, control, chat, span = 16 << 10, 5_000, 2_000, time.Minute
	l, clock := newLink()
	sent := make(map[string]int)
	var bulk func()
	bulk = func() {
		l.Request(Out, Deferrable, "greedy", chunk, func() {
			sent["greedy"] += chunk
			clock.After(0, bulk)
		})
	}
	for range 100 {
		bulk()
	}
	timer.Every(clock, time.Second, func() {
		l.Charge(Out, control)
		sent["control"] += control
	})
	started := 0
	timer.Every(clock, time.Second, func() {
		if l.Open(Deferrable) {
			started++
		}
	})
	var maxWait time.Duration
	var begin func(since time.Time)
	begin = func(since time.Time) {
		if !l.Open(Interactive) {
			clock.After(time.Millisecond, func() { begin(since) })
			return
		}
		l.Charge(Out, chat)
		sent["chats"] += chat
		maxWait = max(maxWait, clock.Now().Sub(since))
	}
	timer.Every(clock, 100*time.Millisecond, func() { begin(clock.Now()) })
	clock.Advance(span)
	t.Logf("over %v: %v bytes, a chat waited %v at most", span, sent, maxWait)
	if maxWait > 50*time.Millisecond {
		t.Errorf("a chat waited %v for the link", maxWait)
	}
	if started < 30 {
		t.Errorf("deferrable work of others could start in %d of 60 seconds", started)
	}
	total := sent["greedy"] + sent["control"] + sent["chats"]
	if maxBytes := rate * (span + burstTime).Seconds(); float64(total) > maxBytes+chunk {
		t.Errorf("%d bytes crossed, the rate allows %.0f", total, maxBytes)
	}
	if float64(total) < 0.9*rate*span.Seconds() {
		t.Errorf("%d bytes crossed, less than nine tenths of the rate", total)
	}
}

// TestTenantsTakeTurns checks that two tenants, one with fifty bodies in transfer and the
// other with one, get about the same number of bytes.
func TestTenantsTakeTurns(t *testing.T) {
	const chunk = 4 << 10
	l, clock := newLink()
	sent := make(map[string]int)
	var body func(tenant string)
	body = func(tenant string) {
		l.Request(Out, Deferrable, tenant, chunk, func() {
			sent[tenant] += chunk
			clock.After(0, func() { body(tenant) })
		})
	}
	for range 50 {
		body("many")
	}
	body("one")
	clock.Advance(20 * time.Second)
	if sent["one"]*2 < sent["many"] {
		t.Errorf("one body got %d bytes, fifty of another tenant %d", sent["one"], sent["many"])
	}
}

// TestOpensAgain checks that the listener is called when the link opens after new work was
// not allowed to cross.
func TestOpensAgain(t *testing.T) {
	l, clock := newLink()
	var opened []time.Duration
	l.OnOpen(func() { opened = append(opened, clock.Now().Sub(start)) })
	l.Charge(In, 3*rate)
	if l.Open(Interactive) || !l.Open(Control) {
		t.Error("an overdrawn link accepts new work or blocks control traffic")
	}
	clock.Advance(time.Minute)
	if diff := cmp.Diff([]time.Duration{2*time.Second + time.Millisecond}, opened); diff != "" {
		t.Errorf("opened (-want +got):\n%s", diff)
	}
	if !l.Open(Deferrable) {
		t.Error("the link is closed after a minute without traffic")
	}
}

// TestCancelledWaiterLeavesQueue checks that a body whose caller is gone is not charged.
func TestCancelledWaiterLeavesQueue(t *testing.T) {
	l, clock := newLink()
	l.Charge(Out, 2*rate)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Acquire(ctx, Out, Interactive, "t", 1000); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	granted := false
	l.Request(Out, Interactive, "t", 1000, func() { granted = true })
	clock.Advance(1100 * time.Millisecond)
	if !granted {
		t.Error("the next waiter was not granted")
	}
}

// TestNoLimit checks that nothing waits on a link without a limit.
func TestNoLimit(t *testing.T) {
	l := New(Settings{Share: 0.5}, timer.NewVirtual(start))
	l.Charge(Out, 1<<40)
	if err := l.Acquire(context.Background(), Out, Deferrable, "t", 1<<30); err != nil || !l.Open(Deferrable) {
		t.Errorf("a link without a limit blocks: %v", err)
	}
}

// TestRandomTraffic compares random traffic with an oracle: nothing is granted beyond the rate,
// no waiter is granted twice or after giving up, the parts of one tenant and priority are
// granted in order, and all waiters are granted in the end.
func TestRandomTraffic(t *testing.T) {
	type part struct {
		tenant           string
		priority         Priority
		granted, givenUp bool
		giveUp           func()
	}
	rapid.Check(t, func(t *rapid.T) {
		l, clock := newLink()
		entries, allowed, charged, since := 1, float64(rate), 0.0, clock.Now()
		var parts []*part
		earn := func() {
			allowed += clock.Now().Sub(since).Seconds() * rate / float64(entries)
			since = clock.Now()
		}
		ask := func(t *rapid.T) {
			p := &part{
				tenant:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
				priority: rapid.SampledFrom([]Priority{Interactive, Deferrable}).Draw(t, "priority"),
			}
			n := rapid.IntRange(1, 16<<10).Draw(t, "bytes")
			parts = append(parts, p)
			p.giveUp = l.Request(Out, p.priority, p.tenant, n, func() {
				earn()
				if p.granted || p.givenUp {
					t.Fatalf("granted twice or after giving up")
				}
				for _, earlier := range parts {
					if earlier == p {
						break
					}
					if earlier.tenant == p.tenant && earlier.priority == p.priority && !earlier.granted && !earlier.givenUp {
						t.Fatalf("%s was granted out of turn", p.tenant)
					}
				}
				if charged > allowed {
					t.Fatalf("granted after %.0f bytes, the rate allowed %.0f", charged, allowed)
				}
				p.granted = true
				charged += float64(n)
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": ask,
			"control": func(t *rapid.T) {
				n := rapid.IntRange(1, rate).Draw(t, "bytes")
				l.Charge(Out, n)
				charged += float64(n)
			},
			"giveUp": func(t *rapid.T) {
				if len(parts) == 0 {
					t.Skip("nothing was asked for")
				}
				p := parts[rapid.IntRange(0, len(parts)-1).Draw(t, "part")]
				p.givenUp = p.givenUp || !p.granted
				p.giveUp()
			},
			"entries": func(t *rapid.T) {
				earn()
				entries = rapid.IntRange(1, 8).Draw(t, "entries")
				l.SetEntries(entries)
			},
			"pass": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		clock.Advance(time.Hour)
		for _, p := range parts {
			if !p.granted && !p.givenUp {
				t.Fatalf("a part of %s was never granted", p.tenant)
			}
		}
	})
}
