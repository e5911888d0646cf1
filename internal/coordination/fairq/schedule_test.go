package fairq

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestShares guards against a flow that gets less than its weighted share by more than one
// item. Load: flows with items of random sizes and weights that are all backlogged.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New[string, float64]()
		weights := make(map[string]float64)
		var largest float64
		for i := range rapid.IntRange(2, 8).Draw(t, "flows") {
			f := s.Ensure(fmt.Sprint(i))
			s.Add(f)
			weights[f.Key] = float64(rapid.IntRange(1, 10).Draw(t, "weight"))
		}
		for range 200 {
			f := s.Next()
			tokens := float64(rapid.IntRange(1, 1000).Draw(t, "tokens"))
			s.Charge(f, tokens, weights[f.Key])
			f.Items += tokens / weights[f.Key]
			largest = max(largest, tokens/weights[f.Key])
		}
		least, most := math.Inf(1), 0.0
		for f := range s.Active() {
			least, most = min(least, f.Items), max(most, f.Items)
		}
		if most-least > largest {
			t.Errorf("flows got %.0f to %.0f over their weights with items of up to %.0f", least, most, largest)
		}
	})
}

// TestWalkGivesNoCredit guards against a flow that delays others for as long as it could
// not be served itself, and against a lead that is lost by being passed over.
func TestWalkGivesNoCredit(t *testing.T) {
	s := New[string, int]()
	for _, key := range []string{"blocked", "led", "served"} {
		s.Add(s.Ensure(key))
	}
	s.Flow("led").SetLead(15)
	var got []string
	for i := range 20 {
		room := 2
		s.Walk(func(f *Flow[string, int]) bool {
			if room == 0 || f.Key == "blocked" && i < 10 {
				return false
			}
			room--
			got = append(got, f.Key)
			s.Charge(f, 10, 1)
			return true
		})
	}
	first, blocked := fmt.Sprint(got[:4]), strings.Count(fmt.Sprint(got[20:]), "blocked")
	if first != "[served served led served]" || blocked > len(got[20:])/3+2 {
		t.Errorf("served %v", got)
	}
}

// TestForgets guards against memory that grows with each key that was ever used.
func TestForgets(t *testing.T) {
	s := New[int, struct{}]()
	for i := range 10_000 {
		f := s.Ensure(i)
		s.Add(f)
		s.Charge(f, 1, 1)
		s.Remove(f)
	}
	if len(s.flows) > 2*minSweepSize {
		t.Errorf("%d flows are kept", len(s.flows))
	}
}
