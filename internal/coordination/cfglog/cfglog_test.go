package cfglog_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

var (
	noFaults = world.KVFaults{}
	down     = world.KVFaults{Down: true}
)

func TestPatchReachesEveryEntry(t *testing.T) {
	f := startFleet(t, 1, 3, 3)
	for range 5 {
		v := acceptPatch(t, f, f.Entries[4])
		t.Logf("in force after %s", requireInForce(t, f, f.Entries, v))
	}
}

func TestOneOfEightOperatorsWins(t *testing.T) {
	f := startFleet(t, 2, 3, 3)
	acceptPatch(t, f, f.Entries[0])
	f.Timer.Advance(5 * time.Second)
	var answers []cfglog.PatchAnswered
	for i := range 8 {
		p := patchOf(fmt.Sprintf("racer-%d", i), 1)
		p.Set.Services["shared"] = config.Service{Kind: config.KindPlain, Class: config.ClassLookup}
		f.Entries[i].Ask(p, func(a cfglog.PatchAnswered) { answers = append(answers, a) })
	}
	f.Timer.Advance(5 * time.Second)
	won, lost := 0, 0
	for _, a := range answers {
		var conflict *cfglog.ConflictError
		switch {
		case a.Err == nil && a.Version == 2:
			won++
		case errors.As(a.Err, &conflict):
			lost++
			if conflict.Current != 2 || len(conflict.Since) != 1 || len(conflict.Overlap) != 1 || conflict.Overlap[0] != "services.shared" {
				t.Errorf("conflict: %+v", conflict)
			}
		default:
			t.Errorf("answer: %+v", a)
		}
	}
	if won != 1 || lost != 7 {
		t.Errorf("%d won and %d lost, want 1 and 7", won, lost)
	}
}

// TestLostAnswers loses the reply to each KV call of a patch in turn, and then to each
// two consecutive calls.
func TestLostAnswers(t *testing.T) {
	for inRow := 1; inRow <= 2; inRow++ {
		for first := range 5 {
			t.Run(fmt.Sprintf("%d from call %d", inRow, first), func(t *testing.T) {
				f := startFleet(t, 3, 1, 3)
				e := f.Entries[1]
				call, writes := 0, 0
				e.Lose = func(req ports.KVRequest) bool {
					if _, watch := req.(ports.KVWatch); watch {
						return false
					}
					if _, write := req.(ports.KVPut); write {
						writes++
					}
					call++
					return call > first && call <= first+inRow
				}
				answer := f.Patch(e, patchOf("a", 0))
				var unavailable *cfglog.UnavailableError
				switch {
				case answer.Err == nil:
					if answer.Version != 1 {
						t.Errorf("version %d, want 1", answer.Version)
					}
				case errors.As(answer.Err, &unavailable) && unavailable.Outcome == cfglog.OutcomeNotAccepted:
					if writes > 0 {
						t.Errorf("refused as not accepted after a write")
					}
				default:
					t.Errorf("answer: %v", answer.Err)
				}
				again := f.Patch(f.Entries[2], patchOf("a", 0))
				if again.Err != nil || again.Version != 1 {
					t.Errorf("sent again: %+v", again)
				}
			})
		}
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	f := startFleet(t, 4, 1, 3)
	e := f.Entries[0]
	cut := false
	e.Lose = func(req ports.KVRequest) bool {
		_, write := req.(ports.KVPut)
		cut = cut || write
		return cut
	}
	f.Cut([]*fleet.Entry{e}, f.Entries, true)
	answer := f.Patch(e, patchOf("a", 0))
	var unavailable *cfglog.UnavailableError
	if !errors.As(answer.Err, &unavailable) || unavailable.Outcome != cfglog.OutcomeUnknown {
		t.Fatalf("answer: %+v", answer)
	}
	e.Lose = nil
	if again := f.Patch(e, patchOf("a", 0)); again.Err != nil || again.Version != 1 {
		t.Errorf("sent again: %+v", again)
	}
}

func TestRepeatedID(t *testing.T) {
	f := startFleet(t, 5, 2, 3)
	acceptPatch(t, f, f.Entries[0])
	v := acceptPatch(t, f, f.Entries[0])
	requireInForce(t, f, f.Entries, v)
	rebased := patchOf("p1", v)
	if a := f.Patch(f.Entries[5], rebased); a.Err != nil || a.Version != 1 || !a.Repeated {
		t.Errorf("rebased: %+v", a)
	}
	f.SetKV(f.Entries, down)
	if a := f.Patch(f.Entries[3], patchOf("p1", 0)); a.Err != nil || a.Version != 1 {
		t.Errorf("during an outage: %+v", a)
	}
	f.SetKV(f.Entries, noFaults)
	if a := f.Patch(f.Entries[3], patchOf("early", v+7)); !errorAs[*cfglog.FutureBaseError](a.Err) {
		t.Errorf("base in the future: %+v", a)
	}
	if a := f.Patch(f.Entries[3], config.Patch{ID: "bad", Base: v, Remove: config.Names{Models: []string{"x"}}}); !errorAs[*config.InvalidError](a.Err) {
		t.Errorf("invalid: %+v", a)
	}
}

func errorAs[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func TestHistoryAndOldVersions(t *testing.T) {
	f := startFleet(t, 12, 1, 3)
	var want []string
	for range 20 {
		want = append(want, fmt.Sprintf("p%d", acceptPatch(t, f, f.Entries[0])))
	}
	var got []string
	f.Entries[1].History(0, 0, func(a cfglog.HistoryAnswered) {
		for _, r := range a.Records {
			got = append(got, r.Patch.ID)
			if r.At.IsZero() {
				t.Errorf("version %d has no time", r.Version)
			}
		}
	})
	f.Timer.Advance(time.Second)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("history (-want +got):\n%s", diff)
	}
	var services []int
	for _, v := range []config.Version{0, 7, 20, 21} {
		f.Entries[2].Read(v, func(a cfglog.ReadAnswered) {
			if a.Err != nil {
				services = append(services, -1)
				return
			}
			services = append(services, len(a.Config.Services))
		})
		f.Timer.Advance(time.Second)
	}
	if diff := cmp.Diff([]int{20, 7, 20, -1}, services); diff != "" {
		t.Errorf("services of versions (-want +got):\n%s", diff)
	}
}

// TestLateWrite lets the write of a patch take effect seconds after it was read back and
// not found.
func TestLateWrite(t *testing.T) {
	for _, by := range []time.Duration{20 * time.Millisecond, time.Second, 20 * time.Second} {
		f := startFleet(t, 13, 1, 3)
		e := f.Entries[0]
		writes := 0
		e.Late = func(req ports.KVRequest) time.Duration {
			if _, write := req.(ports.KVPut); !write {
				return 0
			}
			writes++
			return by
		}
		answer := f.Patch(e, patchOf("a", 0))
		if isNotAccepted(answer.Err) {
			t.Errorf("late by %s: %v", by, answer.Err)
		}
		f.Timer.Advance(30 * time.Second)
		if v, ok := f.Oracle.Logged("a"); !ok || v != 1 {
			t.Errorf("late by %s: logged as version %d", by, v)
		}
	}
}

// TestTwoEntriesPerZoneWatch counts the entries that watch the KV service.
func TestTwoEntriesPerZoneWatch(t *testing.T) {
	f := startFleet(t, 14, 3, 12)
	f.Timer.Advance(time.Minute)
	for z := range 3 {
		watching := 0
		for _, e := range f.Zone(z) {
			if e.Status().Watching {
				watching++
			}
		}
		if watching != 2 {
			t.Errorf("%d entries of zone %d watch, want 2", watching, z)
		}
	}
}

// splitWatching splits entries into those that watch and the others.
func splitWatching(entries []*fleet.Entry) (watching, others []*fleet.Entry) {
	for _, e := range entries {
		if e.Status().Watching {
			watching = append(watching, e)
			continue
		}
		others = append(others, e)
	}
	return watching, others
}

// TestUnfetchableVersionIsReadFromKV cuts an entry off from all entries that have a
// version it has heard of.
func TestUnfetchableVersionIsReadFromKV(t *testing.T) {
	f := startFleet(t, 15, 1, 5)
	watching, others := splitWatching(f.Entries)
	isolated := others[0]
	for _, e := range f.Entries {
		f.Net.Cut(isolated.Self.Addr, e.Self.Addr, true)
	}
	f.Timer.Advance(30 * time.Second)
	if isolated.Status().Watching {
		t.Error("the entry watches, so the test covers nothing")
	}
	requireInForce(t, f, f.Entries, acceptPatch(t, f, watching[0]))
}

// TestOthersFetchWhenDelegatesCannot cuts a zone off from the KV service, and its
// delegates from all other zones.
func TestOthersFetchWhenDelegatesCannot(t *testing.T) {
	f := startFleet(t, 16, 2, 6)
	zone := f.Zone(1)
	watching, others := splitWatching(zone)
	f.SetKV(zone, down)
	for _, w := range watching {
		for _, e := range f.Zone(0) {
			f.Net.Cut(w.Self.Addr, e.Self.Addr, true)
		}
	}
	f.Timer.Advance(time.Minute)
	requireInForce(t, f, others, acceptPatch(t, f, f.Entries[0]))
}

// TestOutdatedRepliesAreIgnored passes a part the outdated replies of a slow peer.
func TestOutdatedRepliesAreIgnored(t *testing.T) {
	self := ports.Member{ID: "a", Zone: "z", Phase: ports.MemberAlive}
	other := ports.Member{ID: "b", Zone: "z", Phase: ports.MemberAlive, ConfigVersion: 9}
	part := cfglog.New(cfglog.Settings{Self: self}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	var versions []config.Version
	step := func(ev ports.Event) (tags []ports.Tag) {
		for _, effect := range part.Step(now, ev) {
			switch e := effect.(type) {
			case ports.PeerCall:
				tags = append(tags, e.Tag)
			case ports.Note:
				if c, ok := e.Value.(cfglog.ConfigChanged); ok {
					versions = append(versions, c.Config.Version)
				}
			}
		}
		return tags
	}
	reply := func(tag ports.Tag, d ports.ConfigDelta) []ports.Tag {
		return step(ports.PeerDone{Tag: tag, Reply: ports.PeerReply{Msg: d}})
	}
	tags := step(cfglog.MembersChanged{Members: []ports.Member{self, other}})
	tags = reply(tags[0], ports.ConfigDelta{Snapshot: &config.Config{Version: 5}})
	tags = reply(tags[0], ports.ConfigDelta{Patches: []config.Patch{{ID: "old", Base: 3}, {ID: "next", Base: 5}, {ID: "gap", Base: 7}}})
	tags = reply(tags[0], ports.ConfigDelta{Snapshot: &config.Config{Version: 4}, Patches: []config.Patch{{ID: "back", Base: 4}}})
	if diff := cmp.Diff([]config.Version{5, 6}, versions); diff != "" || len(tags) != 0 {
		t.Errorf("versions, %d more calls (-want +got):\n%s", len(tags), diff)
	}
}
