package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var limits = Limits{RetriesPerRequest: 0.2, RetriesPerWindow: 60, Window: 10 * time.Second}

// TestFleetKeepsTheWindow lets every instance retry whenever its budget allows it, while
// requests arrive in bursts, and checks the limits in each window.
func TestFleetKeepsTheWindow(t *testing.T) {
	const instances, step = 6, 100 * time.Millisecond
	start := time.Unix(0, 0)
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(limits)
		budgets[i].SetInstances(instances)
	}
	var requests, retries []int
	for n := range 600 {
		now := start.Add(time.Duration(n) * step)
		arrived, retried := 0, 0
		for i, b := range budgets {
			if n%50 < 10 {
				arrived += 5
				for range 5 {
					b.Earn("desk", now)
				}
			}
			for range 1 + i {
				if b.Spend("desk", now) {
					retried++
				}
			}
		}
		requests, retries = append(requests, arrived), append(retries, retried)
	}
	checkWindows(t, requests, retries)
}

func TestUnknownFleetSpendsLittle(t *testing.T) {
	b := NewBudget(limits)
	spent := 0
	for range 50 {
		if b.Spend("desk", time.Unix(0, 0)) {
			spent++
		}
	}
	if spent > 1 {
		t.Errorf("%d retries before the number of instances is known", spent)
	}
}

// TestLargeFleetKeepsTheWindow guards against a fleet retrying more than its budget
// because each of its many instances may retry once: all retry together after a quiet
// time, as when a target fails, and go on trying.
func TestLargeFleetKeepsTheWindow(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, instances := range []int{6, 84, 300} {
		for _, requestsPerSecond := range []float64{0, 5, 50, 500} {
			t.Run(fmt.Sprintf("%d instances, %v requests a second", instances, requestsPerSecond), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(instances), 1))
				now := time.Unix(0, 0)
				budgets := make([]*Budget, instances)
				for i := range budgets {
					budgets[i] = NewBudget(limits, WithRandom(random.Float64))
					budgets[i].SetInstances(instances)
				}
				var requests, retries []int
				for n := range 600 {
					now = now.Add(step)
					arrived, retried := 0, 0
					for _, b := range budgets {
						if random.Float64() < requestsPerSecond*step.Seconds()/float64(instances) {
							arrived++
							b.Earn("desk", now)
						}
						for n >= 300 && b.Spend("desk", now) {
							retried++
						}
					}
					requests, retries = append(requests, arrived), append(retries, retried)
				}
				checkWindows(t, requests, retries)
			})
		}
	}
}

// checkWindows checks that no window of 100 steps has more retries than the limits allow.
func checkWindows(t *testing.T, requests, retries []int) {
	t.Helper()
	const window = 100
	for from := 0; from+window <= len(retries); from++ {
		earned, spent := 0, 0
		for i := from; i < from+window; i++ {
			earned += requests[i]
			spent += retries[i]
		}
		if allowed := limits.RetriesPerRequest*float64(earned) + limits.RetriesPerWindow; float64(spent) > allowed {
			t.Fatalf("window from step %d: %d retries, %.0f allowed", from, spent, allowed)
		}
	}
}
