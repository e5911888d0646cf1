package recent_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/recent"
)

// TestSetEvictsOldestValue adds more values than fit: the oldest are evicted first, and a
// value that is added again is not stored twice.
func TestSetEvictsOldestValue(t *testing.T) {
	s := recent.NewSet[int](3)
	var added []bool
	for _, v := range []int{1, 2, 1, 3, 4, 5, 4, 1} {
		added = append(added, s.Add(v))
	}
	if diff := cmp.Diff([]bool{true, true, false, true, true, true, false, true}, added); diff != "" {
		t.Errorf("added (-want +got):\n%s", diff)
	}
	var kept []int
	for v := range 10 {
		if s.Has(v) {
			kept = append(kept, v)
		}
	}
	if diff := cmp.Diff([]int{1, 4, 5}, kept); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
}
