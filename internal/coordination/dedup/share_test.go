package dedup

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestCountEntries checks the estimate for zones that are known completely or by a
// sample.
func TestCountEntries(t *testing.T) {
	table := []struct {
		zones map[string]int
		want  int
	}{
		{nil, 1},
		{map[string]int{"bul-a": 1}, 1},
		{map[string]int{"bul-a": 3, "bul-b": 3, "pam-a": 2}, 8},
		// One zone is known completely, ten others by a sample of 8.
		{map[string]int{"a": 91, "b": 8, "c": 8, "d": 8, "e": 8, "f": 8, "g": 8, "h": 8, "i": 8, "j": 8, "k": 8}, 1001},
	}
	for _, c := range table {
		var members []ports.Member
		for zone, n := range c.zones {
			for i := range n {
				members = append(members, ports.Member{ID: fmt.Sprint(zone, i), Zone: zone, Phase: ports.MemberAlive})
			}
			members = append(members, ports.Member{ID: zone + "-gone", Zone: zone, Phase: ports.MemberGone})
		}
		if diff := cmp.Diff(c.want, countEntries(members)); diff != "" {
			t.Errorf("%v (-want +got):\n%s", c.zones, diff)
		}
	}
}
