package budget

import (
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/state/timer"
)

const testBudget = 1 << 20

// TestAccountReturnsToZero guards against bytes that are not given back on some path, and
// against a budget that is exceeded.
func TestAccountReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := timer.NewVirtual(time.Unix(0, 0))
		a := NewAccount(testBudget, c.Now)
		var held []*Holding
		revoked := make(map[*Holding]bool)
		// withOne does something with one of the holdings if there are any.
		withOne := func(do func(*rapid.T, *Holding)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(held) > 0 {
					do(t, held[rapid.IntRange(0, len(held)-1).Draw(t, "which")])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				h := new(Holding)
				a.Open(h, rapid.SampledFrom(Uses()).Draw(t, "use"), func(bool) {
					if revoked[h] {
						t.Fatal("revoked twice")
					}
					revoked[h] = true
				})
				held = append(held, h)
			},
			"reserve": withOne(func(t *rapid.T, h *Holding) {
				h.Reserve(rapid.Int64Range(0, testBudget/4).Draw(t, "bytes"))
			}),
			"release": withOne(func(t *rapid.T, h *Holding) {
				h.Release(rapid.Int64Range(0, testBudget).Draw(t, "bytes"))
			}),
			"complete": withOne(func(t *rapid.T, h *Holding) {
				if h.Complete() == revoked[h] {
					t.Fatal("complete and revoked")
				}
			}),
			"close":  withOne(func(_ *rapid.T, h *Holding) { h.Close() }),
			"revoke": func(*rapid.T) { a.RevokeBody() },
			"wait":   func(t *rapid.T) { c.Advance(stallTime / 2) },
			"": func(t *rapid.T) {
				if a.total > testBudget || a.total < 0 || a.large > share(testBudget, largeShare) {
					t.Fatalf("%d bytes held, %d of them by large arrivals", a.total, a.large)
				}
			},
		})
		for _, h := range held {
			h.Close()
		}
		if a.used != [uses]int64{} || a.total != 0 || a.large != 0 || a.revoked != 0 || a.arriving.next != &a.arriving {
			t.Fatalf("after all have gone: used %v, total %d, large %d, revoked %d", a.used, a.total, a.large, a.revoked)
		}
	})
}

// TestWhoGetsBytes guards against large bodies that take what small requests and answers
// need, and against a victim that is not the one to release first.
func TestWhoGetsBytes(t *testing.T) {
	c := timer.NewVirtual(time.Unix(0, 0))
	a := NewAccount(testBudget, c.Now)
	var victim string
	open := func(name string, use Use) *Holding {
		h := new(Holding)
		a.Open(h, use, func(stalled bool) {
			victim = name
			if stalled {
				victim += " stalled"
			}
		})
		return h
	}
	expect := func(what string, got, want Decision, revoked string) {
		t.Helper()
		if got != want || victim != revoked {
			t.Errorf("%s: decision %d, revoked %q, want %d and %q", what, got, victim, want, revoked)
		}
	}
	first, second, third := open("first", Bodies), open("second", Bodies), open("third", Bodies)
	expect("first", first.Reserve(300_000), Granted, "")
	expect("second", second.Reserve(200_000), Granted, "")
	expect("beyond the part of large bodies", third.Reserve(150_000), Wait, "first")
	expect("while the bytes are still held", third.Reserve(150_000), Wait, "first")
	first.Close()
	expect("after that", third.Reserve(150_000), Granted, "first")
	expect("the largest itself", second.Reserve(300_000), Refused, "first")
	expect("a small body", open("small", Bodies).Reserve(SmallBytes), Granted, "first")
	c.Advance(stallTime)
	expect("one has stopped", second.Reserve(300_000), Wait, "third stalled")
	third.Close()
	expect("an answer", open("answer", Answers).Reserve(testBudget/2), Granted, "third stalled")
	if !second.Complete() {
		t.Error("second is revoked")
	}
	answer := open("more", Answers)
	expect("an answer before arrivals", answer.Reserve(testBudget/3), Wait, "small stalled")
}

// TestRevokeBody guards against connections that are held by bodies that hardly arrive, and
// against a body that is revoked while it arrives as fast as others.
func TestRevokeBody(t *testing.T) {
	c := timer.NewVirtual(time.Unix(0, 0))
	a := NewAccount(0, c.Now)
	var revoked []string
	holdings := make(map[string]*Holding)
	for _, name := range []string{"whole", "slow", "stopped", "new"} {
		h := new(Holding)
		a.Open(h, Bodies, func(bool) { revoked = append(revoked, name) })
		holdings[name] = h
	}
	for _, name := range []string{"whole", "slow", "stopped"} {
		holdings[name].Reserve(1000)
	}
	holdings["whole"].Complete()
	for range int(slowTime / stallTime) {
		c.Advance(stallTime)
		holdings["slow"].Progress()
	}
	got := []bool{a.RevokeBody(), a.RevokeBody(), a.RevokeBody()}
	if want := []bool{true, true, false}; !slices.Equal(got, want) || !slices.Equal(revoked, []string{"stopped", "slow"}) {
		t.Errorf("revoked %v in %v", revoked, got)
	}
}

// TestAccountTogether guards against races between owners and those that revoke.
func TestAccountTogether(t *testing.T) {
	a := NewAccount(testBudget, time.Now)
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			for range 500 {
				var h Holding
				a.Open(&h, Uses()[n%int(uses)], func(bool) {})
				for range 4 {
					h.Reserve(testBudget / 16)
				}
				h.Complete()
				h.Close()
			}
		})
	}
	all.Wait()
	if a.total != 0 || a.revoked != 0 {
		t.Errorf("%d bytes held, %d revoked", a.total, a.revoked)
	}
}

// BenchmarkRequest measures the account of one request with a small head and body.
func BenchmarkRequest(b *testing.B) {
	a := NewAccount(testBudget, time.Now)
	var head, body, answer Holding
	for b.Loop() {
		a.Open(&head, Heads, func(bool) {})
		head.Reserve(10_000)
		head.Complete()
		a.Open(&body, Bodies, func(bool) {})
		body.Reserve(3_000)
		body.Complete()
		a.Open(&answer, Answers, nil)
		answer.Reserve(3_000)
		answer.Close()
		body.Close()
		head.Close()
	}
}

// BenchmarkEvent measures the account of one event of a stream.
func BenchmarkEvent(b *testing.B) {
	a := NewAccount(testBudget, time.Now)
	var h Holding
	a.Open(&h, Streams, nil)
	for b.Loop() {
		h.Reserve(400)
		h.Release(400)
	}
}
