package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestCopyKeepsTheTimeOfRemoval passes on an update that a target is to be removed some time
// after it came. It guards against children of a relay that use the target for longer than the
// holder has said.
func TestCopyKeepsTheTimeOfRemoval(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := NewCopy()
	leaving := picker.Update{Identity: fleet.Identity{ID: "a", Born: 1}, Revision: eras.Revision{Number: 20}, RemovalMS: 1500}
	c.Adopt(State{Position: Position{Term: 1, Version: 1}}, start, true, []picker.Update{leaving})
	var got []int64
	for i, after := range []time.Duration{0, 400 * time.Millisecond, 3 * time.Second} {
		// The relay's own state is as of its last message.
		c.Adopt(State{Position: Position{Term: 1, Version: uint64(2 + i)}}, start.Add(after), false, nil)
		updates, _ := c.After(Position{})
		got = append(got, updates[0].RemovalMS)
	}
	if diff := cmp.Diff([]int64{1500, 1100, 1}, got); diff != "" {
		t.Errorf("time until the removal in ms (-want +got):\n%s", diff)
	}
}

// TestLateMessageOfAFormerHolder guards against the updates of a former holder, passed on late by a
// relay, in place of those of its successor.
func TestLateMessageOfAFormerHolder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := NewCopy()
	adopt := func(term int64, version uint64, asOf time.Duration, id string) bool {
		update := picker.Update{Identity: fleet.Identity{ID: id, Born: 1}}
		return c.Adopt(State{Position: Position{Term: term, Version: version}}, start.Add(asOf), true, []picker.Update{update})
	}
	got := []bool{
		adopt(9, 4, time.Second, "old"), adopt(3, 1, 2*time.Second, "new"),
		adopt(9, 5, 1900*time.Millisecond, "old"), adopt(9, 5, 2*time.Second, "old"),
	}
	if diff := cmp.Diff([]bool{true, true, false, false}, got); diff != "" {
		t.Errorf("messages that were taken (-want +got):\n%s", diff)
	}
	if updates, _ := c.After(Position{}); len(updates) != 1 || updates[0].ID != "new" {
		t.Errorf("updates %v, wanted those of the successor", updates)
	}
}
