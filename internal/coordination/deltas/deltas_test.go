package deltas

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// result is what After returns, with deleted keys marked by a minus sign.
type result struct {
	Keys    []string
	Whole   bool
	Through ports.Revision
	OK      bool
}

func changesAfter(t *Trail, revision ports.Revision) result {
	got, ok := t.After(revision)
	out := result{Whole: got.Whole, Through: got.Through, OK: ok}
	for _, item := range got.Items {
		key := item.Key
		if item.Deleted {
			key = "-" + key
		}
		out.Keys = append(out.Keys, key)
	}
	return out
}

func change(key string, revision ports.Revision) ports.Item {
	return ports.Item{Key: key, Revision: revision}
}

func TestAfter(t *testing.T) {
	tr := New(10)
	tr.Begin(5)
	tr.Add([]ports.Item{change("a", 6), change("b", 8)}, 9)
	tr.Add([]ports.Item{change("a", 11), {Key: "b", Revision: 12, Deleted: true}}, 12)
	// A change that is read twice has no effect.
	tr.Add([]ports.Item{change("b", 8)}, 12)
	for _, c := range []struct {
		name string
		from ports.Revision
		want result
	}{
		{"before the first change", 4, result{}},
		{"from the start", 5, result{Keys: []string{"a", "-b"}, Through: 12, OK: true}},
		{"in the middle", 11, result{Keys: []string{"-b"}, Through: 12, OK: true}},
		{"at the end", 12, result{Keys: nil, Through: 12, OK: true}},
		{"ahead of the trail", 20, result{Keys: nil, Through: 12, OK: true}},
	} {
		if diff := cmp.Diff(c.want, changesAfter(tr, c.from)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestBeginKeepsAdjoiningChanges checks that the known changes are kept if the next ones
// follow without a gap, and dropped otherwise.
func TestBeginKeepsAdjoiningChanges(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin ports.Revision
		want  result
	}{
		{"adjoining", 8, result{Keys: []string{"a", "c"}, Through: 15, OK: true}},
		{"with a gap", 12, result{}},
		{"from an earlier revision", 3, result{Keys: []string{"c"}, Through: 15, OK: true}},
	} {
		tr := New(10)
		tr.Begin(5)
		tr.Add([]ports.Item{change("a", 6)}, 9)
		tr.Begin(c.begin)
		tr.Add([]ports.Item{change("c", 15)}, 15)
		if diff := cmp.Diff(c.want, changesAfter(tr, 5)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestDropsOldestChanges checks that the oldest changes are dropped, and that After
// returns false to a reader that needs them.
func TestDropsOldestChanges(t *testing.T) {
	tr := New(4)
	tr.Begin(0)
	for r := ports.Revision(1); r <= 5; r++ {
		tr.Add([]ports.Item{change(string(rune('a'+r)), r)}, r)
	}
	if diff := cmp.Diff(result{}, changesAfter(tr, 1)); diff != "" {
		t.Errorf("from before a dropped change (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(result{Keys: []string{"d", "e", "f"}, Through: 5, OK: true}, changesAfter(tr, 2)); diff != "" {
		t.Errorf("kept changes (-want +got):\n%s", diff)
	}
}

// TestSetKnowsAllKeys checks that a reader that needs changes from before the full list
// gets all keys, and that only deletions are dropped.
func TestSetKnowsAllKeys(t *testing.T) {
	tr := New(2)
	tr.Set([]ports.Item{change("a", 3), change("b", 6)}, 9)
	tr.Add([]ports.Item{change("c", 10), {Key: "a", Revision: 11, Deleted: true}}, 11)
	for _, c := range []struct {
		name string
		from ports.Revision
		want result
	}{
		{"nothing known", 0, result{Keys: []string{"b", "c"}, Whole: true, Through: 11, OK: true}},
		{"from the list on", 9, result{Keys: []string{"c", "-a"}, Through: 11, OK: true}},
	} {
		if diff := cmp.Diff(c.want, changesAfter(tr, c.from)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	tr.Add([]ports.Item{{Key: "b", Revision: 12, Deleted: true}, {Key: "d", Revision: 13, Deleted: true}}, 13)
	want := result{Keys: []string{"c"}, Whole: true, Through: 13, OK: true}
	if diff := cmp.Diff(want, changesAfter(tr, 9)); diff != "" {
		t.Errorf("from before a dropped deletion (-want +got):\n%s", diff)
	}
}

// TestChangedSignalsChanges checks that the channel is closed when there are changes, and
// not when only the revision increases.
func TestChangedSignalsChanges(t *testing.T) {
	tr := New(4)
	tr.Begin(1)
	c := tr.Changed()
	tr.Add(nil, 3)
	select {
	case <-c:
		t.Error("Changed signaled without a change")
	default:
	}
	tr.Add([]ports.Item{change("a", 4)}, 4)
	select {
	case <-c:
	default:
		t.Error("Changed did not signal a change")
	}
}
