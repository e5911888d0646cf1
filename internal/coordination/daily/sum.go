package daily

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/hist"
)

// Bounds of a Report.
const (
	reportModels     = 100
	reportHappenings = 200
	// staleIntervals is the number of a row's own intervals after which it
	// should have been written again.
	staleIntervals = 3
)

// SumInput is what a report is made of.
type SumInput struct {
	Date     Date
	Location *time.Location
	Now      time.Time
	// Items are the stored rows of the date.
	Items []ports.Item
	// Local is the asking instance's own row, which replaces its stored one.
	Local *Row
	// Members are the entries known now.
	Members []ports.Member
	// Unread says why the rows could not all be read, empty if they were.
	Unread string
	Goals  Goals
}

// Sum adds up the rows of a date.
//
// Each incarnation of an instance has a row of its own that holds its totals,
// so each is added exactly once. A row that cannot be read is reported as a
// gap and the others still count.
func Sum(in SumInput) Report {
	s := summer{in: in, total: hist.New(hist.Fine), counters: make(map[Key]uint64), models: make(map[string]ModelRow)}
	s.report = Report{
		Date:     in.Date.String(),
		TimeZone: in.Location.String(),
		AsOf:     in.Now.UTC(),
		Over:     !in.Now.Before(in.Date.End(in.Location)),
		// A list without items is a list in JSON too, not null.
		Services:   []ServiceCount{},
		Refusals:   []Refusal{},
		RunOnce:    []Outcome{},
		Models:     []ModelReport{},
		Happenings: []Happening{},
	}
	for _, row := range s.rows() {
		s.add(row)
	}
	s.missing()
	if in.Unread != "" {
		s.gap("", "the rows could not all be read: "+in.Unread)
	}
	s.finish()
	s.report.Verdict = judge(s.report, in.Goals)
	return s.report
}

type summer struct {
	in       SumInput
	report   Report
	counters map[Key]uint64
	models   map[string]ModelRow
	total    *hist.Hist
	seen     []Row
}

// rows returns the rows that can be read, each once, with the local one in
// place of its stored form.
func (s *summer) rows() []Row {
	var rows []Row
	for _, item := range s.in.Items {
		row, err := decodeRow(item.Value)
		if err == nil {
			err = s.fits(item.Key, row)
		}
		if err != nil {
			s.gap(instanceOf(item.Key), "its row is "+err.Error())
			continue
		}
		if s.in.Local != nil && s.in.Local.Nonce == row.Nonce && s.in.Local.Instance == row.Instance {
			continue
		}
		rows = append(rows, row)
	}
	if s.in.Local != nil {
		rows = append(rows, *s.in.Local)
	}
	return rows
}

// fits checks that a row belongs under the key at which it was found.
func (s *summer) fits(key string, row Row) error {
	want := rowKey(s.in.Date, row.Instance, row.Incarnation, "")
	if row.Date != s.in.Date.String() || key != want && !strings.HasPrefix(key, want+".") {
		return fmt.Errorf("damaged: it says that it is of %s-%d on %s", row.Instance, row.Incarnation, row.Date)
	}
	return nil
}

// instanceOf returns the instance and incarnation part of a row's key.
func instanceOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}

func (s *summer) add(row Row) {
	s.seen = append(s.seen, row)
	s.report.Completeness.Rows++
	for _, c := range row.Counts.Counters {
		s.counters[c.Key] += c.Count
	}
	for name, m := range row.Counts.Models {
		sum := s.models[name]
		sum.add(m)
		s.models[name] = sum
	}
	s.total.Merge(row.Counts.Waits)
	s.report.Happenings = append(s.report.Happenings, row.Counts.Happenings...)
	s.report.HappeningsLeftOut += row.Counts.HappeningsLeftOut
	s.judgeRow(row)
}

// judgeRow tells requests under way from lost ones, and finds rows that lack
// their end.
func (s *summer) judgeRow(row Row) {
	unfinished := row.Counts.unfinished()
	if s.isLocal(row) {
		s.report.InFlight += unfinished
		return
	}
	if row.Final {
		s.close(row, unfinished)
		return
	}
	name := fmt.Sprintf("%s-%d", row.Instance, row.Incarnation)
	if !s.alive(row) {
		s.close(row, unfinished)
		if row.Kept {
			s.gap(name, fmt.Sprintf("ended without its last row; a neighbour kept its counts up to %s", s.clock(row.Written)))
			return
		}
		s.report.Completeness.Uncounted += row.Pace
		s.gap(name, fmt.Sprintf("ended without its last row; what it counted after %s is missing", s.clock(row.Written)))
		return
	}
	s.report.InFlight += unfinished
	if s.in.Now.Sub(row.Written) > maxInterval+staleIntervals*row.Interval {
		s.report.Completeness.Uncounted += row.Pace
		s.gap(name, fmt.Sprintf("has not written since %s", s.clock(row.Written)))
	}
}

// close judges what the last row of a date had not finished. A row that was
// written after its date's end says nothing of an end of its instance: the
// requests went on into the next date, whose row carries them over and counts
// them when they end. One that was written within its date is the last word of an
// instance that stopped or died.
func (s *summer) close(row Row, unfinished uint64) {
	if row.Written.Before(s.in.Date.End(s.in.Location)) {
		s.report.Lost += unfinished
		return
	}
	s.report.InFlight += unfinished
}

func (s *summer) clock(t time.Time) string {
	return t.In(s.in.Location).Format(time.TimeOnly)
}

func (s *summer) isLocal(row Row) bool {
	return s.in.Local != nil && row.Nonce == s.in.Local.Nonce && row.Instance == s.in.Local.Instance
}

func (s *summer) alive(row Row) bool {
	return slices.ContainsFunc(s.in.Members, func(m ports.Member) bool {
		return m.ID == row.Instance && m.Incarnation == row.Incarnation && m.Phase != ports.MemberGone
	})
}

// missing finds members that have no row at all. On an earlier date they may
// not have existed, and right after midnight they have not come to write yet.
func (s *summer) missing() {
	if s.report.Over || s.in.Now.Sub(s.in.Date.Start(s.in.Location)) < settleTime {
		return
	}
	for _, m := range s.in.Members {
		if m.Phase == ports.MemberGone || slices.ContainsFunc(s.seen, func(r Row) bool {
			return r.Instance == m.ID && r.Incarnation == m.Incarnation
		}) {
			continue
		}
		s.gap(fmt.Sprintf("%s-%d", m.ID, m.Incarnation), "is known to run and has no row yet")
	}
}

func (s *summer) gap(instance, reason string) {
	c := &s.report.Completeness
	c.Gaps = append(c.Gaps, Gap{Instance: instance, Reason: reason})
}

func (s *summer) finish() {
	r := &s.report
	r.Completeness.Whole = len(r.Completeness.Gaps) == 0
	s.finishCounters()
	s.finishModels()
	r.Waits = summarize(s.total)
	slices.SortStableFunc(r.Happenings, func(a, b Happening) int { return a.At.Compare(b.At) })
	if extra := len(r.Happenings) - reportHappenings; extra > 0 {
		r.HappeningsLeftOut += extra
		r.Happenings = r.Happenings[:reportHappenings]
	}
}

func (s *summer) finishCounters() {
	r := &s.report
	services := make(map[string]ServiceCount)
	refusals := make(map[Refusal]uint64)
	for key, n := range s.counters {
		service := services[key.Service]
		switch key.Kind {
		case KindArrived:
			r.Arrived += n
			service.Arrived += n
		case KindServed:
			r.Served += n
			service.Served += n
		case KindRefused:
			r.Refused += n
			service.Refused += n
			refusals[Refusal{Reason: key.Reason, NotRun: key.NotRun}] += n
		case KindAbandoned:
			r.Abandoned += n
			service.Abandoned += n
		case KindCarried:
			continue
		case KindRunOnce:
			r.RunOnce = append(r.RunOnce, Outcome{Service: key.Service, Outcome: key.Reason, Count: n})
			continue
		}
		services[key.Service] = service
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		service := services[name]
		service.Service = name
		r.Services = append(r.Services, service)
	}
	for refusal, n := range refusals {
		refusal.Count = n
		r.Refusals = append(r.Refusals, refusal)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), compareBools(a.NotRun, b.NotRun))
	})
	slices.SortFunc(r.RunOnce, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Outcome, b.Outcome))
	})
}

// finishModels lists the models that kept callers waiting longest, and sums
// those beyond the bound.
func (s *summer) finishModels() {
	for name, m := range topOfModels(s.models, reportModels) {
		report := ModelReport{Model: name, IdleHours: m.IdleNanos.Hours()}
		if m.Waits != nil {
			report.Waits = summarize(m.Waits)
		}
		s.report.Models = append(s.report.Models, report)
		s.report.IdleHours += m.IdleNanos.Hours()
	}
	slices.SortFunc(s.report.Models, func(a, b ModelReport) int {
		return cmp.Or(
			cmp.Compare(b.Waits.Worst, a.Waits.Worst),
			cmp.Compare(b.IdleHours, a.IdleHours),
			cmp.Compare(a.Model, b.Model),
		)
	})
}

func summarize(h *hist.Hist) Waits {
	return Waits{
		Count: h.Count(),
		P50:   config.Duration(h.Quantile(0.50)),
		P95:   config.Duration(h.Quantile(0.95)),
		P99:   config.Duration(h.Quantile(0.99)),
		Worst: config.Duration(h.Max()),
	}
}
