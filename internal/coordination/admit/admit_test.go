package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/state/config"
)

var start = time.Unix(1000, 0)

// TestSharedLimits counts the calls that a tenant is granted in a zone of four entries, also
// while entries have a wrong number of entries.
func TestSharedLimits(t *testing.T) {
	tenant := config.Tenant{RequestsPerSecond: 100, Concurrency: 40}
	table := []struct {
		name string
		// known is the number of entries that each entry assumes, 0 for a dead entry; calls is
		// the number of calls that the tenant sends to each in a second, spread evenly.
		known, calls []int
		rate         int
		concurrency  int
	}{
		{"even", []int{4, 4, 4, 4}, []int{100, 100, 100, 100}, 100, 40},
		{"all at one entry", []int{4, 4, 4, 4}, []int{400, 0, 0, 0}, 25, 10},
		{"one does not know of the others", []int{1, 4, 4, 4}, []int{400, 100, 100, 100}, 175, 70},
		{"two have died unnoticed", []int{4, 4, 0, 0}, []int{200, 200, 0, 0}, 50, 20},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			rate, concurrency := 0, 0
			for i, known := range c.known {
				if known == 0 {
					continue
				}
				limits := admit.NewTenantLimits()
				limits.SetEntries(known)
				rate += countGrants(limits, config.Tenant{RequestsPerSecond: tenant.RequestsPerSecond}, c.calls[i])
				concurrency += countConcurrent(limits, config.Tenant{Concurrency: tenant.Concurrency}, c.calls[i])
			}
			got := fmt.Sprint(rate, " a second, ", concurrency, " at a time")
			want := fmt.Sprint(c.rate, " a second, ", c.concurrency, " at a time")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("granted (-want +got):\n%s", diff)
			}
		})
	}
}

// countGrants returns the number of calls granted in the second after the burst is used up.
func countGrants(l *admit.TenantLimits, tenant config.Tenant, calls int) int {
	granted := 0
	for second := range 2 {
		granted = 0
		for i := range calls {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(calls))
			if release, refused := l.Admit("vendors", tenant, now); refused == nil {
				granted++
				release()
			}
		}
	}
	return granted
}

// countConcurrent returns the number of calls granted if none of them ends.
func countConcurrent(l *admit.TenantLimits, tenant config.Tenant, calls int) int {
	n := 0
	for range calls {
		if _, refused := l.Admit("clerks", tenant, start); refused == nil {
			n++
		}
	}
	return n
}

// TestRetryAfterIsTrue checks that a call which is retried after the time in a refusal is
// granted.
func TestRetryAfterIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := admit.NewTenantLimits()
		l.SetEntries(rapid.IntRange(1, 9).Draw(t, "entries"))
		tenant := config.Tenant{RequestsPerSecond: rapid.Float64Range(0.1, 500).Draw(t, "rate")}
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			_, refused := l.Admit("vendors", tenant, now)
			if refused == nil {
				continue
			}
			now = now.Add(refused.RetryAfter + time.Microsecond)
			if _, again := l.Admit("vendors", tenant, now); again != nil {
				t.Fatalf("refused again after %v", refused.RetryAfter)
			}
		}
	})
}

// TestShedderAcceptsBursts checks that nothing is refused for a burst that is served within
// the interval, and that a standing queue sheds deferrable requests longer than the others.
func TestShedderAcceptsBursts(t *testing.T) {
	var s admit.Shedder
	now := start
	run := func(steps int, wait func(i int) time.Duration) (deferrable, urgent int) {
		for i := range steps {
			now = now.Add(10 * time.Millisecond)
			s.Observe(now, wait(i))
			if s.ShouldShed(now, config.ClassDeferrable, false) {
				deferrable++
			}
			if s.ShouldShed(now, config.ClassInteractive, false) {
				urgent++
			}
		}
		return deferrable, urgent
	}
	burst := func(i int) time.Duration { return time.Duration(i%10) * 50 * time.Millisecond }
	standing := func(int) time.Duration { return 250 * time.Millisecond }
	none := func(int) time.Duration { return 0 }
	var got []string
	for _, phase := range []func(int) time.Duration{burst, standing, standing, none, none, none, none} {
		deferrable, urgent := run(200, phase)
		got = append(got, fmt.Sprintf("deferrable %t, urgent %t", deferrable > 0, urgent > 0))
	}
	want := []string{
		"deferrable false, urgent false", "deferrable true, urgent true", "deferrable true, urgent true",
		// The pressure takes 5 s to fall from 2 to 0; the other classes are admitted once it is
		// at 1.
		"deferrable true, urgent true", "deferrable true, urgent true",
		"deferrable true, urgent false", "deferrable false, urgent false",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
}

// TestAdaptiveFindsCapacity offers a back end of unknown capacity as many calls as the limit
// allows and checks that the limit settles near the capacity.
func TestAdaptiveFindsCapacity(t *testing.T) {
	for _, capacity := range []int{20, 200} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			a := admit.NewAdaptiveLimit()
			now := start
			const service = 50 * time.Millisecond
			for range 200_000 {
				inFlight := a.Limit()
				// Above its capacity the latency of the back end grows in proportion.
				latency := service * time.Duration(max(inFlight, capacity)) / time.Duration(capacity)
				now = now.Add(latency / time.Duration(inFlight))
				a.Observe(now, latency, false, inFlight)
			}
			t.Logf("limit %d for a capacity of %d", a.Limit(), capacity)
			if got := a.Limit(); got < capacity/2 || got > 4*capacity {
				t.Errorf("limit %d for a capacity of %d", got, capacity)
			}
		})
	}
}
