package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// The zones of the tests of cuts, in two regions.
const (
	zoneA, regionA = "bul-a", "bulacan"
	zoneB, regionB = "pam-a", "pampanga"
)

// cutBound is how much of the wait for a cold model a cut may add: what a warm
// caller may wait for the first token.
const cutBound = firstTokenTarget

// loadTime is the time of a load in the tests of cuts.
const loadTime = 500 * time.Millisecond

// between gives the same fates to both directions of what one zone opens to
// another, platform included.
func between(f fate, zones ...string) rule {
	return func(from, to end) fates {
		if from.zone != to.zone && slices.Contains(zones, from.zone) && slices.Contains(zones, to.zone) {
			return fates{f, f}
		}
		return healed(from, to)
	}
}

// deployCuttable starts two zones of two regions, with entries and two targets
// and a service each, on a network, and puts a configuration with the models in
// force.
func deployCuttable(t *testing.T, entries, models int, target ...string) *system {
	t.Helper()
	s := newNetworked(t)
	for _, zone := range []struct{ name, region string }{{zoneA, regionA}, {zoneB, regionB}} {
		for n := 1; n <= 2; n++ {
			s.startTarget(fmt.Sprintf("%s-t%d", zone.name, n), zone.name, zone.region, target...)
		}
		s.startService(zone.name+"-s1", zone.name, zone.region)
	}
	for n := 1; n <= entries; n++ {
		s.startEntry(fmt.Sprintf("%s-e%d", zoneA, n), zoneA, regionA)
		s.startEntry(fmt.Sprintf("%s-e%d", zoneB, n), zoneB, regionB)
	}
	if code, out := s.command("bul-a-e1", cutPatch(models), "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	for id := range s.entries {
		s.settled(1, id)
	}
	return s
}

// cutPatch is version 1 of the tests of cuts, with the models m-0, m-1 and so on.
func cutPatch(models int) string {
	more, rules := "", ""
	for n := range models {
		more += fmt.Sprintf(`"m-%d": {"service": "supper-assist", "checkpoint": "c", "memoryBytes": 1073741824, "loadTime": "500ms"},`, n)
		rules += fmt.Sprintf(`"m-%d": {"maxReplicas": 2},`, n)
	}
	return strings.NewReplacer(`"models": {`, `"models": {`+more, `"rules": {`, `"rules": {`+rules).Replace(patch)
}

// TestColdDuringCut asks one zone for cold models while the other zone, which is
// the first choice for half of them, is cut off and membership has not noticed.
// What falls silent and what refuses connections must not make callers wait.
func TestColdDuringCut(t *testing.T) {
	t.Parallel()
	const models = 21
	s := deployCuttable(t, 3, 2*models)
	for n, f := range []fate{held, severed} {
		s.net.set(between(f, zoneA, zoneB))
		var took []time.Duration
		for k := range models {
			model := fmt.Sprintf("m-%d", n*models+k)
			began := time.Now()
			text, whole, status, err := chat(s.callers["bul-a-e1"], model, "cold", 4)
			if err != nil || !whole || text != wanted(model, "", "cold", 4) {
				t.Errorf("%s: %d, whole %t, %v: %s", model, status, whole, err, text)
			}
			took = append(took, time.Since(began).Round(time.Millisecond))
		}
		t.Logf("fate %d: %v", f, took)
		slices.Sort(took)
		// The first caller may be the one who finds the cut.
		if p95 := took[len(took)*95/100]; p95 > loadTime+cutBound {
			t.Errorf("fate %d: cold models took %v, a load takes %v and a cut may add %v", f, p95, loadTime, cutBound)
		}
		s.net.set(healed)
	}
	s.checkReplicas(2 * models * 2)
}
