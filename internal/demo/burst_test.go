package demo

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestBurstMakesOneLoad sends the first requests for a cold model to eight
// entries of three zones at once: they meet at one owner, which loads once.
func TestBurstMakesOneLoad(t *testing.T) {
	d, err := Deploy(context.Background(), Shape{
		Zones: []Zone{
			{Name: "bul-a", Region: "bulacan", Entries: 3, Targets: 2, Services: 1},
			{Name: "bul-b", Region: "bulacan", Entries: 3, Targets: 2, Services: 1},
			{Name: "pam-a", Region: "pampanga", Entries: 2, Targets: 2, Services: 1},
		},
		ModelService: "supper-assist", PlainService: "ticket-desk",
		MemoryBytes: 80 << 30, LoadTime: time.Second, FirstDelay: 5 * time.Millisecond, TokenDelay: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	s := newSession(d)
	if _, err := s.patch(context.Background()); err != nil {
		t.Fatal(err)
	}
	var burst sync.WaitGroup
	for n := range d.Entries {
		burst.Add(1)
		go func() {
			defer burst.Done()
			body := `{"model":"menu-7b","messages":[{"role":"user","content":"seats"}]}`
			resp, err := s.do(context.Background(), n, http.MethodPost, "/v1/chat/completions", body, nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("entry %d: status %d", n, resp.StatusCode)
			}
		}()
	}
	burst.Wait()
	loads := 0
	for _, target := range d.Targets {
		loads += target.Engine().Record().Loads["menu-7b"]
	}
	if loads != 1 {
		t.Errorf("%d loads for one burst", loads)
	}
}
