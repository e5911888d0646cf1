package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// chaos decides at random, from a seed, what goes wrong at the fake engines, and
// remembers which questions an engine began to work on.
type chaos struct {
	mu     sync.Mutex
	random *rand.Rand
	begun  map[string]int
	// cut, refuse, silent, cross, gap and repeat are shares of chunks or calls.
	cut, refuse, silent, cross, gap, repeat float64
}

func newChaos(seed uint64) *chaos {
	return &chaos{random: rand.New(rand.NewPCG(seed, 3)), begun: make(map[string]int)}
}

func (c *chaos) chance(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < share
}

func (c *chaos) fault(_ netip.AddrPort, req wire.GenerateRequest, index int) error {
	if index < 0 {
		if c.chance(c.refuse) {
			return &front.CallError{NotRun: true, Reason: "noReplica", Gone: true}
		}
		c.mu.Lock()
		c.begun[question(req)]++
		c.mu.Unlock()
		return nil
	}
	switch {
	case c.chance(c.cut):
		return errors.New("connection reset")
	case c.chance(c.silent):
		return errSilent
	}
	return nil
}

func (c *chaos) alter(_ netip.AddrPort, chunk wire.Chunk) []wire.Chunk {
	switch {
	case c.chance(c.cross):
		stray := chunk
		stray.RequestID = "someone-else"
		stray.Text = "stolen"
		return []wire.Chunk{stray, chunk}
	case c.chance(c.gap):
		return nil
	case c.chance(c.repeat):
		return []wire.Chunk{chunk, chunk}
	}
	return []wire.Chunk{chunk}
}

func question(req wire.GenerateRequest) string {
	return req.Messages[len(req.Messages)-1].Content
}

// caller is one request with what it must get.
type caller struct {
	question string
	tokens   int
	stream   bool
	within   time.Duration
	leave    time.Duration
}

func (c caller) body() string {
	return fmt.Sprintf(`{"model":"menu","messages":[{"role":"user","content":%q}],"max_tokens":%d,"seed":1,"stream":%v}`,
		c.question, c.tokens, c.stream)
}

func (c caller) want() string {
	req := wire.GenerateRequest{Model: "menu", Messages: []wire.Message{{Content: c.question}}, Seed: 1}
	text := ""
	for i := range c.tokens {
		text += token(req, i)
	}
	return text
}

// verify returns what is wrong with an answer, empty if nothing is.
func (c caller) verify(resp *http.Response, body string, begun int) string {
	switch {
	case resp.Header.Get("Content-Type") == "application/problem+json":
		return verifyProblem(body, begun)
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d without a problem document", resp.StatusCode)
	case c.stream:
		return c.verifyEvents(body)
	}
	var got struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(body), &got); err != nil || got.Choices[0].Message.Content != c.want() {
		return fmt.Sprintf("got %q (%v), want %q", body, err, c.want())
	}
	return ""
}

func verifyProblem(body string, begun int) string {
	var p front.Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		return err.Error()
	}
	if p.NotRun && begun > 0 {
		return fmt.Sprintf("%s says notRun after %d executions", p.Reason, begun)
	}
	if p.NotRun == p.OutcomeUnknown {
		return fmt.Sprintf("%s says both or neither of notRun and outcomeUnknown", p.Reason)
	}
	return ""
}

func (c caller) verifyEvents(body string) string {
	text, done, failed := "", false, false
	for _, event := range strings.Split(strings.TrimSpace(body), "\n\n") {
		switch {
		case done || failed:
			return "something follows the end: " + event
		case event == "data: [DONE]":
			done = true
		case strings.HasPrefix(event, "event: error"):
			failed = true
		default:
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk); err != nil {
				return err.Error()
			}
			text += chunk.Choices[0].Delta.Content
		}
	}
	switch {
	case done == failed:
		return "a stream ended without an end mark or an error"
	case done && text != c.want():
		return fmt.Sprintf("end mark after %q, want %q", text, c.want())
	case !strings.HasPrefix(c.want(), text):
		return fmt.Sprintf("got %q of %q", text, c.want())
	}
	return ""
}

// TestOwnWholeAnswers lets many callers at failing engines and compares what
// each one gets with what was generated for it.
func TestOwnWholeAnswers(t *testing.T) {
	faults := map[string]func(*chaos){
		"none":    func(*chaos) {},
		"cut":     func(c *chaos) { c.cut = 0.03 },
		"refused": func(c *chaos) { c.refuse = 0.4 },
		"silent":  func(c *chaos) { c.silent = 0.01 },
		"crossed": func(c *chaos) { c.cross = 0.05 },
		"gaps":    func(c *chaos) { c.gap = 0.03 },
		"repeats": func(c *chaos) { c.repeat = 0.2 },
		"all": func(c *chaos) {
			c.cut, c.refuse, c.silent, c.cross, c.gap, c.repeat = 0.01, 0.1, 0.005, 0.01, 0.01, 0.1
		},
	}
	for name, set := range faults {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCallers(t, seed, set) })
			})
		}
	}
}

func runCallers(t *testing.T, seed uint64, set func(*chaos)) {
	c := newChaos(seed)
	set(c)
	r := newRig(t, func(r *rig) {
		r.engine.fault, r.engine.alter, r.engine.pause = c.fault, c.alter, 20*time.Millisecond
	})
	defer r.driver.Stop()
	var rows []ports.Replica
	for i := range 4 {
		rows = append(rows, replicaRow(fmt.Sprintf("r%d", i), "menu", uint16(9000+i)))
	}
	r.rows(1, rows...)
	random := rand.New(rand.NewPCG(seed, 9))
	var wg sync.WaitGroup
	for i := range 60 {
		caller := caller{
			question: fmt.Sprintf("q%d", i), tokens: 1 + random.IntN(20), stream: random.IntN(2) == 0,
			within: time.Duration(1+random.IntN(15)) * time.Second,
		}
		if random.IntN(8) == 0 {
			caller.leave = time.Duration(random.IntN(500)) * time.Millisecond
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.call(t, c, caller)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	if n := r.table.InFlight("menu"); n != 0 {
		t.Errorf("%d places were never given back", n)
	}
	if n := r.handler.InFlight(); n != 0 || len(r.outcomes) != 60 {
		t.Errorf("%d in flight and %d outcomes after 60 requests", n, len(r.outcomes))
	}
}

func (r *rig) call(t *testing.T, c *chaos, caller caller) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if caller.leave > 0 {
		time.AfterFunc(caller.leave, cancel)
	}
	req := httptest.NewRequestWithContext(ctx, "POST", "/v1/chat/completions", strings.NewReader(caller.body()))
	req.Header.Set("X-Deadline", caller.within.String())
	w := httptest.NewRecorder()
	start := time.Now()
	r.handler.ServeHTTP(w, req)
	if took := time.Since(start); took >= caller.within {
		t.Errorf("%s took %v, deadline %v", caller.question, took, caller.within)
	}
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	begun := c.begun[caller.question]
	c.mu.Unlock()
	if wrong := caller.verify(w.Result(), w.Body.String(), begun); wrong != "" {
		t.Errorf("%s: %s", caller.question, wrong)
	}
}
