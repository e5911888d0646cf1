package deltas

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// result is what Since returns, with deleted keys marked by a minus sign.
type result struct {
	Keys       []string
	IsFullList bool
	Through    ports.Revision
	OK         bool
}

func changesSince(t *Log, revision ports.Revision) result {
	got, ok := t.Since(rev(revision))
	out := result{IsFullList: got.IsFullList, Through: ports.Revision(got.Through.Number), OK: ok}
	for _, item := range got.Items {
		key := item.Key
		if item.Deleted {
			key = "-" + key
		}
		out.Keys = append(out.Keys, key)
	}
	return out
}

// rev returns a revision of a store that tells no era.
func rev(number ports.Revision) eras.Revision { return eras.Revision{Number: uint64(number)} }

func change(key string, revision ports.Revision) ports.Item {
	return ports.Item{Key: key, Revision: revision}
}

func TestSince(t *testing.T) {
	l := New(10)
	l.StartAfter(rev(5))
	l.Add([]ports.Item{change("a", 6), change("b", 8)}, rev(9))
	l.Add([]ports.Item{change("a", 11), {Key: "b", Revision: 12, Deleted: true}}, rev(12))
	// A change that is read twice has no effect.
	l.Add([]ports.Item{change("b", 8)}, rev(12))
	for _, c := range []struct {
		name string
		from ports.Revision
		want result
	}{
		{"before the first change", 4, result{}},
		{"from the start", 5, result{Keys: []string{"a", "-b"}, Through: 12, OK: true}},
		{"in the middle", 11, result{Keys: []string{"-b"}, Through: 12, OK: true}},
		{"at the end", 12, result{Keys: nil, Through: 12, OK: true}},
		{"ahead of the log", 20, result{Keys: nil, Through: 12, OK: true}},
	} {
		if diff := cmp.Diff(c.want, changesSince(l, c.from)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestStartAfterKeepsAdjoiningChanges checks that the known changes are kept if the next
// ones follow without a gap, and dropped otherwise.
func TestStartAfterKeepsAdjoiningChanges(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin ports.Revision
		want  result
	}{
		{"adjoining", 8, result{Keys: []string{"a", "c"}, Through: 15, OK: true}},
		{"with a gap", 12, result{}},
		{"from an earlier revision", 3, result{Keys: []string{"c"}, Through: 15, OK: true}},
	} {
		l := New(10)
		l.StartAfter(rev(5))
		l.Add([]ports.Item{change("a", 6)}, rev(9))
		l.StartAfter(rev(c.begin))
		l.Add([]ports.Item{change("c", 15)}, rev(15))
		if diff := cmp.Diff(c.want, changesSince(l, 5)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestDropsOldestChanges checks that the oldest changes are dropped, and that Since
// returns false to a reader that needs them.
func TestDropsOldestChanges(t *testing.T) {
	l := New(4)
	l.StartAfter(rev(0))
	for r := ports.Revision(1); r <= 5; r++ {
		l.Add([]ports.Item{change(string(rune('a'+r)), r)}, rev(r))
	}
	if diff := cmp.Diff(result{}, changesSince(l, 1)); diff != "" {
		t.Errorf("from before a dropped change (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(result{Keys: []string{"d", "e", "f"}, Through: 5, OK: true}, changesSince(l, 2)); diff != "" {
		t.Errorf("kept changes (-want +got):\n%s", diff)
	}
}

// TestReplaceKnowsAllKeys checks that a reader that needs changes from before the full list
// gets all keys, and that only deletions are dropped.
func TestReplaceKnowsAllKeys(t *testing.T) {
	l := New(2)
	l.Replace([]ports.Item{change("a", 3), change("b", 6)}, rev(9))
	l.Add([]ports.Item{change("c", 10), {Key: "a", Revision: 11, Deleted: true}}, rev(11))
	for _, c := range []struct {
		name string
		from ports.Revision
		want result
	}{
		{"nothing known", 0, result{Keys: []string{"b", "c"}, IsFullList: true, Through: 11, OK: true}},
		{"from the list on", 9, result{Keys: []string{"c", "-a"}, Through: 11, OK: true}},
	} {
		if diff := cmp.Diff(c.want, changesSince(l, c.from)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	l.Add([]ports.Item{{Key: "b", Revision: 12, Deleted: true}, {Key: "d", Revision: 13, Deleted: true}}, rev(13))
	want := result{Keys: []string{"c"}, IsFullList: true, Through: 13, OK: true}
	if diff := cmp.Diff(want, changesSince(l, 9)); diff != "" {
		t.Errorf("from before a dropped deletion (-want +got):\n%s", diff)
	}
}

// TestChangedSignalsChanges checks that the channel is closed when there are changes, and
// not when only the revision increases.
func TestChangedSignalsChanges(t *testing.T) {
	l := New(4)
	l.StartAfter(rev(1))
	c := l.Changed()
	l.Add(nil, rev(3))
	select {
	case <-c:
		t.Error("Changed signaled without a change")
	default:
	}
	l.Add([]ports.Item{change("a", 4)}, rev(4))
	select {
	case <-c:
	default:
		t.Error("Changed did not signal a change")
	}
}

// TestSinceOfAnotherHistory asks for the changes after revisions of the history before the store came back
// from an older copy. It guards against an instance that reads on from a number that stands for another change now.
func TestSinceOfAnotherHistory(t *testing.T) {
	before, after := eras.Revision{Era: 1, Number: 9}, eras.Revision{Era: 2, Number: 12}
	l := New(10)
	l.Replace([]ports.Item{change("a", 3)}, before)
	l.Replace([]ports.Item{change("a", 3), change("b", 8)}, after)
	l.Add([]ports.Item{change("c", 10)}, eras.Revision{Era: 1, Number: 10})
	got, ok := l.Since(before)
	want := Changes{Items: []ports.Item{change("a", 3), change("b", 8)}, IsFullList: true, Through: after}
	if diff := cmp.Diff(want, got); diff != "" || !ok {
		t.Errorf("%t (-want +got):\n%s", ok, diff)
	}
	l.StartAfter(eras.Revision{Era: 3, Number: 10})
	if _, ok := l.Since(after); ok {
		t.Error("changes after a revision of a former history")
	}
}
