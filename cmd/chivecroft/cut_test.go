package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
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

// only leaves a rule in force for what comes from or goes to one zone.
func (r rule) only(zone string) rule {
	return func(from, to end) fates {
		if from.zone == zone || to.zone == zone {
			return r(from, to)
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

// warm loads the models and returns them by the zone that each is warm in.
func (s *system) warm(models int) map[string][]string {
	s.t.Helper()
	for n := range models {
		model := fmt.Sprintf("m-%d", n)
		if text, whole, status, err := chat(s.callers["bul-a-e1"], model, "warm up", 4); err != nil || !whole {
			s.t.Fatalf("warm-up of %s: %d, %v: %s", model, status, err, text)
		}
	}
	byZone := make(map[string][]string)
	for _, zone := range []string{zoneA, zoneB} {
		for _, r := range s.status(zone + "-e1").Replicas {
			if r.Zone == zone && r.Phase == "ready" && !slices.Contains(byZone[zone], r.Model) {
				byZone[zone] = append(byZone[zone], r.Model)
			}
		}
	}
	if len(byZone[zoneA]) < 2 || len(byZone[zoneB]) < 2 {
		s.t.Fatalf("the models are warm in %v, each zone has to have two", byZone)
	}
	return byZone
}

// fourEntries are those of the tests with two entries a zone.
var fourEntries = []string{"bul-a-e1", "bul-a-e2", "pam-a-e1", "pam-a-e2"}

const (
	// cutFor is how long a zone is cut off.
	cutFor = 20 * time.Second
	// foundWithin is how soon entries know of a cut by their callers' requests: a
	// first token is awaited for 2 s, and a sign of life for 1 s.
	foundWithin = 5 * time.Second
	// inForceWithin is how soon an accepted configuration is in force.
	inForceWithin = 19 * time.Second
)

// TestZoneCutOff cuts a zone off from the other zone and from the platform, with
// targets of both regimes. What was warm in a zone stays so. The side with the
// platform serves everything, the other one what it can: a model for which it
// holds a permit only where targets check fencing. A patch accepted meanwhile
// reaches the zone once the cut ends, one that could not be accepted never does.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	for _, regime := range []struct {
		name  string
		flags []string
		want  bench.Verdict
	}{
		{"fenced", nil, bench.Served},
		{"unfenced", []string{"--ignore-fencing"}, bench.Refused},
	} {
		t.Run(regime.name, func(t *testing.T) {
			t.Parallel()
			const models = 8
			s := deployCuttable(t, 2, models, regime.flags...)
			warm := s.warm(models)
			idle := s.unloadKeepingPermit(warm)
			l := startCutLoad(s, warm)
			time.Sleep(2 * time.Second)
			cut := time.Now()
			s.net.set(between(held, zoneA, zoneB, platformEnd.zone).only(zoneA))
			refused := s.patchLater("bul-a-e1", `{"id": "while-cut", "base": 2, "set": {"rules": {"menu-7b": {"maxReplicas": 1}}}}`)
			time.Sleep(8 * time.Second)
			if got := s.ask("bul-a-e1", idle); got.Verdict != regime.want {
				t.Errorf("a model with a permit in the zone cut off: %+v, want it %s", got, regime.want)
			}
			if got := s.ask("pam-a-e1", idle); got.Verdict != bench.Served {
				t.Errorf("the same model in the other zone: %+v", got)
			}
			s.patched(t, "pam-a-e1", `{"id": "test-3", "base": 2, "set": {"rules": {"menu-7b": {"maxReplicas": 3}}}}`)
			if code := <-refused; code == 0 {
				t.Error("a patch was accepted without the platform")
			}
			time.Sleep(time.Until(cut.Add(cutFor)))
			mended := time.Now()
			s.net.set(healed)
			s.takenUp(t, 3, mended)
			l.finish()
			now := time.Now()
			l.report(t, "before", time.Time{}, cut)
			l.report(t, "finding the cut", cut, cut.Add(foundWithin))
			l.report(t, "cut", cut.Add(foundWithin), mended)
			l.report(t, "healed", mended, now)
			l.check(t)
			for _, zone := range []string{zoneA, zoneB} {
				l.served(t, zone, near, time.Time{}, now)
				l.served(t, zone, lookup, time.Time{}, now)
			}
			l.served(t, zoneB, ticket, time.Time{}, now)
			l.served(t, zoneB, far, cut.Add(foundWithin), now)
			for _, one := range l.within(zoneA, far, cut.Add(foundWithin), mended) {
				if one.answer.Verdict == bench.Unknown {
					t.Errorf("%s was sent into the cut: %+v", one.key, one.answer)
				}
			}
			s.checkReplicas(2 * models)
		})
	}
}

// unloadKeepingPermit takes a model that is warm in zoneA out of warm and has a
// new revision of it put in force, so that its replica goes and its permit stays.
func (s *system) unloadKeepingPermit(warm map[string][]string) string {
	s.t.Helper()
	idle := warm[zoneA][0]
	warm[zoneA] = warm[zoneA][1:]
	s.patched(s.t, "bul-a-e1", fmt.Sprintf(`{"id": "test-2", "base": 1, "set": {"models": {%q: {
		"service": "supper-assist", "checkpoint": "c", "revision": "r2", "memoryBytes": 1073741824, "loadTime": "500ms"}}}}`, idle))
	s.settled(2, fourEntries...)
	s.eventually(10*time.Second, func() string {
		for _, r := range s.status("bul-a-e1").Replicas {
			if r.Model == idle {
				return idle + " is still loaded"
			}
		}
		return ""
	})
	return idle
}

// ask makes one chat at an entry.
func (s *system) ask(entry, model string) bench.Answer {
	caller := bench.NewCaller(s.callers[entry], demo.CallerKey, http.DefaultClient)
	return caller.Chat(context.Background(), bench.Chat{Model: model, Content: "one", Seed: 7, Tokens: 4, Deadline: cutDeadline})
}

// patched expects a patch to be accepted.
func (s *system) patched(t testing.TB, entry, text string) {
	t.Helper()
	if code, out := s.command(entry, text, "patch"); code != 0 {
		t.Fatalf("patch at %s: exit %d\n%s", entry, code, out)
	}
}

// patchLater begins a patch and returns where its exit code will be.
func (s *system) patchLater(entry, text string) <-chan int {
	done := make(chan int, 1)
	go func() {
		code, _ := s.command(entry, text, "patch")
		done <- code
	}()
	return done
}

// takenUp waits until every entry has a version, and goes on watching for a while
// that none goes back; in the end all have the same configuration.
func (s *system) takenUp(t *testing.T, version uint64, since time.Time) {
	t.Helper()
	const watched = 10 * time.Second
	seen := make(map[string]uint64)
	for behind := true; behind || time.Since(since) < watched; {
		behind = false
		for _, id := range fourEntries {
			now := s.status(id).ConfigVersion
			if now < seen[id] {
				t.Errorf("%s went back from version %d to %d", id, seen[id], now)
			}
			if now >= version && seen[id] < version {
				t.Logf("%s has version %d after %v", id, now, time.Since(since).Round(time.Millisecond))
			}
			seen[id] = now
			behind = behind || now < version
		}
		if behind && time.Since(since) > inForceWithin {
			t.Fatalf("after %v the entries are at versions %v of %d", inForceWithin, seen, version)
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, want := s.command(fourEntries[0], "", "config", "--json")
	for _, id := range fourEntries[1:] {
		_, got := s.command(id, "", "config", "--json")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("configuration of %s (-%s +%s):\n%s", id, fourEntries[0], id, diff)
		}
	}
}

// oneWay loses for good what one zone sends to the other.
func oneWay(sender, receiver string) rule {
	return func(from, to end) fates {
		switch {
		case from.zone == sender && to.zone == receiver:
			return fates{swallowed, passes}
		case from.zone == receiver && to.zone == sender:
			return fates{passes, swallowed}
		}
		return healed(from, to)
	}
}

// TestCutBetweenZones cuts two zones from each other, first in one direction,
// then in both, while both reach the platform: everything is served in both.
func TestCutBetweenZones(t *testing.T) {
	t.Parallel()
	const models = 8
	const span, pause = 10 * time.Second, 4 * time.Second
	s := deployCuttable(t, 2, models)
	l := startCutLoad(s, s.warm(models))
	time.Sleep(2 * time.Second)
	for n, cut := range []struct {
		name string
		rule rule
	}{
		{"one way", oneWay(zoneA, zoneB)},
		{"both ways", between(severed, zoneA, zoneB)},
	} {
		began := time.Now()
		s.net.set(cut.rule)
		s.patched(t, "bul-a-e1", fmt.Sprintf(`{"id": "cut-%d", "base": %d, "set": {"rules": {"menu-7b": {"maxReplicas": %d}}}}`, n, n+1, n+1))
		s.settled(uint64(n+2), fourEntries...)
		time.Sleep(time.Until(began.Add(span)))
		mended := time.Now()
		s.net.set(healed)
		time.Sleep(pause)
		l.report(t, cut.name+", finding the cut", began, began.Add(foundWithin))
		l.report(t, cut.name, began.Add(foundWithin), mended)
		l.report(t, cut.name+", healed", mended, time.Now())
		for _, zone := range []string{zoneA, zoneB} {
			l.served(t, zone, far, began.Add(foundWithin), time.Now())
		}
	}
	l.finish()
	l.check(t)
	for _, zone := range []string{zoneA, zoneB} {
		for _, k := range []kind{near, lookup, ticket} {
			l.served(t, zone, k, time.Time{}, time.Now())
		}
	}
	s.checkReplicas(2 * models)
}
