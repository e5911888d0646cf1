package dayui

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/state/config"
)

// sheet bounds the lists of a view.
type sheet struct {
	models, happenings, gaps, refusals, services, outcomes int
}

// view is a report cut to a sheet, with the number of lines left out.
type view struct {
	daily.Report
	zone *time.Location
	// Waiters are the models that kept callers waiting.
	Waiters                                             []daily.ModelReport
	MoreWaiters                                         int
	Idlers                                              []daily.ModelReport
	MoreIdlers                                          int
	MoreHappenings, MoreGaps, MoreRefusals, MoreService int
	MoreOutcomes                                        int
}

func newView(r daily.Report, s sheet) (view, error) {
	zone, err := time.LoadLocation(r.TimeZone)
	if err != nil {
		return view{}, trace.BadParameter("time zone %q of the report is not known", r.TimeZone)
	}
	v := view{Report: r, zone: zone}
	v.Waiters, v.MoreWaiters = cut(waiters(r.Models), s.models)
	v.Idlers, v.MoreIdlers = cut(idlers(r.Models), s.models/2)
	v.Happenings, v.MoreHappenings = cut(r.Happenings, s.happenings)
	v.MoreHappenings += r.HappeningsLeftOut
	v.Completeness.Gaps, v.MoreGaps = cut(r.Completeness.Gaps, s.gaps)
	v.Refusals, v.MoreRefusals = cut(r.Refusals, s.refusals)
	v.RunOnce, v.MoreOutcomes = cut(r.RunOnce, s.outcomes)
	v.Services, v.MoreService = cut(r.Services, s.services)
	return v, nil
}

// cut returns the first n of all and how many are left out.
func cut[T any](all []T, n int) ([]T, int) {
	if len(all) <= n {
		return all, 0
	}
	return all[:n], len(all) - n
}

// Clock returns the time of day in the report's zone.
func (v view) Clock(t time.Time) string {
	return t.In(v.zone).Format("15:04:05")
}

// heading is the short form of the verdict.
func heading(l daily.Level) string {
	switch l {
	case daily.LevelGood:
		return "Good"
	case daily.LevelBad:
		return "Not good"
	default:
		return "Unclear"
	}
}

func clock(v view, t time.Time) string {
	return v.Clock(t)
}

// hours prints accelerator hours.
func hours(h float64) string {
	return fmt.Sprintf("%.2f h", h)
}

// brief prints a duration in the digits that matter to a reader.
func brief(d config.Duration) string {
	v := time.Duration(d)
	switch {
	case v >= time.Minute:
		return v.Round(time.Second).String()
	case v >= time.Second:
		return fmt.Sprintf("%.1fs", v.Seconds())
	default:
		return v.Round(time.Millisecond).String()
	}
}
