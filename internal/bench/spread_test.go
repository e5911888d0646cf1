package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSeries has runs of which one saw no cold call and one broke a promise.
func TestSeries(t *testing.T) {
	run := func(seed uint64, p50 time.Duration, wrong int) *Report {
		r := &Report{Seed: seed, Kinds: map[ShotKind]*KindOf{
			ShotWarm: {Requests: 10, Verdicts: map[Verdict]int{Served: 9 - wrong, Wrong: wrong, Repeated: 1}},
		}}
		if p50 > 0 {
			r.Kinds[ShotCold] = &KindOf{First: Times{Count: 1, P50: p50}}
		}
		return r
	}
	s := NewSeries([]*Report{run(1, 30*time.Millisecond, 0), run(2, 0, 2), run(3, 10*time.Millisecond, 0)})
	var text bytes.Buffer
	if err := s.Print(&text); err != nil {
		t.Fatal(err)
	}
	want := `3 runs

                figure  least  middle  most   unit  runs
  cold first token p50   10.0    20.0  30.0     ms     2
  cold first token p95    0.0     0.0   0.0     ms     2
  cold first token p99    0.0     0.0   0.0     ms     2
            not served    0.0     0.0   2.0  calls     3
`
	if diff := cmp.Diff(want, text.String()); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"seed 2: 2 answers were wrong"}, s.Broken()); diff != "" {
		t.Errorf("broken (-want +got):\n%s", diff)
	}
}
