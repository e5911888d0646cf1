package dayui

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/state/config"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares text with a file.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

func waits(n uint64, p50, p95, worst time.Duration) daily.Waits {
	return daily.Waits{
		Count: n, P50: config.Duration(p50), P95: config.Duration(p95), P99: config.Duration(worst), Worst: config.Duration(worst),
	}
}

// badDay is a day with something in every part of the page.
func badDay() daily.Report {
	at := time.Date(2026, 3, 28, 1, 2, 3, 0, time.UTC)
	return daily.Report{
		Date: "2026-03-28", TimeZone: "Asia/Manila", AsOf: at.Add(20 * time.Hour), Over: true,
		Verdict: daily.Verdict{
			Level:    daily.LevelBad,
			Sentence: "Not a good day: 2 requests were lost with an instance. 9120 requests were served, 31 refused, 2 lost; 41 callers waited for a model to load, the longest for 1m14s.",
			Causes:   []string{"2 requests were lost with an instance"},
		},
		Arrived: 9160, Served: 9120, Refused: 31, Abandoned: 6, InFlight: 1, Lost: 2,
		Services: []daily.ServiceCount{
			{Service: "supper-assist", Arrived: 9000, Served: 8962, Refused: 31, Abandoned: 4},
			{Service: "ticket-desk", Arrived: 160, Served: 158, Abandoned: 2},
		},
		Refusals: []daily.Refusal{{Reason: "deadline", NotRun: true, Count: 30}, {Reason: "targetSilent", Count: 1}},
		RunOnce:  []daily.Outcome{{Service: "ticket-desk", Outcome: "done", Count: 80}, {Service: "ticket-desk", Outcome: "outcomeUnknown", Count: 1}},
		Waits:    waits(41, 2100*time.Millisecond, 19*time.Second, 74*time.Second), IdleHours: 12.345,
		Models: []daily.ModelReport{
			{Model: "menu-<b>kamaro</b>", Waits: waits(40, 2*time.Second, 12*time.Second, 74*time.Second), IdleHours: 2},
			{Model: "schedule", Waits: waits(1, 800*time.Millisecond, 800*time.Millisecond, 800*time.Millisecond)},
			{Model: "rarely", IdleHours: 10.345},
		},
		Happenings: []daily.Happening{
			{At: at, Kind: "kvOutage", Subject: "platform", Detail: "no answer for 12s"},
			{At: at.Add(time.Minute), Kind: "takeover", Subject: "shard 3"},
		},
		Completeness: daily.Completeness{Rows: 7, Uncounted: 12, Gaps: []daily.Gap{
			{Instance: "entry-3-17", Reason: "ended without its last row; what it counted after 09:02:03 is missing"},
			{Reason: "the rows could not all be read: the key-value service answered unavailable"},
		}},
	}
}

func quietDay() daily.Report {
	return daily.Report{
		Date: "2026-03-29", TimeZone: "UTC", AsOf: time.Date(2026, 3, 29, 6, 0, 0, 0, time.UTC),
		Verdict:      daily.Verdict{Level: daily.LevelGood, Sentence: "A good day so far. No requests came."},
		Completeness: daily.Completeness{Rows: 8, Whole: true},
	}
}

func TestPages(t *testing.T) {
	for name, report := range map[string]daily.Report{"bad": badDay(), "quiet": quietDay()} {
		t.Run(name, func(t *testing.T) {
			var page, text strings.Builder
			if err := HTML(&page, report); err != nil {
				t.Fatal(err)
			}
			if err := Text(&text, report); err != nil {
				t.Fatal(err)
			}
			golden(t, name+".html", page.String())
			golden(t, name+".txt", text.String())
		})
	}
}

// TestVerdictComesFirst looks for the sentence before any figure.
func TestVerdictComesFirst(t *testing.T) {
	var page strings.Builder
	if err := HTML(&page, badDay()); err != nil {
		t.Fatal(err)
	}
	_, body, _ := strings.Cut(page.String(), "<body>")
	sentence, figures := strings.Index(body, "Not a good day"), strings.Index(body, "<dl>")
	if sentence < 0 || sentence > figures {
		t.Errorf("the sentence stands at %d, the figures at %d", sentence, figures)
	}
	if strings.Contains(body, "<b>kamaro") {
		t.Error("a model's name is taken as HTML")
	}
}

// sheetLines is how many lines of 9 pt text an A4 sheet with 12 mm margins holds.
const sheetLines = 80

// TestLongDayFitsOnASheet counts the lines of a day with hundreds of everything.
func TestLongDayFitsOnASheet(t *testing.T) {
	r := badDay()
	for i := range 500 {
		name := fmt.Sprintf("item-%03d", i)
		r.Models = append(r.Models, daily.ModelReport{Model: name, Waits: waits(1, 1, 1, 1), IdleHours: 1})
		r.Refusals = append(r.Refusals, daily.Refusal{Reason: name, Count: 1})
		r.Services = append(r.Services, daily.ServiceCount{Service: name})
		r.RunOnce = append(r.RunOnce, daily.Outcome{Service: name, Outcome: "done", Count: 1})
		r.Happenings = append(r.Happenings, daily.Happening{Kind: name})
		r.Completeness.Gaps = append(r.Completeness.Gaps, daily.Gap{Instance: name})
	}
	var page strings.Builder
	if err := HTML(&page, r); err != nil {
		t.Fatal(err)
	}
	lines := strings.Count(page.String(), "<tr>") + strings.Count(page.String(), "<h2>") + strings.Count(page.String(), "<p ")
	// The boxes of the totals take four lines.
	if lines += 4; lines > sheetLines {
		t.Errorf("the page has %d lines, a sheet holds %d", lines, sheetLines)
	}
}

func TestUnknownTimeZone(t *testing.T) {
	r := quietDay()
	r.TimeZone = "Mars/Base"
	if err := HTML(&strings.Builder{}, r); err == nil || !strings.Contains(err.Error(), "Mars/Base") {
		t.Errorf("got %v, wanted an error that names the zone", err)
	}
}
