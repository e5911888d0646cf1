package edge

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

const (
	// limitContact is how long after a limit was first named it need not be kept.
	limitContact = 3 * time.Second
	// limitUse is the least part of a limit that is used while demand is above it.
	limitUse = 0.8
)

// press has callers at every instance ask again and again until the returned function is
// called, which returns what became of the requests.
func (r *rig) press(path, model string, callers int) (stop func() []pressed) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []pressed
	for _, e := range r.edges {
		for range callers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					c := r.pressOnce(ctx, e, path, model, n)
					mu.Lock()
					all = append(all, c)
					mu.Unlock()
					// Few callers wait for as long as they are told to.
					sleep(ctx, 150*time.Millisecond)
				}
			})
		}
	}
	return func() []pressed {
		cancel()
		wg.Wait()
		return all
	}
}

// pressed is a request of press.
type pressed struct {
	status     int
	began      time.Time
	took       time.Duration
	retryAfter string
}

func (r *rig) pressOnce(ctx context.Context, e *Edge, path, model string, n int) pressed {
	c := fake.Call{ID: strings.Join([]string{e.boot.Instance, model, strconv.Itoa(n)}, "-"), Path: path, Model: model, Body: "body"}
	p := pressed{began: time.Now()}
	status, header, _ := r.send(ctx, e, c)
	p.status, p.retryAfter, p.took = status, header.Get("Retry-After"), time.Since(p.began)
	return p
}

// checkLimit checks the arrivals at a target that has named a limit: not more than the
// rule allows in any window, and in all at least leastUse of the limit.
func checkLimit(t *testing.T, target *fake.Target, perSecond float64, from, to time.Time, leastUse float64) {
	t.Helper()
	arrivals := target.ArrivalsAfter(from)
	most, at := fake.MostArrivals(arrivals)
	if allowed := fake.AllowedArrivals(perSecond); most > allowed {
		t.Errorf("%s got %d requests in the %v from %v on, allowed %d", target.ID, most, fake.LimitWindow, at.Sub(from), allowed)
	}
	if least := leastUse * perSecond * to.Sub(from).Seconds(); float64(len(arrivals)) < least {
		t.Errorf("%s got %d requests in %v, of at least %.0f that it takes", target.ID, len(arrivals), to.Sub(from), least)
	}
}

// checkRefusals checks that requests that could not be served were refused at once, with
// the time after which to come back, and that none was held until its route's timeout.
func checkRefusals(t *testing.T, all []pressed, from time.Time, least int) {
	t.Helper()
	refused, slow := 0, 0
	for _, p := range all {
		if p.status != http.StatusServiceUnavailable || p.began.Before(from) {
			continue
		}
		refused++
		if p.took > time.Second {
			slow++
		}
		if after, err := strconv.ParseFloat(p.retryAfter, 64); err != nil || after <= 0 {
			t.Errorf("refused with Retry-After %q", p.retryAfter)
		}
	}
	if refused < least || slow > refused/20 {
		t.Errorf("%d of %d refusals took over a second; wanted at least %d refusals", slow, refused, least)
	}
}

// onlyTarget removes the other target of a service, so that its models cannot be loaded
// elsewhere.
func (r *rig) onlyTarget(id, other string) *fake.Target {
	r.store.Unlist(other)
	return r.targets[id]
}

// TestFleetKeepsTheLimitOfATarget guards against a target getting more than the requests
// a second that it has named for all instances together.
func TestFleetKeepsTheLimitOfATarget(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		// leastRefused is 0 where all callers can wait for their turn.
		leastRefused int
	}{{1.5, 20}, {50, 0}} {
		perSecond := c.perSecond
		t.Run(strconv.FormatFloat(perSecond, 'f', -1, 64), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 8)
			only := r.onlyTarget("e1", "e2")
			stop := r.press("/chat/", "m1", 3)
			time.Sleep(time.Second)
			only.NameLimit(perSecond)
			from := time.Now().Add(limitContact)
			time.Sleep(limitContact + 2*fake.LimitWindow)
			to := time.Now()
			checkRefusals(t, stop(), from, c.leastRefused)
			checkLimit(t, only, perSecond, from, to, limitUse)
		})
	}
}

// TestLimitWhileTheHolderIsLost guards against a target getting more than its limit when
// the lease holder, which issues the permits, is killed just after the limit was named,
// and when an instance starts that has never heard of it.
func TestLimitWhileTheHolderIsLost(t *testing.T) {
	t.Parallel()
	const perSecond = 3
	r := newRig(t, 6)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	only, lost := r.onlyTarget("e1", "e2"), r.holder(nil)
	stop := r.press("/chat/", "m1", 2)
	time.Sleep(time.Second)
	only.NameLimit(perSecond)
	from := time.Now().Add(limitContact)
	time.Sleep(200 * time.Millisecond)
	lost.kill()
	r.eventually("a new holder is elected", func() bool { return r.holder(lost) != nil })
	r.start()
	stopAll := r.press("/chat/", "m1", 2)
	time.Sleep(2 * fake.LimitWindow)
	stop()
	stopAll()
	checkLimit(t, only, perSecond, from, time.Now(), 0)
}

// TestOthersServeWhatALimitLeaves has one of two targets of a service name a limit far
// below the demand. The other must serve the rest, and no request may be refused.
func TestOthersServeWhatALimitLeaves(t *testing.T) {
	t.Parallel()
	const perSecond = 1.5
	r := newRig(t, 4)
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	limited := r.targets["d1"]
	time.Sleep(2 * exchangeInterval)
	limited.NameLimit(perSecond)
	from := time.Now().Add(limitContact)
	stop := r.press("/app/", "", 3)
	time.Sleep(limitContact + 2*fake.LimitWindow)
	for _, p := range stop() {
		if p.status != http.StatusOK && p.status != 0 {
			t.Errorf("a request was answered %d, %v after the limit was named", p.status, p.began.Sub(from)+limitContact)
		}
	}
	checkLimit(t, limited, perSecond, from, time.Now(), limitUse)
}

// TestLimitEnds checks that a limit is not kept for longer than the target names it.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	r := newRig(t, 3)
	only := r.onlyTarget("e1", "e2")
	only.NameLimit(1.5)
	stop := r.press("/chat/", "m1", 3)
	time.Sleep(limitContact)
	only.NameLimitText("")
	time.Sleep(limitContact)
	from := time.Now()
	time.Sleep(time.Second)
	stop()
	if n := len(only.ArrivalsAfter(from)); n < 20 {
		t.Errorf("%d requests in a second, %v after a limit of 1.5 has ended", n, limitContact)
	}
}

// TestLimitedModelIsServedElsewhere has the only target with a model name a limit far
// below the demand, while another target has room: the model must be loaded there.
func TestLimitedModelIsServedElsewhere(t *testing.T) {
	t.Parallel()
	const perSecond = 1.5
	r := newRig(t, 4)
	limited := r.targets["e1"]
	stop := r.press("/chat/", "m1", 2)
	limited.NameLimit(perSecond)
	from := time.Now().Add(limitContact)
	r.eventually("the model is loaded elsewhere", func() bool { return slices.Contains(r.targets["e2"].Models(), "m1") })
	time.Sleep(time.Second)
	served := time.Now()
	time.Sleep(2 * fake.LimitWindow)
	for _, p := range stop() {
		if p.began.After(served) && p.status != http.StatusOK && p.status != 0 {
			t.Errorf("a request was answered %d", p.status)
		}
	}
	// The first copy may have been unloaded by then, for a model that nobody serves.
	checkLimit(t, limited, perSecond, from, time.Now(), 0)
}
