package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/stand/plain"
)

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// sse returns the events of an answer: one for each word, then the mark.
func sse(text, mark string) string {
	var b strings.Builder
	for _, word := range strings.SplitAfter(text, " ") {
		content, _ := json.Marshal(word)
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", content)
	}
	return b.String() + mark
}

const done = "data: [DONE]\n\n"

func TestChatVerdicts(t *testing.T) {
	chat := Chat{Model: "m", Adapter: "a", Content: "c", Seed: 4, Tokens: 16, Deadline: 200 * time.Millisecond}
	want := chat.Want()
	half := want[:strings.Index(want, " ")+1]
	failed := "event: error\ndata: {\"error\":{\"reason\":\"streamCut\"}}\n\n"
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"whole", answer(200, sse(want, done)), "served"},
		{"late", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * chat.Deadline)
			answer(200, sse(want, done))(w, r)
		}, "late"},
		{"whole without its end mark", answer(200, sse(want, "")), "cut no end mark"},
		{"half without its end mark", answer(200, sse(half, "")), "cut no end mark"},
		{"half and an error", answer(200, sse(half, failed)), "cut streamCut"},
		{"half with the end mark", answer(200, sse(half, done)), "wrong another text"},
		{"whole twice", answer(200, sse(want+want, done)), "wrong another text"},
		{"an error and the end mark", answer(200, sse(want, failed+done)), "wrong more than an end mark at the end"},
		{"more after the end mark", answer(200, sse(want, done+sse("x", ""))), "wrong more than an end mark at the end"},
		{"another answer, cut", answer(200, sse("other ", "")), "wrong another text before the cut"},
		{"damaged event", answer(200, sse(half, "data: {\n\n")), "cut unexpected end of JSON input"},
		{"refused", answer(503, `{"reason":"deadline","notRun":true}`), "refused deadline"},
		{"unknown", answer(502, `{"reason":"targetFailed","outcomeUnknown":true}`), "unknown targetFailed"},
		{"not said", answer(502, `{"reason":"targetFailed"}`), "unknown targetFailed"},
		{"repeated", answer(409, `{"reason":"inProgress","notRun":true}`), "repeated inProgress"},
		{"no problem document", answer(502, "<html>"), "lost status 502 without a problem document"},
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "lost EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			got := NewCaller(server.URL, "key", server.Client()).Chat(t.Context(), chat)
			if diff := cmp.Diff(tt.want, strings.TrimSpace(string(got.Verdict)+" "+got.Reason)); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

// fakeEntry serves the plain service below its path and refuses all chats.
func fakeEntry(t *testing.T, service *plain.Server) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/services/ticket-desk/", http.StripPrefix("/services/ticket-desk", atRoot(service.Handler())))
	mux.HandleFunc("/v1/chat/completions", answer(503, `{"reason":"noReplica","notRun":true}`))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// atRoot makes the request line agree with the stripped path.
func atRoot(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RequestURI = r.URL.RequestURI()
		h.ServeHTTP(w, r)
	})
}

// TestRunCountsDoubledRuns plays a run against an entry that passes every
// repeat on: the bench has to notice.
func TestRunCountsDoubledRuns(t *testing.T) {
	service := plain.New()
	control := httptest.NewServer(service.Handler())
	defer control.Close()
	d := Deployment{Entries: []string{fakeEntry(t, service)}, Services: []string{control.URL}}
	plan := NewPlan(Pulilan(), Load{Duration: time.Second, Rate: 60, Bursts: 1, Burst: 3, HotModels: 1}, 5)
	report, err := Run(t.Context(), d, Pulilan(), plan)
	if err != nil {
		t.Fatal(err)
	}
	keys := make(map[string]int)
	doubled := 0
	for _, s := range plan.Shots {
		if keys[s.Key]++; s.Kind == ShotRunOnce && keys[s.Key] == 2 {
			doubled++
		}
	}
	if doubled == 0 || report.Doubled != doubled || report.Requests != len(plan.Shots) {
		t.Errorf("%d doubled of %d, %d requests of %d", report.Doubled, doubled, report.Requests, len(plan.Shots))
	}
	wantCold := map[Verdict]int{Refused: 3}
	if diff := cmp.Diff(wantCold, report.Kinds[ShotCold].Verdicts); diff != "" {
		t.Errorf("cold calls (-want +got):\n%s", diff)
	}
	if len(report.Broken()) != 1 {
		t.Errorf("broken promises: %q", report.Broken())
	}
	for _, name := range []string{"first.svg", "first.png"} {
		path := filepath.Join(t.TempDir(), name)
		if err := report.Plot(path); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
