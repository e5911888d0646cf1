package route_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
)

// TestAvoidCutZone checks that replicas of an unreachable zone are not picked, so that a model
// that has replicas only there is cold.
func TestAvoidCutZone(t *testing.T) {
	loading := func(r *ports.Replica) { r.Phase = ports.PhaseLoading }
	for _, c := range []struct {
		name string
		cut  string
		rows []ports.Replica
		want string
	}{
		{"no cut", "", []ports.Replica{row("far", in("pam-a", "pampanga"))}, "far"},
		{"the only one", "pam-a", []ports.Replica{row("far", in("pam-a", "pampanga"))}, "cold"},
		{"one that loads", "pam-a", []ports.Replica{row("far", in("pam-a", "pampanga"), loading)}, "cold"},
		{"another zone has one", "pam-a", []ports.Replica{row("far", in("pam-a", "pampanga")), row("next", in("bul-b", "bulacan"))}, "next"},
		{"the own zone is never cut", "bul-a", []ports.Replica{row("own")}, "own"},
	} {
		r := newHarness()
		r.SetUnreachable(func(zone string) bool { return zone == c.cut })
		r.applyRows("zone/x", c.rows...)
		_, got := r.pick(route.Query{})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestFill drops a source that repeats the rows of an owner: the rows that the owner has sent
// stay, in whatever order the two deltas were applied.
func TestFill(t *testing.T) {
	fill := func(r *harness) {
		r.ApplyRepeated("witness/bul-a", ports.TableDelta{Stream: 1, Seq: 1, Full: true, Replicas: []ports.Replica{row("a")}})
	}
	tell := func(r *harness) { r.applyRows("entry/e1", row("a")) }
	for _, c := range []struct {
		name  string
		steps []func(*harness)
		want  string
	}{
		{"repeated after the owner", []func(*harness){tell, fill}, "a"},
		{"repeated before the owner", []func(*harness){fill, tell}, "a"},
		{"only repeated", []func(*harness){fill}, "cold"},
	} {
		r := newHarness()
		for _, step := range c.steps {
			step(r)
		}
		if _, got := r.pick(route.Query{}); got != "a" {
			t.Errorf("%s: %s", c.name, got)
		}
		r.RemoveSource("witness/bul-a")
		_, got := r.pick(route.Query{})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s, then dropped (-want +got):\n%s", c.name, diff)
		}
	}
}
