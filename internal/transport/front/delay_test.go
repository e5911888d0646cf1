package front_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// uneven is a service with one instance that is slow, though not silent.
type uneven struct{ slow string }

// Send answers after the instance's time.
func (u uneven) Send(req *http.Request, _ bool) (*http.Response, error) {
	took := 5 * time.Millisecond
	if req.URL.Host == u.slow {
		took = 800 * time.Millisecond
	}
	select {
	case <-time.After(took):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// TestLookupsHedgeByLatency makes lookups of 20 instances, one of which takes 800
// ms for the 5 ms of the others: callers wait for it only until a lookup of this
// service usually has its answer.
func TestLookupsHedgeByLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.services = uneven{slow: "127.0.0.1:9000"} })
		defer r.driver.Stop()
		var instances []ports.Instance
		for i := range 20 {
			instances = append(instances, ports.Instance{
				ID: fmt.Sprint("d", i), Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan",
				Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			})
		}
		r.table.ApplyInstances(instances)
		var times []time.Duration
		for i := range 3000 {
			began := time.Now()
			if resp := r.do(http.MethodGet, "/services/tickets/orders", ""); resp.StatusCode != http.StatusOK {
				t.Fatalf("lookup %d: status %d", i, resp.StatusCode)
			}
			// The first ones teach what is usual.
			if i >= 1000 {
				times = append(times, time.Since(began))
			}
		}
		time.Sleep(time.Second)
		slices.Sort(times)
		hedges := 0
		for _, o := range r.outcomes {
			hedges += o.Hedges
		}
		p50, p99 := times[len(times)/2], times[len(times)*99/100]
		t.Logf("p50 %v, p99 %v, longest %v, %d hedges", p50, p99, times[len(times)-1], hedges)
		if p99 > 100*time.Millisecond {
			t.Errorf("p99 %v at one slow instance of twenty", p99)
		}
		if hedges > 300+11+100 {
			t.Errorf("%d hedges for 3000 lookups", hedges)
		}
	})
}
