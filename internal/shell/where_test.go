package shell

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/edge"
)

// whereAnswer is what the instance of a test answers.
func whereAnswer() edge.Where {
	return edge.Where{
		Instance: "i1", Zone: "a1", Version: 7, Route: "chat", Team: "blue",
		Quota: &edge.WhereQuota{Unit: "tokens", Rate: 500, Burst: 2000, Amount: 300, Fits: true},
		Services: []edge.WhereService{{
			Service: "llm", Share: 0.9, Model: "m", Adapter: "a",
			Choice: picker.Explanation{
				Target: "e1", IsShared: true, SnapshotAgeMS: 350, ModelAt: 2, AdapterAt: 1,
				Candidates: []picker.Candidate{
					{Target: "e1", Zone: "a1", Load: 3.2, Slots: 8, Pace: 1, Cost: 4.2, Probability: 1},
					{Target: "e2", Zone: "b1", Load: 8, Slots: 8, Pace: 1.5, FailureRate: 0.25, PassedOver: "full", PerSecond: 5, Permits: 1},
				},
			},
		}, {
			Service: "spare", Share: 0.1, Model: "m", Adapter: "a",
			Choice: picker.Explanation{
				IsLoadExpected: true, LoadInMS: 40_000, Candidates: []picker.Candidate{},
				Refused: &picker.RefusalNotice{Reason: picker.ReasonTooLate, RetryAfterMS: 40_000},
			},
		}},
	}
}

const whereText = `exit 0
out: instance i1 in a1, configuration 7, route chat
team blue: 500 tokens/s, burst 2000; the request counts 300

service llm, 90% of the route's requests
model m: targets that serve it 2, with adapter a 1
load snapshot 350ms old
TARGET  ZONE  LOAD  SLOTS  PACE  FAILURES  COST  CHANCE  NOTES
e1      a1    3.2   8      1.00  0%        4.20  100%    
e2      b1    8.0   8      1.50  25%       -     0%      passed over: full, rate limit 5/s, 1 permits here
goes to e1

service spare, 10% of the route's requests
model m: targets that serve it 0, with adapter a 0, load expected in 40s
no load snapshot: choice by own observations
TARGET  ZONE  LOAD  SLOTS  PACE  FAILURES  COST  CHANCE  NOTES
refused at once: tooLate, Retry-After 40s
`

// TestWhere guards against a question that the instance does not understand, and against
// an answer that is not shown whole.
func TestWhere(t *testing.T) {
	var asked string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.RequestURI()
		if r.URL.Query().Get("host") == "none.example" {
			http.Error(w, "no route", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(whereAnswer())
	}))
	defer s.Close()
	at := strings.TrimPrefix(s.URL, "http://")
	args := []string{"where", at, "--host", "x.example", "--path", "/v1", "--model", "m/a", "--team", "blue", "--prompt", "100", "--output", "200"}
	if diff := cmp.Diff(whereText, called("", args...)); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
	if want := "/where?host=x.example&model=m%2Fa&output=200&path=%2Fv1&prompt=100&team=blue"; asked != want {
		t.Errorf("asked %s, want %s", asked, want)
	}
	text, ok := strings.CutPrefix(called("", append(args, "--json")...), "exit 0\nout: ")
	var got edge.Where
	if err := json.Unmarshal([]byte(text), &got); !ok || err != nil {
		t.Fatalf("JSON %q: %v", text, err)
	}
	if diff := cmp.Diff(whereAnswer(), got); diff != "" {
		t.Errorf("JSON (-want +got):\n%s", diff)
	}
	if got := called("", "where", at, "--host", "none.example"); strings.HasPrefix(got, "exit 0") || !strings.Contains(got, "no route") {
		t.Errorf("without a route: %s", got)
	}
}
