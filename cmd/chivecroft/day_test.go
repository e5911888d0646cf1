package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/demo"
)

// writeInterval is longer than an entry of a small fleet takes to write its
// row after a change.
const writeInterval = 2500 * time.Millisecond

// tally is what callers counted by themselves.
type tally struct {
	Arrived, Served, Refused uint64
	// Refusals are counted by reason, RunOnce by the outcome of the claim.
	Refusals map[string]uint64
	RunOnce  map[string]uint64
	// cut holds the beginnings of calls that got neither an answer nor a refusal,
	// because their entry died with them.
	cut []time.Time
}

func newTally() *tally {
	return &tally{Refusals: make(map[string]uint64), RunOnce: make(map[string]uint64)}
}

// add counts one call; claim is what a run-once call is expected to have got,
// and empty for others.
func (c *tally) add(a bench.Answer, claim string) {
	if a.Verdict == bench.Unreached {
		return
	}
	switch a.Verdict {
	case bench.Served, bench.Late:
		c.Arrived++
		c.Served++
	case bench.Refused, bench.Unknown, bench.Repeated:
		c.Arrived++
		c.Refused++
		c.Refusals[a.Reason]++
		// The outcome of a call is kept in its claim a moment after its answer; a
		// repeat that comes sooner is told that the call is in progress.
		if a.Reason == "inProgress" {
			claim = a.Reason
		}
	default:
		c.cut = append(c.cut, time.Now().Add(-a.Took))
		return
	}
	if claim != "" {
		c.RunOnce[claim]++
	}
}

// reported is the same account as the day page gives it.
func reported(r daily.Report) *tally {
	c := newTally()
	c.Arrived, c.Served, c.Refused = r.Arrived, r.Served, r.Refused
	for _, refusal := range r.Refusals {
		c.Refusals[refusal.Reason] += refusal.Count
	}
	for _, outcome := range r.RunOnce {
		c.RunOnce[outcome.Outcome] += outcome.Count
	}
	return c
}

// counted plays rounds of calls at every entry, several callers at once, and
// counts each. A round holds a chat, a lookup, a model that nobody knows, a
// ticket, the same ticket again, and its key with another order.
func (s *system) counted(c *tally, phase string, ids []string, callers, rounds int) {
	s.t.Helper()
	var work sync.WaitGroup
	var mu sync.Mutex
	urls := make([]string, len(ids))
	for i, id := range ids {
		urls[i] = s.callers[id]
	}
	for n := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for round := range rounds {
				caller := bench.NewCaller(urls[(n+round)%len(urls)], demo.CallerKey, http.DefaultClient)
				note := func(a bench.Answer, claim string) {
					mu.Lock()
					defer mu.Unlock()
					c.add(a, claim)
				}
				dayRound(caller, fmt.Sprintf("%s-%d-%d", phase, n, round), note)
			}
		}()
	}
	work.Wait()
}

func dayRound(caller *bench.Caller, name string, note func(bench.Answer, string)) {
	const deadline = 10 * time.Second
	ctx := context.Background()
	chat := bench.Chat{Model: "menu-7b", Content: name, Seed: 7, Tokens: 5, Deadline: deadline}
	note(caller.Chat(ctx, chat), "")
	chat.Model = "nobody-knows"
	note(caller.Chat(ctx, chat), "")
	call := bench.Call{Service: "ticket-desk", Method: http.MethodGet, Path: "/seats", Deadline: deadline}
	note(caller.Call(ctx, call), "")
	call.Method, call.Path, call.Body, call.Key = http.MethodPost, "/tickets", name, name
	note(caller.Call(ctx, call), "run")
	note(caller.Call(ctx, call), "outcome")
	call.Body = "another order"
	note(caller.Call(ctx, call), "mismatch")
}

// day reads the day page through the operators' command.
func (s *system) day(entry string) daily.Report {
	s.t.Helper()
	code, out := s.command(entry, "", "day", "--json")
	if code != 0 {
		s.t.Fatalf("day: exit code %d\n%s", code, out)
	}
	var report daily.Report
	decode(s.t, out, &report)
	return report
}

// replace kills an entry and starts it anew at its addresses.
func (s *system) replace(id string) {
	s.t.Helper()
	s.entries[id].kill()
	s.startEntry(id, "bul-a", "bulacan")
	s.settled(1, id)
	s.eventually(19*time.Second, func() string {
		if status, text := s.request(http.MethodGet, s.callers[id]+"/readyz", "", nil); status != http.StatusOK {
			return id + " is not ready: " + text
		}
		return ""
	})
}

// dayDeployment is one zone with three entries, and the account of the calls that it took to
// see that they serve. The page has it once all rows are written, which takes as long as the
// machine needs.
func dayDeployment(t *testing.T) (*system, []string, *tally) {
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	s.startService("bul-a-s1", "bul-a", "bulacan")
	ids := []string{"bul-a-e1", "bul-a-e2", "bul-a-e3"}
	for _, id := range ids {
		s.startEntry(id, "bul-a", "bulacan")
	}
	if code, out := s.command(ids[0], patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, ids...)
	var asked uint64
	for _, id := range ids {
		s.eventually(19*time.Second, func() string {
			asked++
			if status, text := s.request(http.MethodGet, s.callers[id]+"/services/ticket-desk/seats", "", nil); status != http.StatusOK {
				return id + ": " + text
			}
			return ""
		})
	}
	var first *tally
	s.eventually(19*time.Second, func() string {
		if first = reported(s.day(ids[0])); first.Arrived != asked {
			return fmt.Sprintf("the page has %d calls of %d", first.Arrived, asked)
		}
		return ""
	})
	return s, ids, first
}

// TestDayAfterQuietKills kills two entries after their rows were written: the
// day page then holds every call that the callers counted, and still says that
// the two ended without their last word.
func TestDayAfterQuietKills(t *testing.T) {
	t.Parallel()
	s, ids, want := dayDeployment(t)
	for n, victim := range []string{"bul-a-e1", "bul-a-e2"} {
		s.counted(want, fmt.Sprintf("before-%d", n), ids, 6, 5)
		time.Sleep(writeInterval)
		s.replace(victim)
	}
	s.counted(want, "after", ids, 6, 5)
	time.Sleep(writeInterval)
	report := s.day("bul-a-e1")
	if diff := cmp.Diff(want, reported(report), cmp.AllowUnexported(tally{})); diff != "" {
		t.Errorf("callers' account and day page (-callers +page):\n%s", diff)
	}
	if len(want.cut) != 0 || report.Lost != 0 {
		t.Errorf("%d calls were cut, %d are shown as lost, want none", len(want.cut), report.Lost)
	}
	gaps := instances(report)
	if report.Completeness.Whole || !slices.Equal(gaps, []string{"bul-a-e1", "bul-a-e2"}) {
		t.Errorf("whole %t, gaps of %v, want the two that were killed", report.Completeness.Whole, gaps)
	}
	t.Logf("%d calls, %d served, refusals %v, run-once %v, uncounted at most %d",
		report.Arrived, report.Served, want.Refusals, want.RunOnce, report.Completeness.Uncounted)
}

// instances are the entries that a report has gaps of, without incarnations.
func instances(r daily.Report) []string {
	names := make(map[string]bool)
	for _, gap := range r.Completeness.Gaps {
		names[gap.Instance[:min(len("bul-a-e1"), len(gap.Instance))]] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// lastArrivals is how long before a kill a call may have come to an entry that
// had not told a neighbour of it yet.
const lastArrivals = 100 * time.Millisecond

// killedUnderLoad kills an entry while callers use it, starts it anew, and returns
// how many calls were cut that it may have told nobody of.
func (s *system) killedUnderLoad(c *tally, phase, victim string, ids []string) uint64 {
	s.t.Helper()
	before := len(c.cut)
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		s.counted(c, phase, ids, 6, 60)
	}()
	time.Sleep(writeInterval)
	killed := time.Now()
	s.entries[victim].kill()
	load.Wait()
	s.replace(victim)
	var unseen uint64
	for _, began := range c.cut[before:] {
		if began.After(killed.Add(-lastArrivals)) {
			unseen++
		}
	}
	return unseen
}

// TestDayAfterKillsUnderLoad kills two entries in the middle of their work. The
// page equals the callers' account, request for request: every call that had its
// answer counts as what the caller got, and those that were cut show as lost.
//
// Of a cut call two things cannot be known to both sides. One that came right
// before the kill may have been told to nobody; and one whose outcome a
// neighbour had been told of may have lost the end of its answer on its way, so
// that the page counts it as finished.
func TestDayAfterKillsUnderLoad(t *testing.T) {
	t.Parallel()
	s, ids, mine := dayDeployment(t)
	var late uint64
	for n, victim := range []string{"bul-a-e1", "bul-a-e2"} {
		late += s.killedUnderLoad(mine, fmt.Sprintf("under-%d", n), victim, ids)
	}
	cut := uint64(len(mine.cut))
	var report daily.Report
	s.eventually(19*time.Second, func() string {
		report = s.day("bul-a-e3")
		if report.InFlight != 0 || report.Completeness.Uncounted != 0 {
			return fmt.Sprintf("%d requests are under way, %+v", report.InFlight, report.Completeness)
		}
		return ""
	})
	page := reported(report)
	unseen := int64(mine.Arrived + cut - page.Arrived)
	finished := int64(page.Served+page.Refused) - int64(mine.Served+mine.Refused)
	t.Logf("callers: %d served, %d refused, %d cut, %d of these right before a kill; page: %d served, %d refused, %d lost; %d never told, %d finished but not delivered",
		mine.Served, mine.Refused, cut, late, page.Served, page.Refused, report.Lost, unseen, finished)
	if unseen < 0 || unseen > int64(late) {
		t.Errorf("the page lacks %d calls, of those that were cut %d came right before a kill", unseen, late)
	}
	if finished < 0 || int64(report.Lost) != int64(cut)-unseen-finished {
		t.Errorf("callers counted %d calls cut, the page %d lost, %d finished that were cut, and lacks %d", cut, report.Lost, finished, unseen)
	}
	if finished == 0 {
		page.cut, page.Arrived, mine.Arrived = mine.cut, 0, 0
		if diff := cmp.Diff(mine, page, cmp.AllowUnexported(tally{})); diff != "" {
			t.Errorf("callers' account and day page (-callers +page):\n%s", diff)
		}
	}
	for reason, n := range mine.Refusals {
		if page.Refusals[reason] < n {
			t.Errorf("callers were refused %d times for %s, the page says %d", n, reason, page.Refusals[reason])
		}
	}
	for outcome, n := range mine.RunOnce {
		if page.RunOnce[outcome] < n {
			t.Errorf("%d run-once calls ended as %s, the page says %d", n, outcome, page.RunOnce[outcome])
		}
	}
	if gaps := instances(report); !slices.Equal(gaps, []string{"bul-a-e1", "bul-a-e2"}) {
		t.Errorf("gaps of %v, want the two that were killed", gaps)
	}
}

// TestDayNamesLostRequests kills an entry while callers read long answers from
// it. The calls had been written down as arrived, so the page must show each of
// them as lost: the pace of earlier arrivals says nothing about them.
func TestDayNamesLostRequests(t *testing.T) {
	t.Parallel()
	const readers = 8
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan", "--token-delay", "1s")
	ids := []string{"bul-a-e1", "bul-a-e2"}
	for _, id := range ids {
		s.startEntry(id, "bul-a", "bulacan")
	}
	if code, out := s.command(ids[0], patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, ids...)
	if _, whole, status, err := chat(s.callers["bul-a-e1"], "menu-7b", "warm up", 2); err != nil || !whole {
		t.Fatalf("warm-up: %d, %v", status, err)
	}
	var work sync.WaitGroup
	for n := range readers {
		work.Add(1)
		go func() {
			defer work.Done()
			// At least eight tokens come, one a second; the entry is killed before.
			if _, whole, status, _ := chat(s.callers["bul-a-e1"], "menu-7b", fmt.Sprintf("long %d", n), 300); whole {
				t.Errorf("reader %d got a whole answer, %d", n, status)
			}
		}()
	}
	s.eventually(5*time.Second, func() string {
		if n := s.day("bul-a-e1").InFlight; n != readers {
			return fmt.Sprintf("the page shows %d requests under way, want %d", n, readers)
		}
		return ""
	})
	time.Sleep(writeInterval)
	s.replace("bul-a-e1")
	work.Wait()
	s.eventually(19*time.Second, func() string {
		report := s.day("bul-a-e2")
		if report.Lost != readers || report.InFlight != 0 || report.Verdict.Level != daily.LevelBad {
			return fmt.Sprintf("lost %d, in flight %d, verdict %s, want %d lost", report.Lost, report.InFlight, report.Verdict.Level, readers)
		}
		return ""
	})
}
