package proxy_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/usage"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform/fake"
)

// fakePermits records what is asked for and returned, and answers with outcome.
type fakePermits struct {
	mu       sync.Mutex
	outcome  usage.Outcome
	asked    []float64
	returned int
	patience time.Duration
	// expired is the number of permits that have expired when they are checked.
	expired int
}

func (p *fakePermits) Acquire(_ context.Context, d usage.Demand, patience time.Duration) (usage.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, d.Amount)
	p.patience = patience
	return p.outcome, nil
}

func (p *fakePermits) IsValid(usage.Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expired--
	return p.expired < 0
}

func (p *fakePermits) Return(usage.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned++
}

// withPermits gives the rig a team with a quota.
func (r *rig) withPermits(p *fakePermits) {
	r.config.Teams = []fleet.Team{{Name: "t", Keys: []fleet.KeyDigest{fleet.DigestKey("k")}, Unit: fleet.UnitTokens, Rate: 1000, Burst: 1000, PlainTokens: 200}}
	if err := r.config.Index(); err != nil {
		r.t.Fatal(err)
	}
	r.serve(proxy.WithPermits(p))
}

func withUsage(tokens string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Authorization", "bearer k")
		if tokens != "" {
			r.Header.Set("Chivecroft-Token-Usage", tokens)
		}
	}
}

// TestPermitsOfRequests lists how requests end, how much they ask for and what they return:
// a request must be sent only under a permit and return it if it never ran.
func TestPermitsOfRequests(t *testing.T) {
	over := usage.Outcome{Status: usage.OverQuota, RetryAfter: 1250 * time.Millisecond}
	for _, c := range []struct {
		name       string
		tokens     string
		outcome    usage.Outcome
		behave     http.HandlerFunc
		expired    int
		status     int
		retryAfter string
		asked      []float64
		returned   int
		runs       int
	}{
		{name: "answered", tokens: "300,100", status: 200, asked: []float64{400}, runs: 1},
		{name: "plain", status: 200, asked: []float64{200}, runs: 1},
		{name: "over the quota", outcome: over, status: 429, retryAfter: "1.26", asked: []float64{200}},
		{name: "over the burst", outcome: usage.Outcome{Status: usage.OverBurst}, status: 429, asked: []float64{200}},
		{name: "no holder", outcome: usage.Outcome{Status: usage.NoHolder}, status: 503, retryAfter: "1.00", asked: []float64{200}},
		{name: "not run", behave: fake.Refuse, status: 503, retryAfter: "0.50", asked: []float64{200}, returned: 1},
		{name: "expired in the queue", expired: 1, status: 200, asked: []float64{200, 200}, returned: 1, runs: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := fake.NewTarget(t, "near", "a1", 0)
			r := newRig(t, target)
			p := &fakePermits{outcome: c.outcome, expired: c.expired}
			r.withPermits(p)
			runs := 0
			target.Behave(func(w http.ResponseWriter, req *http.Request) {
				if c.behave != nil {
					c.behave(w, req)
					return
				}
				runs++
				target.Sign(w, req)
			})
			got, header := r.call("/unsafe/", withUsage(c.tokens))
			if got.Status != c.status || header.Get("Retry-After") != c.retryAfter || runs != c.runs || p.returned != c.returned {
				t.Errorf("status %d, Retry-After %q, %d runs, %d returned", got.Status, header.Get("Retry-After"), runs, p.returned)
			}
			if diff := cmp.Diff(c.asked, p.asked); diff != "" {
				t.Errorf("asked for (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRepeatNeedsNoPermit breaks off the first send of a request that may be repeated.
func TestRepeatNeedsNoPermit(t *testing.T) {
	near, far := newTwoTargets(t)
	r := newRig(t, near, far)
	p := &fakePermits{}
	r.withPermits(p)
	near.Behave(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if got, _ := r.call("/safe/", withUsage("")); got.Status != http.StatusOK || len(p.asked) != 1 || p.returned != 0 {
		t.Errorf("status %d, %d permits, %d returned", got.Status, len(p.asked), p.returned)
	}
}

// TestPermitPatience checks that the wait for a permit leaves half of the route's goal, and
// that requests without a team ask for none.
func TestPermitPatience(t *testing.T) {
	r := newRig(t, fake.NewTarget(t, "near", "a1", 0))
	p := &fakePermits{}
	r.setGoals(300*time.Millisecond, 0)
	r.withPermits(p)
	r.call("/stream/")
	if len(p.asked) != 0 {
		t.Error("a request without a team has asked for a permit")
	}
	r.call("/stream/", withUsage(""))
	if p.patience != 150*time.Millisecond {
		t.Errorf("patience %v", p.patience)
	}
}
