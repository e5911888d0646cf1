package route_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
)

// TestAvoidCutZone takes replicas of a zone that cannot be reached out of use, so
// that a model which is warm there alone counts as cold.
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
		r := newRig()
		r.Avoid(func(zone string) bool { return zone == c.cut })
		r.rows("zone/x", c.rows...)
		_, got := r.pick(route.Query{})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
