package vday

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/policy"
)

// linkBits is the rate of the users' link: a few tens of megabits a second.
const linkBits = 30_000_000

func runZones(t *testing.T, s Shape, seed uint64, span time.Duration, shape LinkShape) ZonesResult {
	t.Helper()
	weights, err := policy.Preset(s.Preset)
	if err != nil {
		t.Fatal(err)
	}
	policies, err := policy.New(weights)
	if err != nil {
		t.Fatal(err)
	}
	shape.BitsPerSecond = linkBits
	window := Window{From: 10 * time.Hour, To: 10*time.Hour + span}
	r := RunZones(s, NewTrace(s, seed), policies, seed, window, shape)
	t.Logf("%s seed %d %-10s %s", s.Name, seed, choiceName(shape.Known), r)
	return r
}

// TestColdLoadsKeepOffTheLink: with the link known no load crosses it while the
// store's region can serve, and no caller is refused that the hash alone serves.
// `chivecroft bench link` compares more of the days.
func TestColdLoadsKeepOffTheLink(t *testing.T) {
	for _, s := range Shapes() {
		blind := runZones(t, s, 1, 10*time.Minute, LinkShape{})
		knowing := runZones(t, s, 1, 10*time.Minute, LinkShape{Known: true})
		if blind.FarLoads == 0 {
			t.Errorf("%s: no load crossed the link by the hash alone, the day shows nothing", s.Name)
		}
		if knowing.FarLoads > 0 || knowing.Refused() > blind.Refused() {
			t.Errorf("%s: %d loads crossed the link, %d refused against %d", s.Name, knowing.FarLoads, knowing.Refused(), blind.Refused())
		}
	}
}

// TestRegionsCutApart cuts the regions from each other for twenty minutes: nothing
// is loaded over the link before, in or after the cut, whoever cannot be served
// in the far region hears so at once, and all callers end.
func TestRegionsCutApart(t *testing.T) {
	s := Shapes()[0]
	cut := LinkShape{Known: true, CutFrom: 10*time.Hour + 2*time.Minute, CutTo: 10*time.Hour + 22*time.Minute}
	r := runZones(t, s, 1, 25*time.Minute, cut)
	if r.FarLoads > 0 || r.ToldEarly == 0 {
		t.Errorf("%d loads crossed the link, %d callers heard early; want none and some", r.FarLoads, r.ToldEarly)
	}
	if late := r.Refused() - r.ToldEarly; late > 0 {
		t.Errorf("%d callers were refused only at their deadline", late)
	}
	if ended := len(r.Waits) + r.Unfinished; ended != r.Requests {
		t.Errorf("%d of %d callers ended", ended, r.Requests)
	}
}

// TestSameZonesRunAgain: the same seed gives the same run.
func TestSameZonesRunAgain(t *testing.T) {
	s := small()
	shape := LinkShape{Known: true}
	if diff := cmp.Diff(runZones(t, s, 3, 10*time.Minute, shape), runZones(t, s, 3, 10*time.Minute, shape)); diff != "" {
		t.Errorf("the same run again (-first +again):\n%s", diff)
	}
}
