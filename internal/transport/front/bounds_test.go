package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// TestBounds sends requests beyond each bound that a deployment sets; each gets
// its own refusal, none of which ran.
func TestBounds(t *testing.T) {
	r := newRig(t, func(r *rig) {
		r.bounds = front.Bounds{
			ChatBytes: 200, OnceBytes: 10, Deadline: 50 * time.Millisecond, DeferrableDeadline: 100 * time.Millisecond,
			MaxDeadline: 150 * time.Millisecond, InFlight: 1,
		}
		r.config.Services["assist"] = withoutDeadline(r.config.Services["assist"])
		r.config.Services["proofs"] = withoutDeadline(r.config.Services["proofs"])
	})
	chat := func(model string) string {
		return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hi"}]}`, model)
	}
	var got []string
	for _, c := range []struct{ name, path, body, deadline string }{
		{"long chat", "/v1/chat/completions", chat(strings.Repeat("x", 300)), ""},
		{"long ticket", "/services/tickets/issue", "01234567890", ""},
		{"no deadline", "/v1/chat/completions", chat("menu"), ""},
		{"deferrable", "/v1/chat/completions", chat("proof"), ""},
		{"long deadline", "/v1/chat/completions", chat("menu"), "1h"},
	} {
		began := time.Now()
		resp := r.do(http.MethodPost, c.path, c.body, "Idempotency-Key", "k", "X-Deadline", c.deadline)
		body := text(t, resp)
		waited := "at once"
		if time.Since(began) > 30*time.Millisecond {
			waited = "after a wait"
		}
		got = append(got, fmt.Sprintf("%s: %d %s notRun %t", c.name, resp.StatusCode, waited, strings.Contains(body, `"notRun":true`)))
		if time.Since(began) > time.Second {
			t.Errorf("%s: answered after %v", c.name, time.Since(began))
		}
	}
	want := []string{
		"long chat: 413 at once notRun true",
		"long ticket: 413 at once notRun true",
		"no deadline: 504 after a wait notRun true",
		"deferrable: 504 after a wait notRun true",
		"long deadline: 504 after a wait notRun true",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestInFlightBound holds one request and sends another.
func TestInFlightBound(t *testing.T) {
	r := newRig(t, func(r *rig) { r.bounds = front.Bounds{InFlight: 1} })
	const body = `{"model":"menu","messages":[{"role":"user","content":"hi"}]}`
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.do(http.MethodPost, "/v1/chat/completions", body, "X-Deadline", "500ms")
	}()
	for r.handler.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	resp := r.do(http.MethodPost, "/v1/chat/completions", body)
	got := fmt.Sprintf("%d retry after %s notRun %t", resp.StatusCode, resp.Header.Get("Retry-After"), strings.Contains(text(t, resp), `"notRun":true`))
	if diff := cmp.Diff("503 retry after 1 notRun true", got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	<-done
}

func withoutDeadline(s config.Service) config.Service {
	s.Deadline = 0
	return s
}
