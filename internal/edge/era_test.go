package edge

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// inEra returns a revision that was told in an era.
func inEra(era, number uint64) eras.Revision { return eras.Revision{Era: era, Number: number} }

// configItem returns the configuration of a version as it was told.
func configItem(version int, at eras.Revision) storeItem {
	value := fmt.Appendf(nil, `{"version":%d}`, version)
	return dated(at.Era, ports.Item{Key: platform.ConfigKey, Value: value, Revision: ports.Revision(at.Number)})
}

// readConfig has an instance read the configuration from the store.
func (e *Edge) readConfig(item storeItem) {
	e.configFollower.itemRevisions = make(map[string]eras.Revision)
	e.configFollower.reset(itemList{items: []storeItem{item}, through: item.at, from: originStore})
}

// TestFollowerBeginsAnew lets the store come back from a copy, pass the former revision and get a change
// below it. It guards against a follower that reads on from its number of the former history.
func TestFollowerBeginsAnew(t *testing.T) {
	store := fake.NewStore(t)
	store.Write(t, platform.ConfigKey, map[string]any{"version": 1})
	backup := store.KV.Copy()
	got := startFollower(t, store, func(f *follower) {
		f.hasFreshUpdates = func() bool { return false }
		f.updateAge = func() time.Duration { return time.Hour }
		f.history = f.store.history
	})
	await := func(what string, want ports.Revision) {
		t.Helper()
		select {
		case revision := <-got:
			if revision != want {
				t.Errorf("%s: list with revision %d, want %d", what, revision, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: no list is read", what)
		}
	}
	await("at the start", 1)
	for range 5 {
		store.Write(t, "op/other", []byte("x"))
	}
	store.Write(t, platform.ConfigKey, map[string]any{"version": 2})
	time.Sleep(2 * probeWatchTimeout)
	store.RestoreWith(t, backup, 50*time.Millisecond, func() {
		store.Write(t, platform.ConfigKey, map[string]any{"version": 3})
		for range 20 {
			store.Write(t, "op/other", []byte("x"))
		}
	})
	await("after the return", 2)
}

// TestConfigSurvivesAReturn has an instance with version 4 read version 3 from a store that has come back from
// an older copy. It guards against an instance that goes back to it or passes it on, and against one that
// has read version 3 only and does not ask for version 4, since its revision is newer.
func TestConfigSurvivesAReturn(t *testing.T) {
	has, lacks := newInstance(t, true), newInstance(t, true)
	has.readConfig(configItem(4, inEra(1, 36)))
	older := configItem(3, inEra(2, 19))
	has.readConfig(older)
	// A neighbour has sent it too.
	has.received.Store(newConfigSnapshot(older, 3))
	has.applyConfig(eras.Revision{}, older, originReader)
	lacks.readConfig(older)
	if has.config.Load().Version != 4 || has.snapshot.Load().version != 4 || has.configFollower.isBehind() {
		t.Errorf("version %d active, %d passed on, behind %t", has.config.Load().Version, has.snapshot.Load().version, has.configFollower.isBehind())
	}
	lacks.configFollower.noteUpdate(inEra(1, 36), 4, inEra(2, 20))
	if !lacks.configFollower.isBehind() {
		t.Error("an instance with version 3 is not behind")
	}
	server := httptest.NewServer(http.HandlerFunc(has.servePeer))
	t.Cleanup(server.Close)
	s, err := lacks.peerClient.config(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), lacks.knownConfig(), 0)
	if err != nil {
		t.Fatal(err)
	}
	item, ok := lacks.acceptSnapshot(s)
	if !ok {
		t.Fatal("the snapshot is not accepted")
	}
	lacks.applyConfig(eras.Revision{}, item, originHolder)
	if lacks.config.Load().Version != 4 || lacks.configFollower.isBehind() {
		t.Errorf("version %d active after the fetch, behind %t", lacks.config.Load().Version, lacks.configFollower.isBehind())
	}
	// The operators write version 4 again, and then version 5.
	again := configItem(4, inEra(2, 25))
	has.readConfig(again)
	if has.activeItem.revision != again.at {
		t.Errorf("revision %s active, want %s", has.activeItem.revision, again.at)
	}
	has.readConfig(configItem(5, inEra(2, 26)))
	if has.config.Load().Version != 5 {
		t.Errorf("version %d active, want 5", has.config.Load().Version)
	}
}

// TestHolderAsksAMemberForItsVersion has a holder that has started after a return know version 3 from the store, while
// a member has version 4. It guards against a holder that refuses routes of version 4 until the operators write it again.
func TestHolderAsksAMemberForItsVersion(t *testing.T) {
	store := fake.NewStore(t)
	store.Write(t, platform.ConfigKey, map[string]any{"version": 3})
	holder := New(&platform.Boot{Instance: "i1", Zone: "a1", Store: store.Addr()}, discardLogger())
	t.Cleanup(holder.stopLoops)
	holder.coordinator.setHolder(true)
	go holder.configFollower.run(holder.loopCtx)
	await := func(version int64) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if c := holder.config.Load(); c != nil && c.Version == version {
				return
			}
		}
		t.Fatalf("version %d is not active", version)
	}
	await(3)
	has := newInstance(t, true)
	has.readConfig(configItem(4, inEra(1, 36)))
	server := httptest.NewServer(http.HandlerFunc(has.servePeer))
	t.Cleanup(server.Close)
	if m := has.newMessage(); m.ConfigVersion != 0 {
		t.Errorf("version %d told although the store has not come back", m.ConfigVersion)
	}
	has.history.Note(has.clock.Now(), inEra(1, 36))
	has.history.Note(has.clock.Now(), inEra(2, 20))
	m := has.newMessage().exchangeRequest
	m.Peer = netip.MustParseAddrPort(server.Listener.Addr().String())
	holder.handleExchange(m)
	if !holder.configFollower.isBehind() {
		t.Error("the holder does not know that it is behind")
	}
	await(4)
	if holder.configFollower.isBehind() {
		t.Error("the holder is still behind")
	}
}

// TestCopyOfAnotherHistory guards against a compressed copy that is taken for the configuration of a number
// of another history, and against one that counts as damaged.
func TestCopyOfAnotherHistory(t *testing.T) {
	value, err := newConfigSnapshot(configItem(4, inEra(1, 36)), 4).encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		era  uint64
		want error
	}{{1, nil}, {2, errOtherHistory}, {0, errOtherHistory}} {
		item := dated(c.era, ports.Item{Key: configCopyKey, Value: value, Revision: 40})
		if _, err := decodeSnapshot(item); !errors.Is(err, c.want) {
			t.Errorf("era %d: %v, want %v", c.era, err, c.want)
		}
	}
}

// TestUpdatesOfAFormerHistory guards against updates of a holder that has not heard of the return: their revisions
// hide changes of the present history and lead to reading on from them.
func TestUpdatesOfAFormerHistory(t *testing.T) {
	e := newInstance(t, true)
	e.history.Note(e.clock.Now(), inEra(1, 30))
	e.history.Note(e.clock.Now(), inEra(2, 20))
	late := exchangeReply{ConfigRevision: inEra(1, 36), ConfigThrough: inEra(1, 38), TargetsThrough: inEra(1, 38)}
	e.applyUpdates(late, originHolder, e.clock.Now())
	f := e.targetFollower
	if got := []eras.Revision{f.coveredRevision.Load(), f.updatesThrough.Load(), e.configFollower.remoteRevision.Load()}; !cmp.Equal(got, make([]eras.Revision, 3)) {
		t.Errorf("noted %v", got)
	}
	e.applyUpdates(exchangeReply{TargetsThrough: inEra(2, 25)}, originHolder, e.clock.Now())
	if got := f.coveredRevision.Load(); got != inEra(2, 25) {
		t.Errorf("covered %s", got)
	}
}

// TestReturnKeepsUnlistedTargets lists the targets of a store that has come back from a copy in which one is missing. It
// guards against a target that goes out of use although it is about to write its entry again.
func TestReturnKeepsUnlistedTargets(t *testing.T) {
	e := newInstance(t, false)
	e.health.heartbeat = 10 * time.Millisecond
	e.history.Note(e.clock.Now(), inEra(1, 30))
	for range 20 {
		e.health.hear(ports.KVOK)
		time.Sleep(5 * time.Millisecond)
	}
	if d := e.health.removalDelay(); d != 0 {
		t.Fatalf("removal delay before the return: %v", d)
	}
	e.history.Note(e.clock.Now(), inEra(2, 20))
	e.applyTargetList(itemList{through: inEra(2, 20), from: originStore, askedAt: e.clock.Now()})
	if !e.uses() {
		t.Error("a target that the copy lacks is out of use")
	}
}

// TestTargetOfTheCopyIsHeldBack has a target leave, and the store come back from a copy with its entry. It guards
// against instances that use it again: by their own read, or by the update of a holder that knows nothing of before.
func TestTargetOfTheCopyIsHeldBack(t *testing.T) {
	for name, tell := range map[string]func(*Edge, eras.Revision){
		"own list": func(e *Edge, at eras.Revision) {
			item := dated(at.Era, targetItem(t, "one", ports.Revision(at.Number)).Item)
			e.applyTargetList(itemList{items: []storeItem{item}, through: inEra(2, 25), from: originStore, askedAt: e.clock.Now()})
		},
		"update": func(e *Edge, at eras.Revision) {
			u := updateOf(t, 0)
			u.Revision = at
			e.applyUpdates(exchangeReply{Full: true, TargetsThrough: inEra(2, 25), Updates: []picker.Update{u}}, originHolder, e.clock.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newInstance(t, false)
			e.history.Note(e.clock.Now(), inEra(1, 15))
			e.tracker.applyChange(dated(1, deletion(20).Item), originStore, 0)
			e.history.Note(e.clock.Now(), inEra(2, 18))
			tell(e, inEra(2, 5))
			held := !e.uses()
			tell(e, inEra(2, 19))
			if !held || !e.uses() {
				t.Errorf("entry of the copy held back: %t; in use once it is written again: %t", held, e.uses())
			}
		})
	}
}

// TestHolderHearsOfTargetsOfTheCopy has a holder that has started after a return tell of a target whose entry is the
// copy's, to a member that knows of its departure. It guards against a holder that goes on to use the target.
func TestHolderHearsOfTargetsOfTheCopy(t *testing.T) {
	holder, member := newInstance(t, true), newInstance(t, false)
	holder.history.Note(holder.clock.Now(), inEra(2, 25))
	list := func(at uint64) {
		item := dated(2, targetItem(t, "one", ports.Revision(at)).Item)
		holder.applyTargetList(itemList{items: []storeItem{item}, through: inEra(2, 25), from: originStore, askedAt: holder.clock.Now()})
	}
	list(5)
	holder.coordinator.setConfigRead()
	holder.coordinator.setHolder(true)
	member.history.Note(member.clock.Now(), inEra(1, 15))
	member.tracker.applyChange(dated(1, deletion(20).Item), originStore, 0)
	member.history.Note(member.clock.Now(), inEra(2, 18))
	told := updatesOf(t, holder)
	told.TargetsThrough = inEra(2, 25)
	member.applyUpdates(told, originHolder, member.clock.Now())
	m := member.newMessage().exchangeRequest
	if !holder.uses() || len(m.Left) != 1 {
		t.Fatalf("in use at the holder: %t, told of %v", holder.uses(), m.Left)
	}
	holder.handleExchange(m)
	if holder.uses() {
		t.Error("the holder uses a target that has left")
	}
	list(26)
	if !holder.uses() {
		t.Error("the holder does not use a target that is there")
	}
}

// TestNoProofRightAfterAReturn guards against a read of a store that has just come back from an older copy, in which the
// version that withdraws a key may be lost, as a proof that the key is in force.
func TestNoProofRightAfterAReturn(t *testing.T) {
	e := newInstance(t, true)
	now := e.clock.Now()
	e.history.Note(now, inEra(1, 30))
	e.readConfig(configItem(4, inEra(1, 28)))
	e.history.Note(now, inEra(2, 30))
	e.readConfig(configItem(4, inEra(2, 28)))
	var got []bool
	for _, after := range []time.Duration{0, leaseRecoveryTime - 1, leaseRecoveryTime} {
		e.noteConfigRead(now.Add(after), inEra(2, 28))
		_, isProven := e.proofs.Proof(now.Add(after))
		got = append(got, isProven)
	}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Errorf("proven (-want +got):\n%s", diff)
	}
}

// TestFirstProofAfterAReturnComesEarly guards against keys that are refused after a return for the time of a watch longer
// than need be.
func TestFirstProofAfterAReturnComesEarly(t *testing.T) {
	e := newInstance(t, true)
	bounds := *e.bounds.Load()
	bounds.Revocation = testRevocation
	e.bounds.Store(&bounds)
	now := e.clock.Now()
	e.history.Note(now, inEra(1, 30))
	got := []time.Duration{e.configWatchTimeout()}
	for _, ago := range []time.Duration{leaseRecoveryTime - 300*time.Millisecond, leaseRecoveryTime + 10*time.Millisecond, time.Minute} {
		e.history = newTestHistory()
		e.history.Note(now, inEra(1, 30))
		e.history.Note(e.clock.Now().Add(-ago), inEra(2, 30))
		got = append(got, e.configWatchTimeout().Round(50*time.Millisecond))
	}
	want := []time.Duration{strictWatchTimeout, 300 * time.Millisecond, probeWatchTimeout, strictWatchTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of watches (-want +got):\n%s", diff)
	}
}

// TestLateReplyOfAFormerHistory guards against a reply that a link has held back over a return of the store.
func TestLateReplyOfAFormerHistory(t *testing.T) {
	outdated := 0
	s := &eraStore{history: newTestHistory(), now: time.Now, onOutdated: func() { outdated++ }}
	var got []ports.KVStatus
	for _, r := range []ports.KVReply{
		{Era: 1, Revision: 30}, {Era: 2, Revision: 20}, {Era: 1, Revision: 31}, {Era: 1, Status: ports.KVNotFound}, {Status: ports.KVUnavailable},
	} {
		got = append(got, s.accept(r).Status)
	}
	want := []ports.KVStatus{ports.KVOK, ports.KVOK, ports.KVUnknown, ports.KVUnknown, ports.KVUnavailable}
	if diff := cmp.Diff(want, got); diff != "" || outdated != 2 {
		t.Errorf("%d thrown away, statuses (-want +got):\n%s", outdated, diff)
	}
}
