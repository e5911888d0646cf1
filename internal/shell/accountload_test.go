package shell

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLoadAccount guards against a true load that leaves out the requests of other
// instances, counts those that have ended, or counts the request itself.
func TestLoadAccount(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var b strings.Builder
	line := func(request, target string, at, waited, took, began int, load float64, sends int) {
		fmt.Fprintf(&b, `{"time":%q,"request":%q,"route":"chat","target":%q,"status":200,"reason":"answered","sends":%d,`+
			`"ran":1,"waited":%d,"began":%d,"took":%d,"goal":1000,"load":%g,"message":"ended"}`+"\n",
			start.Add(time.Duration(at+took)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"),
			request, target, sends, waited, began, took, load)
	}
	// Five requests at "a" one after the other, which stay; the last waits before it is sent.
	for i := range 4 {
		line(fmt.Sprint("r", i), "a", 10*i, 0, 5000, 100, float64(i), 1)
	}
	line("r4", "a", 0, 2000, 4000, 2100, 1, 1)
	// One that has ended before the next, one at another target, and one that was sent twice.
	line("r5", "b", 0, 0, 100, 50, 0, 1)
	line("r6", "b", 200, 0, 100, 50, 0, 1)
	line("r7", "b", 250, 0, 100, 50, 9, 2)
	want := "exit 0\nout: true load  requests  late     believed\n" +
		"0-3        6         0.0 %    1.0\n" +
		"4-7        1         100.0 %  1.0\n" +
		"8-11       0         0.0 %    0.0\n" +
		"12-15      0         0.0 %    0.0\n" +
		"16-23      0         0.0 %    0.0\n" +
		"24-35      0         0.0 %    0.0\n" +
		"36-47      0         0.0 %    0.0\n" +
		"48+        0         0.0 %    0.0\n" +
		"rank correlation 0.83\n"
	if diff := cmp.Diff(want, called(b.String(), "account", "--load")); diff != "" {
		t.Errorf("account (-want +got):\n%s", diff)
	}
}

func TestRankCorrelation(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want float64
	}{
		{"the same order", []float64{1, 5, 9}, []float64{2, 3, 100}, 1},
		{"the reverse", []float64{1, 5, 9}, []float64{3, 2, 1}, -1},
		{"constant", []float64{1, 5, 9}, []float64{4, 4, 4}, 0},
		{"ties", []float64{1, 1, 2, 2}, []float64{1, 2, 1, 2}, 0},
		{"empty", nil, nil, 0},
	} {
		if got := correlation(ranks(c.x), ranks(c.y)); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}
