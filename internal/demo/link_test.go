package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// linkShape is a deployment of two regions, whose store stands in the first.
func linkShape(nearTargets int, settings string) Shape {
	return Shape{
		Zones: []Zone{
			{Name: "bul-a", Region: "bulacan", Entries: 3, Targets: nearTargets, Services: 1},
			{Name: "bul-b", Region: "bulacan", Entries: 3, Targets: nearTargets, Services: 1},
			{Name: "pam-a", Region: "pampanga", Entries: 2, Targets: 2, Services: 1},
		},
		ModelService: "supper-assist", PlainService: "ticket-desk", Settings: settings,
		MemoryBytes: 80 << 30, LoadTime: time.Second, FirstDelay: 5 * time.Millisecond, TokenDelay: time.Millisecond,
	}
}

func deployLink(t *testing.T, shape Shape) *session {
	t.Helper()
	d, err := Deploy(context.Background(), shape)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := newSession(d)
	if _, err := s.patch(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestBurstBesideTheStore sends the first requests for two models to all entries
// at once: each model is loaded once, on a target of the store's region.
func TestBurstBesideTheStore(t *testing.T) {
	for _, region := range []string{"bulacan", "pampanga"} {
		s := deployLink(t, linkShape(2, "storeRegion = "+region))
		var burst sync.WaitGroup
		for n := range s.deployment.Entries {
			for _, model := range []string{"menu-7b", "banquet-70b"} {
				burst.Add(1)
				go func() {
					defer burst.Done()
					if status, _, text := ask(t, s, n, model); status != http.StatusOK {
						t.Errorf("entry %d: status %d: %s", n, status, text)
					}
				}()
			}
		}
		burst.Wait()
		loads := make(map[string]int)
		for _, target := range s.deployment.Targets {
			for model, n := range target.Engine().Record().Loads {
				loads[model] += n
				if inPampanga := strings.HasPrefix(target.Engine().State().ID, "pam"); inPampanga != (region == "pampanga") {
					t.Errorf("store in %s: %s was loaded on %s", region, model, target.Engine().State().ID)
				}
			}
		}
		if loads["menu-7b"] != 1 || loads["banquet-70b"] != 1 {
			t.Errorf("store in %s: loads %v for one burst", region, loads)
		}
	}
}

// TestNoHourOverTheLink: where only targets across the link could load the model,
// and 16 GB would cross it for more than an hour, callers hear so at once and when
// to come back, and nothing is loaded.
func TestNoHourOverTheLink(t *testing.T) {
	s := deployLink(t, linkShape(0, "storeRegion = bulacan\n[link]\nbitsPerSecond = 30000000"))
	for _, n := range []int{0, len(s.deployment.Entries) - 1} {
		began := time.Now()
		status, header, text := ask(t, s, n, "menu-7b")
		var problem struct {
			Reason, Detail string
			NotRun         bool
		}
		if err := json.Unmarshal([]byte(text), &problem); err != nil {
			t.Fatalf("entry %d: %v: %s", n, err, text)
		}
		if status != http.StatusServiceUnavailable || problem.Reason != "noReplica" || !problem.NotRun || header.Get("Retry-After") != "10" {
			t.Errorf("entry %d: status %d, Retry-After %q: %s", n, status, header.Get("Retry-After"), text)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("entry %d: refused after %v", n, took)
		}
	}
	for _, target := range s.deployment.Targets {
		if loads := target.Engine().Record().Loads; len(loads) > 0 {
			t.Errorf("loads %v on %s", loads, target.Engine().State().ID)
		}
	}
}

// TestStoreRegionGone: once demands to the zones beside the weight store have failed
// for 5 s, callers at an entry of the other region hear at once that a cold model
// cannot come, and when to come back. Nothing is loaded over the link meanwhile.
func TestStoreRegionGone(t *testing.T) {
	const noticed, atOnce = 15 * time.Second, 2 * time.Second
	shape := linkShape(1, "storeRegion = bulacan")
	shape.Zones = []Zone{
		{Name: "bul-a", Region: "bulacan", Entries: 1, Targets: 1},
		{Name: "pam-a", Region: "pampanga", Entries: 2, Targets: 1},
	}
	s := deployLink(t, shape)
	s.deployment.Entries[0].Close()
	s.deployment.Targets[0].Close()
	died := time.Now()
	for {
		began := time.Now()
		status, header, text := ask(t, s, 1, "menu-7b")
		took := time.Since(began)
		if strings.Contains(text, "the region of the weight store is cut off") {
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "10" || !strings.Contains(text, `"notRun":true`) {
				t.Errorf("status %d, Retry-After %q: %s", status, header.Get("Retry-After"), text)
			}
			break
		}
		if time.Since(died) > noticed {
			t.Fatalf("not told of the cut after %v: %s", took, text)
		}
	}
	t.Logf("told of the cut %v after it", time.Since(died).Round(time.Second))
	began := time.Now()
	_, _, text := ask(t, s, 1, "banquet-70b")
	if took := time.Since(began); took > atOnce || !strings.Contains(text, "cut off") {
		t.Errorf("told after %v: %s", took, text)
	}
	if loads := s.deployment.Targets[1].Engine().Record().Loads; len(loads) > 0 {
		t.Errorf("loads %v across the cut link", loads)
	}
}

func ask(t *testing.T, s *session, n int, model string) (int, http.Header, string) {
	body := `{"model":"` + model + `","messages":[{"role":"user","content":"seats"}]}`
	resp, err := s.do(context.Background(), n, http.MethodPost, "/v1/chat/completions", body, nil)
	if err != nil {
		t.Error(err)
		return 0, nil, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// TestControlBetweenRegions prints what control takes of the link while nothing
// is asked, by the number of entries.
func TestControlBetweenRegions(t *testing.T) {
	const watched, budget = 8 * time.Second, 11 << 10
	for _, entries := range []int{1, 2, 4} {
		shape := linkShape(1, "storeRegion = bulacan")
		shape.Zones = []Zone{
			{Name: "bul-a", Region: "bulacan", Entries: entries, Targets: 1},
			{Name: "pam-a", Region: "pampanga", Entries: entries, Targets: 1},
		}
		s := deployLink(t, shape)
		time.Sleep(2 * time.Second)
		before := controlBytes(t, s.deployment)
		time.Sleep(watched)
		rate := (controlBytes(t, s.deployment) - before) / watched.Seconds()
		t.Logf("%d entries in each of two regions: %.0f B/s between regions in both directions", entries, rate)
		if rate > float64(2*entries*budget) {
			t.Errorf("%.0f B/s of control between regions at %d entries", rate, 2*entries)
		}
		s.deployment.Close()
	}
}

// controlBytes adds up the control traffic between regions that all entries counted.
func controlBytes(t *testing.T, d *Deployment) float64 {
	t.Helper()
	var sum float64
	for n := range d.Entries {
		resp, err := http.Get(d.Operators(n) + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if !strings.HasPrefix(line, `chivecroft_link_io_bytes_total{chivecroft_kind="control"`) {
				continue
			}
			fields := strings.Fields(line)
			bytes, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			if err != nil {
				t.Fatal(err)
			}
			sum += bytes
		}
	}
	return sum
}
