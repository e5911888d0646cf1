package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRoute follows the destinations of an instance's messages: one failed message is
// enough to leave a relay, which is tried again after some time.
func TestRoute(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	relays := []netip.AddrPort{first, second}
	now := time.UnixMilli(0)
	r := NewRoute()
	var got []string
	next := func() {
		to, ok := r.Next(now, relays)
		got = append(got, map[bool]string{true: to.Addr().String(), false: "holder"}[ok])
	}
	next()
	r.Fail(now, first, Silent)
	next()
	r.Fail(now, second, Behind)
	next()
	now = now.Add(behindDelay)
	next()
	now = now.Add(retryDelay - behindDelay)
	next()
	// The updates of the first are old, then those of both.
	r.NoteAge(now, first, MaxRelayAge+1, relays)
	next()
	r.NoteAge(now, second, MaxRelayAge+1, relays)
	next()
	want := []string{"10.0.0.1", "10.0.0.2", "holder", "10.0.0.2", "10.0.0.1", "10.0.0.2", "10.0.0.2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("destinations (-want +got):\n%s", diff)
	}
}

// TestFreshnessOutlastsIntervals guards against intervals that grow with the fleet beyond
// the age up to which updates are fresh, as they did from 275 instances on.
func TestFreshnessOutlastsIntervals(t *testing.T) {
	for _, senders := range []int{1, 30, 300, 1000, 100_000} {
		direct := Interval + Spread(senders) + MaxMessageDelay
		relayed := ReportInterval + Spread(senders) + MaxMessageDelay + Interval + MaxMessageDelay
		if direct >= MaxAge || relayed > MaxAge {
			t.Errorf("%d senders: updates are up to %v old from the holder, %v from a relay; fresh for %v",
				senders, direct, relayed, MaxAge)
		}
	}
}

// TestTreeKeepsItsList guards against a holder that forgets the children of a relay which
// names them by their hash, or takes a list for another than it is.
func TestTreeKeepsItsList(t *testing.T) {
	tree := NewTree()
	live := []Child{{Name: "a"}, {Name: "b"}}
	var known uint64
	var got []int
	tell := func(c *Children) {
		alive, hash := tree.Put("r", c)
		known = hash
		got = append(got, len(alive))
	}
	tell(NameChildren(live, known))
	tell(NameChildren(live, known))
	tell(NameChildren(live[:1], known))
	// A reply that was lost: the relay takes the holder to know something else.
	tell(NameChildren(live, hashOf(live)))
	tell(NameChildren(live, known))
	tell(NameChildren(nil, known))
	tell(NameChildren(nil, known))
	if diff := cmp.Diff([]int{2, 2, 1, 0, 2, 0, 0}, got); diff != "" || !tree.IsEmpty() {
		t.Errorf("children alive (-want +got):\n%s", diff)
	}
}
