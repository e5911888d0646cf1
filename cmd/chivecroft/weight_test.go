package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/demo"
)

const (
	largeBody = 100 << 20
	// largeGrowth is how much an entry may grow while a large body passes.
	largeGrowth = 16 << 20
)

// peakBytes reads the most memory that a process had resident.
func peakBytes(t *testing.T, p *process) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skipf("no /proc on this system: %v", err)
	}
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(data)
	if match == nil {
		t.Fatal("no VmHWM in the process's status")
	}
	kb, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// TestLargeBody passes 100 MB through an entry to a plain service, which must
// neither hold it whole nor cut it.
func TestLargeBody(t *testing.T) {
	s := newSystem(t)
	s.startService("bul-a-s1", "bul-a", "bulacan")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1")
	url := s.callers["bul-a-e1"] + "/services/ticket-desk/upload"
	s.eventually(10*time.Second, func() string {
		if status, text := s.request(http.MethodGet, url, "", nil); status != http.StatusOK {
			return text
		}
		return ""
	})
	before := peakBytes(t, s.entries["bul-a-e1"])
	body := io.LimitReader(zeros{}, largeBody)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	echoed, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	if want := int64(largeBody + len("POST /upload\n")); echoed != want {
		t.Errorf("%d bytes came back, want %d", echoed, want)
	}
	growth := peakBytes(t, s.entries["bul-a-e1"]) - before
	t.Logf("the entry grew by %d KB", growth>>10)
	if growth > largeGrowth {
		t.Errorf("the entry grew by %d bytes, more than %d", growth, largeGrowth)
	}
}

// zeros is an endless body.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestGoroutinesReturn sends many requests whose callers leave early, and
// expects the entry to be as idle afterwards as it was before.
func TestGoroutinesReturn(t *testing.T) {
	const requests, callers, slack = 10_000, 50, 20
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan", "--token-delay", "5ms", "--concurrency", "64")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1")
	if text, whole, status, err := chat(s.callers["bul-a-e1"], "menu-7b", "warm up", 4); err != nil || !whole {
		t.Fatalf("warm-up: %d, %v: %s", status, err, text)
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(time.Second)
	before := s.goroutines("bul-a-e1")
	client := &http.Client{Timeout: 10 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var work sync.WaitGroup
	for range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for range requests / callers {
				leaveEarly(client, s.callers["bul-a-e1"])
			}
		}()
	}
	work.Wait()
	client.CloseIdleConnections()
	var after int
	s.eventually(20*time.Second, func() string {
		if after = s.goroutines("bul-a-e1"); after > before+slack {
			return fmt.Sprintf("%d goroutines, %d before", after, before)
		}
		return ""
	})
	t.Logf("%d goroutines before, %d after", before, after)
}

func leaveEarly(client *http.Client, url string) {
	body := bytes.NewBufferString(`{"model":"menu-7b","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"x"}]}`)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// goroutines reads the entry's own metric.
func (s *system) goroutines(entry string) int {
	s.t.Helper()
	_, text := s.request(http.MethodGet, s.ops[entry]+"/metrics", "", nil)
	match := regexp.MustCompile(`(?m)^go_goroutines(?:\{[^}]*\})? (\d+)`).FindStringSubmatch(text)
	if match == nil {
		s.t.Fatalf("no go_goroutines in the metrics:\n%.2000s", text)
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
