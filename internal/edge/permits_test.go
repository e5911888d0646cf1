package edge

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// setTeams writes a configuration with teams.
func (r *rig) setTeams(version int, teams ...fake.Team) {
	r.teams = teams
	r.config(version, "/app/")
	r.eventually("the configuration is in force", func() bool {
		for _, e := range r.edges {
			if c := e.config.Load(); c == nil || c.Version != int64(version) {
				return false
			}
		}
		return true
	})
}

func (r *rig) callWithUsage(e *Edge, key, usage string) (status int, retryAfter string) {
	c := fake.Call{ID: "call-" + strconv.FormatInt(time.Now().UnixNano(), 36), Path: "/app/", Key: key, Usage: usage, Body: "body"}
	status, header, _ := r.send(r.t.Context(), e, c)
	return status, header.Get("Retry-After")
}

// pressTeam has callers of a team ask at the instances for a time, and returns the numbers
// of requests by status.
func (r *rig) pressTeam(edges []*Edge, callers int, d time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[int]int)
	end := time.Now().Add(d)
	for _, e := range edges {
		for range callers {
			wg.Go(func() {
				for time.Now().Before(end) {
					status, retryAfter := r.callWithUsage(e, "k", "600,400")
					mu.Lock()
					out[status]++
					if status == http.StatusTooManyRequests && retryAfter == "" {
						r.t.Error("a refusal over the quota has no Retry-After")
					}
					mu.Unlock()
					sleep(r.t.Context(), 20*time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return out
}

func newQuotaRig(t *testing.T, rate float64) *rig {
	r := newRig(t, 3)
	r.setTeams(2, fake.Team{Name: "t", Keys: []string{"k"}, Priority: 1, Unit: "tokens", Rate: rate, Burst: rate})
	for _, e := range r.edges {
		boot := *e.boot
		boot.Bounds.QuotaWindow, boot.Bounds.QuotaExcess, boot.Bounds.QuotaSlack = 2*time.Second, 0.1, 11_000
		e.Reload(&boot)
	}
	return r
}

// TestTeamQuotaAcrossInstances has demand above a quota at all instances and at one that is
// not the holder: the quota must be used and not exceeded, and others be told when to retry.
func TestTeamQuotaAcrossInstances(t *testing.T) {
	const perSecond = 40
	r := newQuotaRig(t, perSecond*1000)
	other := r.edges[0]
	if other.isHolder() {
		other = r.edges[1]
	}
	for _, edges := range [][]*Edge{r.edges, {other}} {
		r.pressTeam(edges, 36/len(edges), 2*time.Second)
		from := time.Now()
		got := r.pressTeam(edges, 36/len(edges), 3*time.Second)
		arrived := len(r.targets["d1"].ArrivalsAfter(from))
		if arrived < 0.8*3*perSecond || arrived > 1.1*4*perSecond+11 {
			t.Errorf("%d requests reached the target in 3 s at %d a second (%v)", arrived, perSecond, got)
		}
		if got[http.StatusTooManyRequests] == 0 || got[http.StatusOK] != arrived {
			t.Errorf("statuses %v, %d arrived", got, arrived)
		}
	}
	if status, retryAfter := r.callWithUsage(other, "k", "90000,1"); status != http.StatusTooManyRequests || retryAfter != "" {
		t.Errorf("a request above the burst: status %d, Retry-After %q", status, retryAfter)
	}
}

// TestTeamQuotaWithoutAHolder takes the store away, so that no instance stays the holder:
// each must go on with a part of the quota, and with all of it once there is a holder.
func TestTeamQuotaWithoutAHolder(t *testing.T) {
	const perSecond = 60
	r := newQuotaRig(t, perSecond*1000)
	r.pressTeam(r.edges, 5, 2*time.Second)
	r.store.Refuse.Store(http.StatusServiceUnavailable)
	r.pressTeam(r.edges, 5, 4*time.Second)
	from := time.Now()
	got := r.pressTeam(r.edges, 5, 4*time.Second)
	arrived := len(r.targets["d1"].ArrivalsAfter(from))
	if arrived < 0.3*4*perSecond || arrived > 0.9*4*perSecond {
		t.Errorf("%d requests reached the target in 4 s without a holder, quota %d a second (%v)", arrived, perSecond, got)
	}
	r.store.Refuse.Store(0)
	r.eventually("a holder issues permits again", func() bool {
		from := time.Now()
		r.pressTeam(r.edges, 5, time.Second)
		return len(r.targets["d1"].ArrivalsAfter(from)) > 0.8*perSecond
	})
}

// TestOnlyASteadyHolderIssuesPermits asks an instance that is not the holder.
func TestOnlyASteadyHolderIssuesPermits(t *testing.T) {
	r := newRig(t, 2)
	for _, e := range r.edges {
		want := http.StatusConflict
		if e.isHolder() {
			want = http.StatusOK
		}
		rec := httptest.NewRecorder()
		e.servePeer(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, pathPermits, strings.NewReader(`{"from":"x"}`)))
		if rec.Code != want {
			t.Errorf("%s, holder %v: status %d, wanted %d", e.boot.Instance, e.isHolder(), rec.Code, want)
		}
	}
}

// TestDeadHolderIsNoticed kills the holder of a team with a full bucket: other instances must
// serve the team before there is a successor, instead of waiting for one.
func TestDeadHolderIsNoticed(t *testing.T) {
	r := newQuotaRig(t, 400_000)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	lost := r.holder(nil)
	var others []*Edge
	for _, e := range r.edges {
		if e != lost {
			others = append(others, e)
		}
	}
	r.pressTeam(others, 1, 2*time.Second)
	lost.kill()
	// A lease lasts for a second.
	got := r.pressTeam(others, 1, 700*time.Millisecond)
	if got[http.StatusOK] < 10 || len(got) > 1 {
		t.Errorf("statuses after the death of the holder: %v, wanted only 200", got)
	}
}

// TestStoppedLedgerIsTold takes the store away from the holder, which refuses permits from then on:
// other instances must serve a team within its quota at once, and may not wait as for a silent holder.
func TestStoppedLedgerIsTold(t *testing.T) {
	r := newQuotaRig(t, 400_000)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	holder := r.holder(nil)
	others := slices.DeleteFunc(slices.Clone(r.edges), func(e *Edge) bool { return e == holder })
	r.pressTeam(others, 1, 2*time.Second)
	r.store.Refuse.Store(http.StatusServiceUnavailable)
	got := r.pressTeam(others, 1, 1500*time.Millisecond)
	if got[http.StatusOK] < 60 || got[http.StatusServiceUnavailable] > 0 {
		t.Errorf("statuses while the holder has no store: %v, wanted 200 only", got)
	}
}

// TestLedgerIsHandedOver stops the holder as planned: the successor must continue with the levels
// of its buckets, so that no request of a team within its quota is over it, and nobody may get
// them a second time.
func TestLedgerIsHandedOver(t *testing.T) {
	r := newQuotaRig(t, 400_000)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	lost := r.holder(nil)
	var others []*Edge
	for _, e := range r.edges {
		if e != lost {
			others = append(others, e)
		}
	}
	r.pressTeam(others, 1, 2*time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(lost.Stop)
	got := r.pressTeam(others, 1, 2500*time.Millisecond)
	if got[http.StatusTooManyRequests] > 0 || got[http.StatusOK] == 0 {
		t.Errorf("statuses during a planned stop of the holder: %v, wanted no 429", got)
	}
	h, err := others[0].peerClient.ledger(t.Context(), lost.boot.Peer, ledgerRequest{From: "x", Term: 1})
	if successor := r.holder(lost); successor == nil {
		t.Error("no successor within 2.5 s")
	} else if term := successor.coordinator.term(); h != nil || err == nil || !strings.Contains(err.Error(), strconv.FormatInt(term, 10)) {
		t.Errorf("a second request for the ledger got %v, %v; wanted a refusal that names the term %d", h, err, term)
	}
}
