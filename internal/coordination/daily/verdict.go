package daily

import (
	"fmt"
	"strings"
	"time"
)

// Defaults of the goals.
const (
	defaultRefusedShare = 0.001
	defaultWaitP95      = 30 * time.Second
)

// Goals say what makes a good day.
type Goals struct {
	// RefusedShare is the largest share of requests that may be refused.
	RefusedShare float64
	// WaitP95 is how long 95 in 100 waits for a load may last.
	WaitP95 time.Duration
}

// DefaultGoals returns the goals of a deployment that sets none.
func DefaultGoals() Goals {
	return Goals{RefusedShare: defaultRefusedShare, WaitP95: defaultWaitP95}
}

// judge says in one sentence whether the day was good, and why.
func judge(r Report, g Goals) Verdict {
	causes := misses(r, g)
	tally := tallySentence(r)
	day := "day"
	if !r.Over {
		day = "day so far"
	}
	switch {
	case len(causes) > 0:
		return Verdict{
			Level:    LevelBad,
			Sentence: fmt.Sprintf("Not a good %s: %s. %s", day, strings.Join(causes, "; "), tally),
			Causes:   causes,
		}
	case !r.Completeness.Whole:
		gaps := fmt.Sprintf("%d of the instances' accounts are missing or not whole", len(r.Completeness.Gaps))
		return Verdict{
			Level:    LevelUnclear,
			Sentence: fmt.Sprintf("A good %s by what is known, but %s. %s", day, gaps, tally),
			Causes:   []string{gaps},
		}
	default:
		return Verdict{Level: LevelGood, Sentence: fmt.Sprintf("A good %s. %s", day, tally)}
	}
}

// misses lists the goals that the day missed.
func misses(r Report, g Goals) []string {
	var causes []string
	if r.Lost > 0 {
		causes = append(causes, fmt.Sprintf("%s lost with an instance", requests(r.Lost)))
	}
	if ended := r.Served + r.Refused; ended > 0 && float64(r.Refused) > g.RefusedShare*float64(ended) {
		causes = append(causes, fmt.Sprintf("%.2f%% of requests were refused, the goal is at most %.2f%%",
			100*float64(r.Refused)/float64(ended), 100*g.RefusedShare))
	}
	if p95 := time.Duration(r.Waits.P95); p95 > g.WaitP95 {
		causes = append(causes, fmt.Sprintf("5 in 100 waits for a model lasted %v or longer, the goal is at most %v", p95, g.WaitP95))
	}
	return causes
}

func tallySentence(r Report) string {
	if r.Arrived == 0 && r.Served == 0 && r.Refused == 0 {
		return "No requests came."
	}
	waits := "no caller waited for a model to load"
	if r.Waits.Count > 0 {
		waits = fmt.Sprintf("%d callers waited for a model to load, the longest for %v", r.Waits.Count, time.Duration(r.Waits.Worst))
	}
	return fmt.Sprintf("%s served, %d refused, %d lost; %s.", requests(r.Served), r.Refused, r.Lost, waits)
}

func requests(n uint64) string {
	if n == 1 {
		return "1 request was"
	}
	return fmt.Sprintf("%d requests were", n)
}
