package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
)

// kind is a kind of request in the tests of cuts.
type kind string

const (
	// near asks for a model that was warm in the caller's zone before the cut,
	// far for one that was warm in the other zone alone.
	near   kind = "near"
	far    kind = "far"
	lookup kind = "lookup"
	ticket kind = "ticket"
)

const (
	// cutDeadline is the callers' deadline in the tests of cuts.
	cutDeadline = 4 * time.Second
	// lateness is how much later a busy machine may bring an answer.
	lateness = time.Second
)

// sample is one request with its answer.
type sample struct {
	zone   string
	kind   kind
	key    string
	at     time.Time
	answer bench.Answer
}

// cutLoad is steady traffic at the entries of both zones, each caller at the
// entries of its own, that keeps every answer.
type cutLoad struct {
	s *system
	// models are the models by the zone that they are warm in.
	models  map[string][]string
	stop    atomic.Bool
	work    sync.WaitGroup
	mu      sync.Mutex
	samples []sample
}

func startCutLoad(s *system, models map[string][]string) *cutLoad {
	l := &cutLoad{s: s, models: models}
	for zone, other := range map[string]string{zoneA: zoneB, zoneB: zoneA} {
		for c := range 2 {
			caller := bench.NewCaller(s.callers[fmt.Sprintf("%s-e%d", zone, c+1)], demo.CallerKey, http.DefaultClient)
			l.run(zone, near, c, func(key string, n int) bench.Answer { return l.chat(caller, models[zone], key, n) })
			l.run(zone, far, c, func(key string, n int) bench.Answer { return l.chat(caller, models[other], key, n) })
			l.run(zone, lookup, c, func(_ string, _ int) bench.Answer {
				return caller.Call(context.Background(), bench.Call{Service: "ticket-desk", Method: http.MethodGet, Path: "/seats", Deadline: cutDeadline})
			})
			l.run(zone, ticket, c, func(key string, _ int) bench.Answer {
				return caller.Call(context.Background(), bench.Call{
					Service: "ticket-desk", Method: http.MethodPost, Path: "/tickets", Body: key, Key: key, Deadline: cutDeadline,
				})
			})
		}
	}
	return l
}

func (l *cutLoad) chat(caller *bench.Caller, models []string, content string, n int) bench.Answer {
	return caller.Chat(context.Background(), bench.Chat{
		Model: models[n%len(models)], Content: content, Seed: 7, Tokens: 10, Deadline: cutDeadline,
	})
}

// run sends one kind of requests, each after the answer to the one before.
func (l *cutLoad) run(zone string, k kind, c int, send func(key string, n int) bench.Answer) {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		for n := 0; !l.stop.Load(); n++ {
			key := fmt.Sprintf("%s-%s-%d-%d", zone, k, c, n)
			one := sample{zone: zone, kind: k, key: key, at: time.Now()}
			one.answer = send(key, n)
			l.mu.Lock()
			l.samples = append(l.samples, one)
			l.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (l *cutLoad) finish() {
	l.stop.Store(true)
	l.work.Wait()
}

// within are the samples of a zone and kind that were sent in a span.
func (l *cutLoad) within(zone string, k kind, from, to time.Time) []sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sample
	for _, one := range l.samples {
		if one.zone == zone && one.kind == k && !one.at.Before(from) && one.at.Before(to) {
			found = append(found, one)
		}
	}
	return found
}

// verdicts counts answers by verdict and reason.
func verdicts(samples []sample) map[string]int {
	counts := make(map[string]int)
	for _, one := range samples {
		counts[fmt.Sprintf("%s %s", one.answer.Verdict, one.answer.Reason)]++
	}
	return counts
}

// p95 returns within what time 95 in 100 were answered.
func p95(samples []sample, of func(bench.Answer) time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(samples))
	for _, one := range samples {
		times = append(times, of(one.answer))
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

func took(a bench.Answer) time.Duration { return a.Took }

// report logs what became of each kind in a span.
func (l *cutLoad) report(t *testing.T, phase string, from, to time.Time) {
	t.Helper()
	for _, zone := range []string{zoneA, zoneB} {
		for _, k := range []kind{near, far, lookup, ticket} {
			found := l.within(zone, k, from, to)
			t.Logf("%s %s %s: %d, p95 %v, %v", phase, zone, k, len(found), p95(found, took).Round(time.Millisecond), verdicts(found))
		}
	}
}

// check judges every request sent: none without an answer in time, none wrong or
// run twice, no refusal as not run that ran.
func (l *cutLoad) check(t *testing.T) {
	t.Helper()
	runs := l.s.executions()
	for _, one := range l.samples {
		v := one.answer.Verdict
		bad := v == bench.Wrong || v == bench.Lost || v == bench.Unreached
		if bad || one.answer.Took > cutDeadline+lateness {
			t.Errorf("%s: %s %s after %v", one.key, v, one.answer.Reason, one.answer.Took)
		}
		if one.kind != ticket {
			continue
		}
		n := runs[one.key]
		if n > 1 || v == bench.Served && n != 1 || v == bench.Refused && n != 0 {
			t.Errorf("%s: %s %s, ran %d times", one.key, v, one.answer.Reason, n)
		}
	}
}

// served expects every request of a kind in a span to be served, and but for
// tickets 95 in 100 within the target for a first token.
func (l *cutLoad) served(t *testing.T, zone string, k kind, from, to time.Time) {
	t.Helper()
	found := l.within(zone, k, from, to)
	if len(found) == 0 {
		t.Errorf("no %s in %s", k, zone)
	}
	for _, one := range found {
		if one.answer.Verdict != bench.Served {
			t.Errorf("%s, sent %v after %v: %s %s after %v", one.key, one.at.Sub(from), from.Format(time.TimeOnly),
				one.answer.Verdict, one.answer.Reason, one.answer.Took)
		}
	}
	if slow := p95(found, took); k != ticket && slow > firstTokenTarget {
		t.Errorf("%s in %s: 95 in 100 within %v, the target is %v", k, zone, slow, firstTokenTarget)
	}
}
