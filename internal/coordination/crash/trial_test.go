package crash

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// blockedPart is a block of the deadly part, which may be tried trialDelays[0] after its beginning.
func blockedPart() Block {
	return Block{BlockKey: newBlockKey(service, "", []Part{deadly}), Revision: 1, Ends: 5}
}

// TestUnusedTrialEnds has the holder permit a trial for which no request comes. It guards against a
// permission that is used beside later ones of other instances.
func TestUnusedTrialEnds(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	m := NewMonitor(clock)
	b := blockedPart()
	m.Apply(1, &Report{}, &Reply{Version: 1, Blocks: []Block{b}, Trials: []BlockKey{b.BlockKey}})
	isFree := func() bool { return m.Blocking(&Request{Service: service, Parts: []Part{deadly}}) == nil }
	got := []bool{isFree()}
	clock.Advance(trialTime)
	got = append(got, isFree())
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("a request may be sent at once and when others may get a permission (-want +got):\n%s", diff)
	}
}

// TestTrialOfAFormerHolder begins a term while an instance may still try a part that the former
// holder has permitted it to try. It guards against a second trial at the same time, and against one
// right after the first has ended a target.
func TestTrialOfAFormerHolder(t *testing.T) {
	d, now := NewDetector(), time.Unix(1000, 0)
	b := blockedPart()
	b.AgeMS = trialDelays[0].Milliseconds()
	isPermitted := func(at time.Time) bool {
		return len(d.Reply(at, &Report{Wanted: []BlockKey{b.BlockKey}}, true).Trials) > 0
	}
	d.Report(now, &Report{Blocks: []Block{b}})
	got := []bool{isPermitted(now), isPermitted(now.Add(trialTime - time.Millisecond))}
	now = now.Add(trialTime)
	d.Report(now, &Report{Accusations: []Accusation{{
		Target: fleet.Identity{ID: "t1", Born: 1}, Service: service,
		Requests: []Accused{{Parts: []Part{deadly}, SentAgeMS: 2000, EndAgeMS: 1000}},
	}}})
	got = append(got, isPermitted(now))
	if diff := cmp.Diff([]bool{false, false, false}, got); diff != "" {
		t.Errorf("trial permitted at the beginning, just before its time and after the former one failed (-want +got):\n%s", diff)
	}
	if !isPermitted(now.Add(trialDelays[1])) {
		t.Error("no trial permitted after the delay that follows a failed one")
	}
}
