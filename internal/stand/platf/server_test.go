package platf

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

func start(t *testing.T, opts ...Option) (*Server, string) {
	t.Helper()
	s := New(opts...)
	at, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, "http://" + at.String()
}

func post(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func rows(t *testing.T, url string) []ports.Instance {
	t.Helper()
	resp, err := http.Get(url + "/instances")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got []ports.Instance
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestListLags(t *testing.T) {
	s, url := start(t, WithListLag(100*time.Millisecond))
	row := ports.Instance{ID: "t1", Kind: ports.InstanceTarget, Zone: "bul-a", Region: "bulacan", Addr: netip.MustParseAddrPort("192.0.2.7:70")}
	s.Register(row)
	early := rows(t, url)
	time.Sleep(200 * time.Millisecond)
	late := rows(t, url)
	if diff := cmp.Diff([][]ports.Instance{{}, {row}}, [][]ports.Instance{early, late}, cmp.Comparer(sameAddr)); diff != "" {
		t.Errorf("rows before and after the lag (-want +got):\n%s", diff)
	}
}

func sameAddr(a, b netip.AddrPort) bool { return a == b }

// TestStoreSharesItsSpeed reads eight checkpoints at once from a store for two.
func TestStoreSharesItsSpeed(t *testing.T) {
	_, url := start(t, WithStoreRate(1000, 2))
	begin := time.Now()
	var wait sync.WaitGroup
	for n := range 8 {
		wait.Go(func() {
			body := fmt.Sprintf(`{"checkpoint":"c%d","loadNanos":%d}`, n, 50*time.Millisecond)
			if status := post(t, url+"/store/fetch", body); status != http.StatusNoContent {
				t.Errorf("status %d", status)
			}
		})
	}
	wait.Wait()
	if took := time.Since(begin); took < 200*time.Millisecond {
		t.Errorf("eight reads of 50 ms took %v at twice the speed of one", took)
	}
}

// TestStoreRate begins ten reads of no length at twenty a second.
func TestStoreRate(t *testing.T) {
	_, url := start(t, WithStoreRate(20, 1))
	begin := time.Now()
	for range 10 {
		post(t, url+"/store/fetch", `{"checkpoint":"c"}`)
	}
	if took := time.Since(begin); took < 440*time.Millisecond {
		t.Errorf("ten reads took %v", took)
	}
}

func TestCounts(t *testing.T) {
	s, url := start(t)
	post(t, url+"/kv/get", `{"key":"k"}`)
	post(t, url+"/kv/put", `{"key":"k","value":"dg=="}`)
	post(t, url+"/kv/grant", `{"ttlNanos":1000000000}`)
	post(t, url+"/kv/watch", `{"prefix":"k"}`)
	rows(t, url)
	if diff := cmp.Diff(Counts{Reads: 1, Writes: 2, Watches: 1, Lists: 1}, s.Counts()); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}
