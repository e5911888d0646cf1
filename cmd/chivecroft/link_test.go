package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// deployBesideStore starts two regions whose weight store stands in bulacan; more
// are further lines of the entries' settings.
func deployBesideStore(t *testing.T, more string) *system {
	t.Helper()
	s := newSystem(t)
	var entries []string
	for _, zone := range []struct{ name, region string }{{"bul-a", "bulacan"}, {"pam-a", "pampanga"}} {
		s.startTarget(zone.name+"-t1", zone.name, zone.region, "--concurrency", "64")
		s.startService(zone.name+"-s1", zone.name, zone.region)
		for n := 1; n <= 2; n++ {
			id := fmt.Sprintf("%s-e%d", zone.name, n)
			path := s.settings(id, zone.name, zone.region)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, append(text, "storeRegion = bulacan\n"+more...), 0o600); err != nil {
				t.Fatal(err)
			}
			s.startEntry(id, zone.name, zone.region)
			entries = append(entries, id)
		}
	}
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, entries...)
	for _, id := range entries {
		s.eventually(10*time.Second, func() string {
			status, text := s.request(http.MethodGet, s.callers[id]+"/services/ticket-desk/seats", "", nil)
			if status != http.StatusOK {
				return text
			}
			return ""
		})
	}
	return s
}

// linkBytes adds up what all entries counted of a kind of traffic between regions.
func (s *system) linkBytes(kind string) float64 {
	s.t.Helper()
	series := regexp.MustCompile(`(?m)^chivecroft_link_io_bytes_total\{chivecroft_kind="` + kind + `".*\} (\S+)$`)
	var sum float64
	for id := range s.entries {
		_, metrics := s.request(http.MethodGet, s.ops[id]+"/metrics", "", nil)
		for _, match := range series.FindAllStringSubmatch(metrics, -1) {
			n, err := strconv.ParseFloat(match[1], 64)
			if err != nil {
				s.t.Fatal(err)
			}
			sum += n
		}
	}
	return sum
}

// directBytes sends calls from both regions to the instances of the service in
// turn, as a plain balancer does, and returns what crossed between regions.
func (s *system) directBytes(calls int) int64 {
	s.t.Helper()
	instances := []string{"bul-a-s1", "pam-a-s1"}
	var crossed atomic.Int64
	count := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return tallied{Conn: conn, sum: &crossed}, err
	}
	far := &http.Client{Transport: &http.Transport{DialContext: count}}
	for n := range calls {
		instance := n % 2
		// Callers of the two regions take turns at half the pace of the instances.
		client := http.DefaultClient
		if caller := n / 2 % 2; caller != instance {
			client = far
		}
		if err := get(client, s.services[instances[instance]].ready["url"].(string)+"/seats"); err != nil {
			s.t.Fatal(err)
		}
	}
	return crossed.Load()
}

// tallied is a connection whose bytes are added up.
type tallied struct {
	net.Conn
	sum *atomic.Int64
}

func (c tallied) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sum.Add(int64(n))
	return n, err
}

func (c tallied) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sum.Add(int64(n))
	return n, err
}

// TestLinkBytes prints what crosses between regions: control a second, and for
// 1,000 calls of a plain service against round robin, and for 1,000 chats of which
// every other one comes from the region without a replica.
func TestLinkBytes(t *testing.T) {
	const calls, callers, watched = 1000, 20, 10 * time.Second
	s := deployBesideStore(t, "")
	entries := []string{"bul-a-e1", "pam-a-e1", "bul-a-e2", "pam-a-e2"}
	if text, whole, status, err := chat(s.callers["bul-a-e1"], "menu-7b", "warm up", 4); err != nil || !whole {
		t.Fatalf("warm-up: %d, %v: %s", status, err, text)
	}
	time.Sleep(2 * time.Second)

	control, kv := s.linkBytes("control"), s.linkBytes("kv")
	time.Sleep(watched)
	t.Logf("control between regions: %.0f B/s over four entries; KV service: %.0f B/s",
		(s.linkBytes("control")-control)/watched.Seconds(), (s.linkBytes("kv")-kv)/watched.Seconds())

	before := s.linkBytes("service")
	for n := range calls {
		if status, text := s.request(http.MethodGet, s.callers[entries[n%4]]+"/services/ticket-desk/seats", "", nil); status != http.StatusOK {
			t.Fatalf("call %d: %d: %s", n, status, text)
		}
	}
	here, baseline := s.linkBytes("service")-before, s.directBytes(calls)
	t.Logf("%d calls of a plain service in both regions: %.0f B between regions, round robin %d B", calls, here, baseline)
	if here > float64(baseline)/10 {
		t.Errorf("%.0f B crossed though each region has an instance with room", here)
	}

	before = s.linkBytes("model")
	var work sync.WaitGroup
	for c := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for n := c; n < calls; n += callers {
				if text, whole, status, err := chat(s.callers[entries[n%4]], "menu-7b", fmt.Sprintf("seats for %d", n), 32); err != nil || !whole {
					t.Errorf("chat %d: %d, %v: %s", n, status, err, text)
				}
			}
		}()
	}
	work.Wait()
	crossed := s.linkBytes("model") - before
	t.Logf("%d chats of 32 tokens, half from the region without a replica: %.0f B between regions, %.0f B for each that crossed",
		calls, crossed, 2*crossed/calls)
	if crossed == 0 {
		t.Error("no chat was counted between regions")
	}
}
