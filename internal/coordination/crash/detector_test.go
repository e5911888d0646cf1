package crash

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestVerdictWaitsForAllReports guards against a block of a part whose request was at three ends
// by chance, because the report of the last end with the deadly part comes a little later.
func TestVerdictWaitsForAllReports(t *testing.T) {
	for _, late := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) { testLateReport(t, late) })
	}
}

// testLateReport has the reports with the deadly part come late.
func testLateReport(t *testing.T, late time.Duration) {
	d, now := NewDetector(), time.Unix(1000, 0)
	targets := func(string) int { return 3 }
	accuse := func(end int, sent time.Duration, parts ...Part) {
		d.Report(now, &Report{Accusations: []Accusation{{
			Target: fleet.Identity{ID: string(rune('a' + end)), Born: 1}, Service: service,
			Requests: []Accused{{Model: "m0", Parts: parts, SentAgeMS: sent.Milliseconds()}},
		}}})
	}
	var blocked []string
	judge := func() {
		for _, b := range d.Judge(now, 500*time.Millisecond, targets) {
			blocked = append(blocked, b.Parts)
		}
	}
	// Instances report all the time, and each report is judged.
	pass := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); judge() {
			now = now.Add(20 * time.Millisecond)
		}
	}
	for end := range 3 {
		accuse(end, 100*time.Millisecond, "c17", Part(rune('f'+end)))
		if end == 2 {
			pass(late)
		}
		accuse(end, late+150*time.Millisecond, "c6", deadly)
		pass(time.Second)
	}
	if len(blocked) > 0 {
		t.Errorf("blocked %v, though two parts explain the same ends", blocked)
	}
	accuse(3, 100*time.Millisecond, "c7", deadly)
	pass(time.Second)
	if len(blocked) != 1 || blocked[0] != string(deadly) {
		t.Errorf("blocked %v, want %s alone", blocked, deadly)
	}
}

// TestLiftOutlivesTheHolder guards against a part that is blocked again without another crash:
// a new holder hears that the block was lifted, and then the evidence that led to it, from
// an instance that has not heard of that.
func TestLiftOutlivesTheHolder(t *testing.T) {
	d, now := NewDetector(), time.Unix(1000, 0)
	accuse := func(name string, endAge time.Duration) {
		d.Report(now, &Report{Accusations: []Accusation{{
			Target: fleet.Identity{ID: name, Born: 1}, Service: service,
			Requests: []Accused{{
				Model: "m0", Parts: []Part{Part("x" + name), deadly},
				SentAgeMS: endAge.Milliseconds() + 100, EndAgeMS: endAge.Milliseconds(),
			}},
		}}})
	}
	judge := func() (blocked []Block) {
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			blocked = append(blocked, d.Judge(now, 500*time.Millisecond, func(string) int { return 6 })...)
		}
		return blocked
	}
	key := newBlockKey(service, "", []Part{deadly})
	d.Report(now, &Report{Blocks: []Block{{BlockKey: key, Revision: 2, Lifted: true, AgeMS: 500}}})
	for i, name := range []string{"a", "b", "c", "d"} {
		accuse(name, time.Duration(5-i)*time.Second)
	}
	if got := judge(); len(got) > 0 {
		t.Errorf("blocked again: %+v", got)
	}
	for _, name := range []string{"e", "f", "g", "h"} {
		accuse(name, 0)
		now = now.Add(time.Second)
	}
	if got := judge(); len(got) != 1 || got[0].BlockKey != key {
		t.Errorf("blocked %+v after more crashes, want %s", got, deadly)
	}
}
