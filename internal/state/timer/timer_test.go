package timer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestVirtualCallsInOrderOfDueTime(t *testing.T) {
	v := NewVirtual(time.Unix(0, 0))
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	v.After(2*time.Second, record("second"))
	v.After(time.Second, record("first"))
	v.After(2*time.Second, record("third"))
	cancel := v.After(time.Second, record("cancelled"))
	cancel()
	v.Advance(3 * time.Second)
	if diff := cmp.Diff([]string{"first", "second", "third"}, got); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestEveryStopsWhenCancelled(t *testing.T) {
	v := NewVirtual(time.Unix(0, 0))
	n := 0
	cancel := Every(v, time.Second, func() { n++ })
	v.Advance(5 * time.Second)
	cancel()
	v.Advance(5 * time.Second)
	if diff := cmp.Diff(5, n); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}
