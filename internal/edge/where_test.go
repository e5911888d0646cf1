package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/platform/fake"
)

// TestWhere asks an instance where requests would go and sends them. It guards against an
// answer for another route, team or model than the request's, and against one that has a key.
func TestWhere(t *testing.T) {
	r := newRig(t, 1)
	e := r.edges[0]
	w, err := e.where(WhereQuery{Host: "x.example", Path: "/chat/1", Model: "m3"})
	if err != nil {
		t.Fatal(err)
	}
	got := w.Services[0]
	if w.Route != "chat" || got.Service != "llm" || got.Model != "m3" || got.Choice.ModelAt != 1 || got.Choice.Target != "e2" {
		t.Errorf("chat: %+v", w)
	}
	if w, err := e.where(WhereQuery{Host: "x.example", Path: "/chat/1", Model: "none"}); err != nil || w.Services[0].Choice.Refused == nil {
		t.Errorf("unloaded model: %+v, %v", w, err)
	}
	r.setTeams(2, fake.Team{Name: "red", Keys: []string{"secret"}, Rate: 5, Burst: 20, Unit: "requests"})
	w, err = e.where(WhereQuery{Host: "x.example", Path: "/app/", Team: "red"})
	if err != nil || w.Services[0].Choice.Target != "d1" || w.Quota == nil {
		t.Fatalf("app: %+v, %v", w, err)
	}
	if diff := cmp.Diff(WhereQuota{Unit: "requests", Rate: 5, Burst: 20, Amount: 1, Fits: true}, *w.Quota); diff != "" {
		t.Errorf("quota (-want +got):\n%s", diff)
	}
	for query, want := range map[string]int{
		"host=x.example&path=/app/&team=red":      http.StatusOK,
		"host=x.example&path=/app/&team=blue":     http.StatusNotFound,
		"host=x.example&path=/none/":              http.StatusNotFound,
		"host=x.example&path=/app/&prompt=much":   http.StatusBadRequest,
		"path=/app/":                              http.StatusBadRequest,
		"host=x.example&path=/app/&output=-1":     http.StatusBadRequest,
		"host=x.example&path=/app/&prompt=&team=": http.StatusOK,
	} {
		rec := httptest.NewRecorder()
		e.serveWhere(rec, httptest.NewRequest(http.MethodGet, WherePath+"?"+query, nil))
		body, _ := io.ReadAll(rec.Body)
		if rec.Code != want || strings.Contains(string(body), "secret") {
			t.Errorf("%s: status %d, want %d: %s", query, rec.Code, want, body)
		}
	}
}
