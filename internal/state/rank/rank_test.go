package rank

import (
	"fmt"
	"testing"
)

// TestOrderReassignsOnlyKeysOfRemovedEntry checks that removing an entry reassigns only the
// keys for which it ranked first, and that each of 8 entries ranks first for between half
// and twice its share of 400 keys.
func TestOrderReassignsOnlyKeysOfRemovedEntry(t *testing.T) {
	all := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	counts := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprintf("zone/z/shard/%d", i)
		before, after := Order(key, all)[0], Order(key, all[1:])[0]
		counts[before]++
		if before != "e0" && before != after {
			t.Errorf("%s moved from %s to %s", key, before, after)
		}
	}
	for _, id := range all {
		if counts[id] < 25 || counts[id] > 100 {
			t.Errorf("%s ranks first for %d of 400 keys", id, counts[id])
		}
	}
}
