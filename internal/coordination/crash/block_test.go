package crash

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// blockedWorld returns a fleet that has blocked the deadly part.
func blockedWorld(t *testing.T, seed uint64, lasting time.Duration) *world {
	w, _ := startWorld(seed, 8, 12, lasting)
	w.deadlyShare, w.isDeadly = 0.05, true
	w.run(12 * time.Second)
	if n := w.countBlocking(); n != len(w.members) {
		t.Fatalf("%d of %d instances block the part", n, len(w.members))
	}
	return w
}

// countBlocking counts the instances that block the deadly part.
func (w *world) countBlocking() int {
	n := 0
	for _, m := range w.members {
		if m.Blocking(&Request{Service: service, Model: "m0", Parts: []Part{"route", "c1", deadly}}) != nil {
			n++
		}
	}
	return n
}

// TestBlockOutlastsTheHolder checks that a block holds through a change of the holder, at an
// instance that was cut off and at one that joins.
func TestBlockOutlastsTheHolder(t *testing.T) {
	w := blockedWorld(t, 3, 60*time.Second)
	crashes := len(w.crashes)
	w.members[2].cut = true
	w.loseHolder(4 * time.Second)
	w.run(8 * time.Second)
	w.members[2].cut = false
	w.join()
	w.run(2 * time.Second)
	if n := w.countBlocking(); n != len(w.members) {
		t.Errorf("%d of %d instances block the part", n, len(w.members))
	}
	w.run(20 * time.Second)
	if n := len(w.crashes) - crashes; n > 1 {
		t.Errorf("%d targets crashed while the holder changed", n)
	}
}

// TestMendedPartIsUsedAgain checks that a part is tried by one request after some minutes, and
// is free once a target has survived it.
func TestMendedPartIsUsedAgain(t *testing.T) {
	w := blockedWorld(t, 4, trialDelays[0]+60*time.Second)
	w.isDeadly = false
	w.run(trialDelays[0] - 20*time.Second)
	if n := w.countBlocking(); n != len(w.members) {
		t.Errorf("%d of %d instances block the part before it may be tried", n, len(w.members))
	}
	w.run(40 * time.Second)
	if n := w.countBlocking(); n != 0 {
		t.Errorf("%d of %d instances block a part that no longer crashes targets", n, len(w.members))
	}
}

// TestTrialsAreFew checks that a part that stays deadly ends no more targets than there are
// trials, and that only an operator can lift the block then.
func TestTrialsAreFew(t *testing.T) {
	w := blockedWorld(t, 5, 20*time.Second)
	w.deadlyShare = 0.5
	crashes := len(w.crashes)
	for _, delay := range append(slices.Clone(trialDelays[:]), time.Hour) {
		w.run(delay - 10*time.Second)
		w.call(3, w.Now().Add(50*time.Second))
		w.run(60 * time.Second)
	}
	if n := len(w.crashes) - crashes; n != len(trialDelays) {
		t.Errorf("%d targets crashed in trials, wanted %d", n, len(trialDelays))
	}
	if n := w.countBlocking(); n != len(w.members) {
		t.Errorf("%d of %d instances block the part", n, len(w.members))
	}
}

// TestOperatorLifts checks that a block that is lifted at one instance is lifted at all, also
// after the holder has changed, and that the part is blocked again if it crashes targets.
func TestOperatorLifts(t *testing.T) {
	w := blockedWorld(t, 6, 90*time.Second)
	w.isDeadly = false
	if n := w.members[3].Lift(deadly); n != 1 {
		t.Fatalf("%d blocks lifted", n)
	}
	w.run(2 * time.Second)
	w.loseHolder(2 * time.Second)
	w.run(6 * time.Second)
	if n := w.countBlocking(); n != 0 {
		t.Errorf("%d of %d instances block the part", n, len(w.members))
	}
	w.isDeadly = true
	w.run(20 * time.Second)
	if n := w.countBlocking(); n != len(w.members) {
		t.Errorf("%d of %d instances block the part after it crashed targets again", n, len(w.members))
	}
}

// TestDeadlyWithOneModelOnly checks that a part that crashes targets with one model only stays
// usable with others, once those are known to survive it.
func TestDeadlyWithOneModelOnly(t *testing.T) {
	w, _ := startWorld(7, 8, 12, 60*time.Second)
	w.deadlyShare, w.isDeadly, w.scope = 0.05, true, "m1"
	w.run(40 * time.Second)
	blocks := func(model string) bool {
		return w.members[0].Blocking(&Request{Service: service, Model: model, Parts: []Part{"route", "c1", deadly}}) != nil
	}
	if !blocks("m1") || blocks("m0") {
		t.Errorf("blocked with m1: %t, with m0: %t", blocks("m1"), blocks("m0"))
	}
}

// TestProofNarrowsABlock checks that the proof of one of several blocked parts leaves the others
// blocked.
func TestProofNarrowsABlock(t *testing.T) {
	d, now := NewDetector(), time.Unix(1000, 0)
	both := Block{BlockKey: newBlockKey(service, "", []Part{"c1", deadly}), Revision: 1}
	d.Report(now, &Report{Blocks: []Block{both}})
	d.Report(now.Add(time.Second), &Report{Proofs: []Proof{{Subject: Subject{Service: service, Part: "c1"}}}})
	var active []string
	for _, b := range d.Reply(now.Add(time.Second), &Report{}, false).Blocks {
		if b.IsActive() {
			active = append(active, b.Parts)
		}
	}
	if diff := cmp.Diff([]string{string(deadly)}, active); diff != "" {
		t.Errorf("blocked parts (-want +got):\n%s", diff)
	}
}

// TestTwoDeadlyParts checks that two parts at once are both blocked.
func TestTwoDeadlyParts(t *testing.T) {
	w, _ := startWorld(8, 8, 12, 40*time.Second)
	w.deadlyShare, w.isDeadly, w.second = 0.05, true, true
	w.run(30 * time.Second)
	for _, part := range []Part{deadly, secondDeadly} {
		if w.members[0].Blocking(&Request{Service: service, Model: "m0", Parts: []Part{"route", "c1", part}}) == nil {
			t.Errorf("%s is not blocked", part)
		}
	}
	if len(w.crashes) > 20 {
		t.Errorf("%d targets crashed", len(w.crashes))
	}
}

// TestManyParts sends prompts of 500 parts, one of which is deadly.
func TestManyParts(t *testing.T) {
	w, before := startWorld(9, 8, 12, 40*time.Second)
	w.deadlyShare, w.isDeadly, w.filling = 0.05, true, 500
	w.run(30 * time.Second)
	if n := w.countBlocking(); n != 0 && n != len(w.members) {
		t.Errorf("%d of %d instances block the part", n, len(w.members))
	}
	share, _ := w.soundShare(w.Now().Add(-10*time.Second), w.Now().Add(-time.Second))
	if share < before-0.02 {
		t.Errorf("%.3f of sound requests began at the first attempt, %.3f before", share, before)
	}
}

// TestAloneCallsOutUnlocked has an instance judge alone while the counter of targets waits
// for a call of the Monitor, as the choice of targets does that refuses queued requests. It
// guards against a Monitor that holds its lock meanwhile, which would block both for good.
func TestAloneCallsOutUnlocked(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	m := NewMonitor(clock)
	target := fleet.Identity{ID: "t0", Born: 1}
	for range aloneProofs {
		m.Start(Request{Service: service, Model: "m0", Parts: []Part{"route"}}, target, nil).Complete()
	}
	bad := Request{Service: service, Model: "m0", Parts: []Part{"route", deadly}}
	for i := range 2 * aloneChain {
		f := m.Start(bad, fleet.Identity{ID: fmt.Sprint("t", i), Born: 1}, func(Block) {})
		clock.Advance(time.Second)
		f.Broke()
		f.End()
		clock.Advance(time.Second)
	}
	counted := 0
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		m.JudgeAlone(func(string) int {
			counted++
			m.Blocking(&bad)
			return minTargets
		})
	}()
	select {
	case <-judged:
	case <-time.After(5 * time.Second):
		t.Fatal("the instance still judges after five seconds")
	}
	if counted == 0 || m.Blocking(&bad) == nil {
		t.Errorf("targets were counted %d times, blocked by %v", counted, m.Blocking(&bad))
	}
}

// TestGuardedSuspectsAreTestedOneByOne guards against instances that each end one more target
// with a part that the next end blocks, and against requests that wait for good when there
// is no holder.
func TestGuardedSuspectsAreTestedOneByOne(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	s := Subject{Service: service, Part: deadly}
	d := NewDetector()
	d.suspects, d.guarded = []Subject{s}, []Subject{s}
	bad := Request{Service: service, Model: "m0", Parts: []Part{deadly}}
	a, b := NewMonitor(clock), NewMonitor(clock)
	exchange := func(m *Monitor) {
		report := m.Report()
		reply := d.Reply(clock.Now(), &report, true)
		m.Apply(1, &report, &reply)
	}
	check := func(step string, m *Monitor, want bool) {
		t.Helper()
		if got := m.MustWait(&bad); got != want {
			t.Errorf("%s: must wait %t, want %t", step, got, want)
		}
	}
	exchange(a)
	exchange(b)
	check("first instance, before it asks", a, true)
	check("second instance, before it asks", b, true)
	exchange(a)
	exchange(b)
	check("first instance, permitted", a, false)
	check("second instance, not permitted", b, true)
	a.Start(bad, fleet.Identity{ID: "t0", Born: 1}, func(Block) {}).End()
	check("first instance, after its request", a, true)
	clock.Advance(testTime)
	exchange(b)
	check("second instance, permitted", b, false)
	clock.Advance(testTime)
	check("second instance, permitted long ago", b, true)
	clock.Advance(loneTime)
	check("second instance, without a holder", b, false)
}

// TestEvidenceOutlivesStops stops the instances that have accused a part in turn, each time
// with a change of the holder. It guards against a part that the last holder knows too
// little of to block it, and against accusations that one holder counts twice.
func TestEvidenceOutlivesStops(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	bad := Request{Service: service, Model: "m0", Parts: []Part{deadly}}
	var members []*Monitor
	for i := range blockChain {
		m := NewMonitor(clock)
		members = append(members, m)
		f := m.Start(bad, fleet.Identity{ID: fmt.Sprint("t", i), Born: 1}, func(Block) {})
		clock.Advance(time.Second)
		f.Broke()
		f.End()
		clock.Advance(time.Second)
	}
	var last *Detector
	for term := int64(1); len(members) > 0; term++ {
		last = NewDetector()
		for range 3 {
			for _, m := range members {
				report := m.Report()
				last.Report(clock.Now(), &report)
				reply := last.Reply(clock.Now(), &report, true)
				m.Apply(term, &report, &reply)
			}
		}
		if len(members) > 1 {
			members[1].Keep(members[0].HandOver())
		}
		members = members[1:]
	}
	for s, have := range last.subjects {
		if len(have.links) != blockChain {
			t.Errorf("%v is accused of %d ends, want %d", s, len(have.links), blockChain)
		}
		for e, l := range have.links {
			if l.requests != 1 {
				t.Errorf("%v: %d requests at the end of %s, want 1", s, l.requests, e.target.ID)
			}
		}
	}
	if len(last.subjects) == 0 {
		t.Error("nothing is accused")
	}
}

// TestNewHolderHearsAtOnce guards against accusations that a new holder hears of only with
// the next regular message.
func TestNewHolderHearsAtOnce(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	urgent := 0
	m := NewMonitor(clock, WithUrgency(func() { urgent++ }))
	m.Start(Request{Service: service, Model: "m0", Parts: []Part{deadly}}, fleet.Identity{ID: "t0", Born: 1}, func(Block) {}).Broke()
	// The first holder hears of it with the report, the second one only after its reply.
	for i, want := range []int{0, 1} {
		report := m.Report()
		urgent = 0
		m.Apply(int64(i)+1, &report, &Reply{})
		if urgent != want {
			t.Errorf("holder %d: %d urgent messages, want %d", i+1, urgent, want)
		}
	}
}
