package daily

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// script steps a writer through events and returns its effects as text.
type script struct {
	clock  *timer.Virtual
	writer *Writer
	record *Recorder
	value  []byte
	out    strings.Builder
}

func newScript() *script {
	s := &script{clock: timer.NewVirtual(time.Date(2026, 3, 28, 9, 0, 0, 0, time.UTC))}
	s.record = NewRecorder(s.clock, time.UTC)
	s.writer = NewWriter(Settings{Instance: "e1", Incarnation: 4, Location: time.UTC}, s.record, rand.New(rand.NewPCG(1, 1)))
	return s
}

func (s *script) step(ev ports.Event) {
	for _, effect := range s.writer.Step(s.clock.Now(), ev) {
		switch e := effect.(type) {
		case ports.KVCall:
			s.call(e)
		case ports.ArmTimer:
			fmt.Fprintf(&s.out, "timer %d\n", e.Tag)
		case ports.Note:
			fmt.Fprintf(&s.out, "%T %v\n", e.Value, e.Value)
		}
	}
}

func (s *script) call(e ports.KVCall) {
	switch req := e.Req.(type) {
	case ports.KVPut:
		s.value = req.Value
		row, _ := decodeRow(req.Value)
		fmt.Fprintf(&s.out, "put %d %s expect %d seq %d served %d final %v\n",
			e.Tag, req.Key, req.Expect, row.Seq, row.Counts.sum(KindServed), row.Final)
	case ports.KVGet:
		fmt.Fprintf(&s.out, "get %d %s\n", e.Tag, req.Key)
	}
}

func (s *script) done(tag ports.Tag, status ports.KVStatus, items ...ports.Item) {
	s.step(ports.KVDone{Tag: tag, Reply: ports.KVReply{Status: status, Revision: 70, Items: items}})
}

// TestWriteThatLandsLate covers a write whose answer is lost, which is not
// there when it is looked for, and takes effect after that.
func TestWriteThatLandsLate(t *testing.T) {
	s := newScript()
	s.record.Served("assist", "lookup")
	s.step(Start{})
	first := s.value
	s.done(1, ports.KVUnknown)
	s.step(ports.TimerFired{Tag: 2})
	s.done(3, ports.KVNotFound)
	s.record.Served("assist", "lookup")
	s.done(4, ports.KVConflict, ports.Item{Key: "day/2026-03-28/e1-4", Value: first, Revision: 41})
	s.done(5, ports.KVOK)
	want := `put 1 day/2026-03-28/e1-4 expect 0 seq 1 served 1 final false
timer 2
get 3 day/2026-03-28/e1-4
put 4 day/2026-03-28/e1-4 expect 0 seq 2 served 1 final false
put 5 day/2026-03-28/e1-4 expect 41 seq 3 served 2 final false
timer 6
`
	if diff := cmp.Diff(want, s.out.String()); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestStopDoesNotWaitForASilentCall covers a KV service that never answers.
func TestStopDoesNotWaitForASilentCall(t *testing.T) {
	s := newScript()
	s.record.Served("assist", "lookup")
	s.step(Start{})
	s.step(StopAsked{})
	s.clock.Advance(stopPatience)
	s.step(ports.TimerFired{Tag: 2})
	want := `put 1 day/2026-03-28/e1-4 expect 0 seq 1 served 1 final false
timer 2
daily.Stopped {[2026-03-28]}
`
	if diff := cmp.Diff(want, s.out.String()); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestIntervalGrowsWithTheFleet bounds the writes of all rows together.
func TestIntervalGrowsWithTheFleet(t *testing.T) {
	for _, n := range []int{1, 8, 100, 1000, 10_000} {
		w := newScript().writer
		w.Step(time.Time{}, MembersChanged{Members: make([]ports.Member, n)})
		perSecond := float64(n) / w.interval().Seconds()
		if perSecond > fleetWrites*1.01 && w.interval() < maxInterval {
			t.Errorf("%d instances write %.1f rows a second, wanted at most %d", n, perSecond, fleetWrites)
		}
	}
}

// TestRowStaysWithinTheBound fills every bounded list of a row with the longest
// names: the row fits into a value and no count is lost.
func TestRowStaysWithinTheBound(t *testing.T) {
	clock := timer.NewVirtual(time.Date(2026, 3, 28, 9, 0, 0, 0, time.UTC))
	record := NewRecorder(clock, time.UTC)
	long := strings.Repeat("x", 2*maxTextBytes)
	random := rand.New(rand.NewPCG(1, 2))
	const requests = 6000
	for i := range requests {
		model := fmt.Sprintf("model-%s-%d", long, i%1500)
		record.Refused(fmt.Sprintf("service-%d", i), "interactive", long, true)
		record.ColdStart(model, time.Duration(random.Int64N(int64(time.Hour))))
		record.IdleAccelerator(model, time.Second)
		record.Happened(long, long, long, clock.Now())
	}
	w := NewWriter(Settings{Instance: "e1", Incarnation: 4, Location: time.UTC}, record, random)
	data, err := encodeRow(w.Row(clock.Now(), record.Today()), maxRowBytes)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxRowBytes {
		t.Errorf("the row has %d bytes, wanted at most %d", len(data), maxRowBytes)
	}
	report := Sum(SumInput{
		Date: record.Today(), Location: time.UTC, Now: clock.Now(),
		Items: []ports.Item{{Key: "day/2026-03-28/e1-4", Value: data}},
	})
	got := []any{report.Refused, report.Waits.Count, report.IdleHours, len(report.Happenings) + report.HappeningsLeftOut}
	want := []any{uint64(requests), uint64(requests), requests / 3600.0, requests}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 })); diff != "" {
		t.Errorf("totals (-want +got):\n%s", diff)
	}
}
