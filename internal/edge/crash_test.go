package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/platform/fake"
)

const (
	// crashContact is how long after the fifth crash requests with the part may still
	// arrive at targets.
	crashContact = 3 * time.Second
	// crashBackTime is how long a target is down after a crash.
	crashBackTime = 800 * time.Millisecond
	// afterVerdict is how many requests with the part may arrive after that.
	afterVerdict = 3
	// crashTime is for how long callers send requests with the part.
	crashTime = 2*crashContact + 8*time.Second
	// verdictCrashes is the number of crashes after which time counts.
	verdictCrashes = 5
)

// crashRig is a fleet whose targets crash under some requests and come back.
type crashRig struct {
	*rig
	mu       sync.Mutex
	crashes  []time.Time
	deadly   []time.Time
	outcomes []crashOutcome
	isDeadly func(http.Header) bool
}

// crashOutcome is what became of one request.
type crashOutcome struct {
	began    time.Time
	took     time.Duration
	isDeadly bool
	isServed bool
}

// newCrashRig returns a fleet of instances and targets that all hold one model.
func newCrashRig(t *testing.T, instances, targets int) *crashRig {
	c := &crashRig{rig: newRig(t, instances)}
	for _, id := range []string{"e1", "e2"} {
		c.store.Unlist(id)
		delete(c.targets, id)
	}
	for i := range targets {
		c.addTarget(fake.NewTarget(t, fmt.Sprintf("g%d", i), "a1", 50*time.Millisecond, "m1"))
	}
	return c
}

func (c *crashRig) addTarget(f *fake.Target) {
	c.target("llm", f)
	f.Behave(func(w http.ResponseWriter, req *http.Request) { streamSlowly(w, req, f) })
	f.CrashOn(func(h http.Header) bool { return c.note(h) }, func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(crashBackTime, func() {
			f.Restart()
			c.store.List(c.t, f, "llm", "ready")
		})
	})
}

// streamSlowly answers with five events over a fifth of a second.
func streamSlowly(w http.ResponseWriter, req *http.Request, f *fake.Target) {
	f.Run(req)
	f.Sign(w, req)
	for id := fake.LastEvent(req) + 1; id <= 5; id++ {
		_, _ = io.WriteString(w, fake.Event(id))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(40 * time.Millisecond)
	}
}

// note records the arrival of a request that crashes its target.
func (c *crashRig) note(h http.Header) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDeadly == nil || !c.isDeadly(h) {
		return false
	}
	c.deadly = append(c.deadly, time.Now())
	return true
}

// setDeadly decides which requests crash targets from now on.
func (c *crashRig) setDeadly(isDeadly func(http.Header) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDeadly = isDeadly
}

// pressPrompts has callers at every instance send prompts until the returned function is
// called. prompt returns the parts of one request, the last excepted.
func (c *crashRig) pressPrompts(callers int, prompt func() []string) (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var wg sync.WaitGroup
	for _, e := range c.edges {
		for i := range callers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%s-%d-%d", e.boot.Instance, i, n)
					c.ask(ctx, e, id, append(prompt(), "own-"+id))
					sleep(ctx, time.Duration(50+rand.IntN(100))*time.Millisecond)
				}
			})
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// ask sends one request and records what became of it.
func (c *crashRig) ask(ctx context.Context, e *Edge, id string, parts []string) {
	call := fake.Call{ID: id, Path: "/draft/", Model: "m1", Prompt: fake.Prompt(parts...), Within: 4 * time.Second}
	out := crashOutcome{began: time.Now()}
	status, _, body := c.send(ctx, e, call)
	out.isServed = status == http.StatusOK && len(body) > 0
	if ctx.Err() != nil {
		return
	}
	out.took = time.Since(out.began)
	c.mu.Lock()
	defer c.mu.Unlock()
	out.isDeadly = c.isDeadly != nil && c.isDeadly(http.Header{fake.PromptHeader: {call.Prompt}})
	c.outcomes = append(c.outcomes, out)
}

// verdictAt returns when the time counts from in which instances have to react: the fifth
// crash, or the last if there are fewer.
func (c *crashRig) verdictAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		c.t.Fatal("no target has crashed")
	}
	return c.crashes[min(len(c.crashes), verdictCrashes)-1]
}

// checkArrivals checks how many requests that crash targets have arrived since a time.
func (c *crashRig) checkArrivals(from time.Time, most int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(c.deadly), func(at time.Time) bool { return at.Before(from) })
	if len(late) > most {
		c.t.Errorf("%d requests that crash targets arrived later than %v after the fifth crash, allowed %d; %d crashes in all",
			len(late), crashContact, most, len(c.crashes))
	}
}

// logVerdicts logs, if the test has failed, when targets crashed and what instances have
// blocked.
func (c *crashRig) logVerdicts(began time.Time) {
	if !c.t.Failed() {
		return
	}
	for _, at := range c.crashes {
		c.t.Logf("crash after %v", at.Sub(began))
	}
	for _, e := range c.edges {
		for _, b := range e.crashes.Blocks() {
			c.t.Logf("%s blocked %s%s %d ms ago, lifted %t, %d ends", e.boot.Instance, b.Parts, b.Scope, b.AgeMS, b.Lifted, b.Ends)
		}
	}
}

// servedShare returns the share of sound requests sent within a span that were served.
func (c *crashRig) servedShare(from, to time.Time) (share float64, asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, o := range c.outcomes {
		if o.isDeadly || o.began.Before(from) || o.began.After(to) {
			continue
		}
		asked++
		if o.isServed {
			served++
		}
	}
	return float64(served) / float64(max(asked, 1)), asked
}

// drawPrompt returns prompts of one route: all begin with the same part, the next is the
// caller's, and one in some of those of one caller has the part that crashes targets.
func drawPrompt(deadlyShare float64) func() []string {
	return func() []string {
		caller := fmt.Sprintf("c%d", rand.IntN(5))
		if rand.Float64() < deadlyShare {
			return []string{"first", "c0", "bad"}
		}
		return []string{"first", caller, fmt.Sprintf("x%d", rand.IntN(30))}
	}
}

func hasBadPart(h http.Header) bool { return fake.HasPart(h, "bad") }

// TestPartThatCrashesTargets guards against requests with one part in their prompts
// crashing target after target, and against sound requests being refused with them.
func TestPartThatCrashesTargets(t *testing.T) {
	t.Parallel()
	for _, share := range []float64{0.05, 0.3} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			t.Parallel()
			c := newCrashRig(t, 6, 8)
			stop := c.pressPrompts(3, drawPrompt(share))
			time.Sleep(2 * time.Second)
			before, _ := c.servedShare(time.Time{}, time.Now())
			began := time.Now()
			defer func() { c.logVerdicts(began) }()
			c.setDeadly(hasBadPart)
			time.Sleep(crashTime)
			stop()
			verdict := c.verdictAt()
			c.checkArrivals(verdict.Add(crashContact), afterVerdict)
			share, asked := c.servedShare(verdict.Add(2*crashContact), time.Now())
			if asked < 20 || share < before {
				t.Errorf("%.3f of %d sound requests were served, %.3f before the first crash", share, asked, before)
			}
		})
	}
}

// TestBlockIsSeenAndLifted checks what an operator sees of a block at one instance, what a
// caller is told, and that lifting it at another instance lifts it everywhere.
func TestBlockIsSeenAndLifted(t *testing.T) {
	t.Parallel()
	c := newCrashRig(t, 3, 6)
	c.setDeadly(hasBadPart)
	stop := c.pressPrompts(2, drawPrompt(0.1))
	blocked := func(e *Edge) bool {
		return slices.ContainsFunc(e.crashes.Blocks(), func(b crash.Block) bool { return b.IsActive() })
	}
	all := func(want bool) func() bool {
		return func() bool { return !slices.ContainsFunc(c.edges, func(e *Edge) bool { return blocked(e) != want }) }
	}
	c.eventually("all instances block the part", all(true))
	c.setDeadly(nil)
	stop()
	status, header, _ := c.send(t.Context(), c.edges[0], fake.Call{ID: "asked", Path: "/draft/", Model: "m1", Prompt: fake.Prompt("first", "c0", "bad", "own")})
	if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); status != http.StatusServiceUnavailable || err != nil || after < 200 {
		t.Errorf("blocked request: %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	ask := func(handler http.HandlerFunc, method, path string) (int, string) {
		w := httptest.NewRecorder()
		handler(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	if status, body := ask(c.edges[1].serveBlocks, http.MethodGet, BlocksPath); status != http.StatusOK || !strings.Contains(body, `bad`) {
		t.Errorf("blocks: %d %s", status, body)
	}
	for _, wrong := range []struct{ method, path string }{{http.MethodGet, LiftPath + "?part=bad"}, {http.MethodPost, LiftPath}, {http.MethodPost, LiftPath + "?part=other"}} {
		if status, _ := ask(c.edges[1].serveLift, wrong.method, wrong.path); status < 400 {
			t.Errorf("%s %s: %d", wrong.method, wrong.path, status)
		}
	}
	if status, body := ask(c.edges[2].serveLift, http.MethodPost, LiftPath+"?part=bad"); status != http.StatusOK {
		t.Errorf("lift: %d %s", status, body)
	}
	c.eventually("no instance blocks the part", all(false))
	time.Sleep(time.Second)
	if !all(false)() {
		t.Error("an instance blocks the part again")
	}
}
