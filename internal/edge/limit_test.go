package edge

import (
	"context"
	"net/http"
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
	c := fake.Call{ID: strings.Join([]string{e.boot.Instance, model, strconv.Itoa(n)}, "-"), Host: "x.example", Path: path, Model: model, Body: "body"}
	p := pressed{began: time.Now()}
	req, err := c.Request(ctx, e.boot.Callers)
	if err != nil {
		r.t.Error(err)
		return p
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		p.status, p.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		resp.Body.Close()
	}
	p.took = time.Since(p.began)
	return p
}

// checkLimit checks the arrivals at a target that has named a limit: not more than the
// rule allows in any window, and not much less than the limit.
func checkLimit(t *testing.T, target *fake.Target, perSecond float64, from, to time.Time) {
	t.Helper()
	arrivals := target.ArrivalsAfter(from)
	most, at := fake.MostArrivals(arrivals)
	if allowed := fake.AllowedArrivals(perSecond); most > allowed {
		t.Errorf("%s got %d requests in the %v from %v on, allowed %d", target.ID, most, fake.LimitWindow, at.Sub(from), allowed)
	}
	if least := limitUse * perSecond * to.Sub(from).Seconds(); float64(len(arrivals)) < least {
		t.Errorf("%s got %d requests in %v, of at least %.0f that it takes", target.ID, len(arrivals), to.Sub(from), least)
	}
}

// TestFleetKeepsTheLimitOfATarget guards against a target getting more than the requests
// a second that it has named for all instances together.
func TestFleetKeepsTheLimitOfATarget(t *testing.T) {
	for _, perSecond := range []float64{1.5, 50} {
		t.Run(strconv.FormatFloat(perSecond, 'f', -1, 64), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 8)
			only := r.targets["e1"]
			stop := r.press("/chat/", "m1", 3)
			time.Sleep(time.Second)
			only.NameLimit(perSecond)
			from := time.Now().Add(limitContact)
			time.Sleep(limitContact + 2*fake.LimitWindow)
			to := time.Now()
			stop()
			checkLimit(t, only, perSecond, from, to)
		})
	}
}
