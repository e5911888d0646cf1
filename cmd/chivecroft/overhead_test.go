package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/demo"
)

// BenchmarkOverhead compares calls to a plain service through one entry with
// calls to the service itself, alternating in one run, and then counts how many
// calls a second the entry passes on. An entry by itself tells nobody what it
// counts; one with a neighbour lets each answer wait until that one knows, and
// the rounds are few enough for its budget to last.
func BenchmarkOverhead(b *testing.B) {
	b.Run("alone", func(b *testing.B) { overhead(b, 2000, "bul-a-e1") })
	b.Run("neighbour", func(b *testing.B) { overhead(b, 800, "bul-a-e1", "bul-a-e2") })
}

func overhead(b *testing.B, rounds int, entries ...string) {
	const callers, span = 64, 3 * time.Second
	s := newSystem(b)
	s.startService("bul-a-s1", "bul-a", "bulacan")
	for _, id := range entries {
		s.startEntry(id, "bul-a", "bulacan")
	}
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		b.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, entries...)
	direct := s.services["bul-a-s1"].ready["url"].(string) + "/seats"
	through := s.callers["bul-a-e1"] + "/services/ticket-desk/seats"
	s.eventually(10*time.Second, func() string {
		if status, text := s.request(http.MethodGet, through, "", nil); status != http.StatusOK {
			return text
		}
		return ""
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for b.Loop() {
		var own, passed []time.Duration
		for range rounds {
			own = append(own, timed(b, client, direct))
			passed = append(passed, timed(b, client, through))
		}
		b.ReportMetric(float64(median(own).Microseconds()), "direct-µs/call")
		b.ReportMetric(float64((median(passed) - median(own)).Microseconds()), "overhead-µs/call")
		before := s.spent("bul-a-e1")
		rate := throughput(b, client, through, callers, span)
		b.ReportMetric(rate, "calls/s")
		used := s.spent("bul-a-e1").cpu - before.cpu
		b.ReportMetric(float64(used.Microseconds())/(rate*span.Seconds()), "entry-cpu-µs/call")
	}
}

// BenchmarkChatCost measures the processor time that an entry takes for a streamed
// chat, with few and with many tokens.
func BenchmarkChatCost(b *testing.B) {
	const chats, callers = 640, 64
	s := newSystem(b)
	s.startTarget("bul-a-t1", "bul-a", "bulacan", "--concurrency", "64", "--first-delay", "0s", "--token-delay", "5ms")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		b.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1")
	if text, whole, status, err := chat(s.callers["bul-a-e1"], "menu-7b", "warm up", 4); err != nil || !whole {
		b.Fatalf("warm-up: %d, %v: %s", status, err, text)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for b.Loop() {
		for _, tokens := range []int{16, 128} {
			before := s.spent("bul-a-e1")
			s.chats(client, chats, callers, tokens)
			used := s.spent("bul-a-e1").cpu - before.cpu
			b.ReportMetric(float64(used.Microseconds())/chats, fmt.Sprintf("entry-cpu-µs/chat-of-%d", tokens))
		}
	}
}

// chats sends chats from several callers at once and expects them whole.
func (s *system) chats(client *http.Client, chats, callers, tokens int) {
	var work sync.WaitGroup
	for c := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for n := c; n < chats; n += callers {
				if err := streamed(client, s.callers["bul-a-e1"], n, tokens); err != nil {
					s.t.Errorf("chat %d: %v", n, err)
				}
			}
		}()
	}
	work.Wait()
}

func timed(tb testing.TB, client *http.Client, url string) time.Duration {
	began := time.Now()
	if err := get(client, url); err != nil {
		tb.Fatal(err)
	}
	return time.Since(began)
}

func get(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, bytes.NewReader(nil))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

func throughput(tb testing.TB, client *http.Client, url string, callers int, span time.Duration) float64 {
	var calls atomic.Int64
	var work sync.WaitGroup
	until := time.Now().Add(span)
	for range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for time.Now().Before(until) {
				if err := get(client, url); err != nil {
					tb.Error(err)
					return
				}
				calls.Add(1)
			}
		}()
	}
	work.Wait()
	return float64(calls.Load()) / span.Seconds()
}

// streamed asks for a streamed chat and expects its end.
func streamed(client *http.Client, url string, n, tokens int) error {
	body := fmt.Sprintf(`{"model":"menu-7b","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"seats for %d"}]}`, tokens, n)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !strings.Contains(string(text), "data: [DONE]") {
		return fmt.Errorf("status %d, no end: %s", resp.StatusCode, text)
	}
	return nil
}
