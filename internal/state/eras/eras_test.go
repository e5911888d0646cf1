package eras_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/eras"
)

var start = time.Unix(1_000_000, 0)

func at(era, number uint64) eras.Revision { return eras.Revision{Era: era, Number: number} }

// TestOrder guards against revisions of two histories that are compared by their numbers alone.
func TestOrder(t *testing.T) {
	ascending := []eras.Revision{{}, at(0, 7), at(0, 90), at(1, 3), at(1, 4), at(6, 1)}
	for i, r := range ascending {
		for j, s := range ascending {
			if got := r.After(s); got != (i > j) {
				t.Errorf("%s after %s: %t", r, s, got)
			}
		}
	}
	if got := at(1, 3).Later(at(0, 90)); got != at(1, 3) {
		t.Errorf("later: %s", got)
	}
}

// TestRevisionText guards against a revision that loses its era on its way to another instance, and
// against a store without eras whose numbers are sent in another form than before.
func TestRevisionText(t *testing.T) {
	for r, want := range map[eras.Revision]string{{}: "0", at(0, 50): "50", at(6, 50): `"6.50"`} {
		data, err := json.Marshal(r)
		if err != nil || string(data) != want {
			t.Errorf("%s, want %s, %v", data, want, err)
		}
		var back eras.Revision
		if err := json.Unmarshal(data, &back); err != nil || back != r {
			t.Errorf("%s read as %s, %v", data, back, err)
		}
		parsed, err := eras.Parse(r.String())
		if err != nil || parsed != r {
			t.Errorf("%s parsed as %s, %v", r, parsed, err)
		}
	}
	for _, text := range []string{"", "x", "1.", ".1", "1.2.3", "-1", "18446744073709551616"} {
		if r, err := eras.Parse(text); err == nil {
			t.Errorf("%q parsed as %s", text, r)
		}
	}
	var r eras.Revision
	if err := json.Unmarshal([]byte(`{}`), &r); err == nil {
		t.Error("an object is no revision")
	}
}

// TestHistory tells a History of revisions in this order. It guards against late answers that are taken for
// present ones, and against entries of an older copy that are taken for new.
func TestHistory(t *testing.T) {
	var returns []eras.Return
	h := eras.NewHistory(func(r eras.Return) { returns = append(returns, r) })
	steps := []struct {
		told      eras.Revision
		isPresent bool
		isNew     map[eras.Revision]bool
	}{
		{told: at(1, 50), isPresent: true, isNew: map[eras.Revision]bool{at(1, 3): true, at(0, 3): false}},
		{told: at(2, 0), isPresent: true, isNew: map[eras.Revision]bool{at(2, 1<<40): false, at(1, 60): false}},
		{told: at(2, 30), isPresent: true, isNew: map[eras.Revision]bool{at(2, 30): false, at(2, 31): true}},
		{told: at(1, 70), isPresent: false},
		{told: at(2, 25), isPresent: true, isNew: map[eras.Revision]bool{at(2, 25): false, at(2, 26): true}},
		{told: at(2, 90), isPresent: true, isNew: map[eras.Revision]bool{at(2, 26): true}},
		{told: at(4, 10), isPresent: true, isNew: map[eras.Revision]bool{at(2, 90): false, at(4, 11): true}},
	}
	for i, s := range steps {
		if got := h.Note(start.Add(time.Duration(i)*time.Second), s.told); got != s.isPresent {
			t.Errorf("step %d: present %t", i, got)
		}
		for r, want := range s.isNew {
			if got := h.IsNew(r); got != want {
				t.Errorf("step %d: %s new: %t", i, r, got)
			}
		}
	}
	want := []eras.Return{{Era: 2, EraBefore: 1}, {Era: 4, EraBefore: 2, Dropped: 1}}
	if diff := cmp.Diff(want, returns); diff != "" {
		t.Errorf("returns (-want +got):\n%s", diff)
	}
	h.Adopt(start, at(4, 8))
	h.Adopt(start, at(3, 1))
	late := eras.NewHistory(func(eras.Return) { t.Error("an instance that has started since has seen no return") })
	late.Note(start, at(4, 20))
	late.Adopt(start, at(4, 8))
	if late.IsNew(at(4, 8)) || !late.IsNew(at(4, 9)) || !h.IsNew(at(4, 9)) {
		t.Errorf("first revisions %s and %s", late.First(), h.First())
	}
	age, hasReturned := h.Age(start.Add(10 * time.Second))
	if age != 4*time.Second || !hasReturned || h.First() != at(4, 8) || h.Era() != 4 {
		t.Errorf("age %v, %t, first %s, era %d", age, hasReturned, h.First(), h.Era())
	}
}
