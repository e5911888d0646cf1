package edge

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
)

// counts returns the number of instances that the holder knows, and of those that send
// messages to it.
func (k *coordinator) counts() [2]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	members, senders := k.pruneMembers(k.clock.Now())
	return [2]int{members, senders}
}

// newFleetWithRelays returns a fleet whose zone is large enough for relays.
func newFleetWithRelays(t *testing.T, instances int) *fleetWithReaders {
	return newFleetWithReaders(t, instances, func(r *rig) { r.relayZoneSize = smallZoneSize })
}

// peerOf returns the address at which instance i gets messages in tests without a network.
func peerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// TestOnlyRelaysSendToTheHolder guards against messages to the holder that grow with the
// zone, and against instances that the holder takes for lost since relays report them. A
// new target and a new configuration must reach all instances through the relays.
func TestOnlyRelaysSendToTheHolder(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	f.eventually("only the holder and two relays send to the holder", func() bool {
		return f.holder.coordinator.counts() == [2]int{7, 3}
	})
	f.replaceDeskTarget(time.Second)
	f.config(9, "/ninth/")
	f.eventually("all have the configuration", func() bool {
		return holdsForAll(f.edges, func(e *Edge) bool {
			status, _ := f.call(e, "/ninth/", "")
			return status == http.StatusOK
		})
	})
	if got := f.holder.coordinator.counts(); got != [2]int{7, 3} {
		t.Errorf("%d instances, %d of them send to the holder", got[0], got[1])
	}
}

// TestNoRelaysInSmallZones guards against the delay of the detour over relays where the
// holder can reply to all, and against full lists for a whole fleet from a new holder that
// knows only a few of its instances.
func TestNoRelaysInSmallZones(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	send := func(i int, hadRelays bool) bool {
		r, _ := k.handleExchange(exchangeRequest{From: targetName(i), Zone: "a", Peer: peerOf(i), HadRelays: hadRelays})
		return r.HasRelays
	}
	got := []bool{send(1, false), send(1, true)}
	for i := range relayZoneSize {
		send(i+1, false)
	}
	k.readers.byZone, k.readers.firstAt = nil, k.clock.Now().Add(-zoneSettleTime)
	got = append(got, send(1, true))
	send(relayZoneSize+1, false)
	k.readers.byZone = nil
	got = append(got, send(1, false))
	if diff := cmp.Diff([]bool{false, true, false, true}, got); diff != "" {
		t.Errorf("relays at first, for an instance that had some, with %d and %d instances (-want +got):\n%s",
			relayZoneSize, relayZoneSize+1, diff)
	}
}

// TestColdModelBehindARelay asks children of relays for a model that no target has loaded:
// their demand must reach the planner.
func TestColdModelBehindARelay(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	for _, e := range f.others {
		if status, body := f.call(e, "/chat/", "m5"); status != http.StatusOK {
			t.Errorf("%s: %d %s", e.boot.Instance, status, body)
		}
	}
}

// TestLoadOfOthersBehindRelays guards against children of relays that do not know the load of
// the others, or count their own requests among these.
func TestLoadOfOthersBehindRelays(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	busy := f.others[0]
	for range 3 {
		defer acquire(t, busy.picker, busy.timer.Now()).Release(picker.Outcome{})
	}
	for _, e := range f.edges {
		f.eventually(e.boot.Instance+" knows the three requests", func() bool {
			s := acquire(t, e.picker, e.timer.Now())
			defer s.Release(picker.Outcome{})
			return s.Load == 3
		})
	}
}

// TestRelayKilled kills one relay: its children must use the other one.
func TestRelayKilled(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	f.readers[0].kill()
	f.replaceDeskTarget(exchangeInterval + relayTimeout + time.Second)
	f.eventually("all instances have fresh updates through a relay", func() bool {
		return holdsForAll(f.others, (*Edge).hasFreshUpdates) && f.holder.coordinator.counts()[1] <= 3
	})
}

// TestChildrenLearnOfAHandover has the holder stop as planned. Updates may stay fresh all
// the time, so that children ask no reader for the new holder. They need its address for
// permits and crashes.
func TestChildrenLearnOfAHandover(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	f.holder.Stop()
	f.eventually("all instances know the new holder", func() bool {
		next := f.rig.holder(f.holder)
		return next != nil && holdsForAll(f.others, func(e *Edge) bool {
			return e == next || e.coordinator.holderStatus().Holder == next.boot.Peer
		})
	})
}

// TestRelayFreezes blocks one relay, which takes messages and does not reply.
func TestRelayFreezes(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	frozen := f.readers[0]
	// Every request that needs the holder's status blocks on this mutex.
	frozen.coordinator.mu.Lock()
	defer frozen.coordinator.mu.Unlock()
	f.replaceDeskTarget(exchangeInterval + 2*relayTimeout + time.Second)
}

// TestBothRelaysLost kills both relays: the holder must tell the others.
func TestBothRelaysLost(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	for _, e := range f.readers {
		e.kill()
	}
	f.replaceDeskTarget(exchangeInterval + 2*relayTimeout + time.Second)
}

// TestRelayWithoutFreshUpdates asks an instance whose updates have ended: what it has must
// not be taken for fresh. With fresh updates it must say how old they are.
func TestRelayWithoutFreshUpdates(t *testing.T) {
	e := New(&platform.Boot{Instance: "i1", Zone: "a1"}, discardLogger())
	defer e.stopLoops()
	asOf := e.clock.Now().Add(-maxUpdateAge)
	one := picker.Update{Identity: fleet.Identity{ID: "one", Born: 1}, Service: "desk"}
	e.held.adopt(exchangeReply{Term: 1, Version: 4, Full: true, Updates: []picker.Update{one}, ConfigThrough: rev(7)}, asOf)
	e.noteUpdatedAt(asOf)
	if r, ok := e.relayExchange(exchangeRequest{From: "i2"}); ok {
		t.Errorf("replied with %+v", r)
	}
	asOf = e.clock.Now().Add(-100 * time.Millisecond)
	e.held.adopt(exchangeReply{Term: 1, Version: 5, ConfigThrough: rev(8)}, asOf)
	e.noteUpdatedAt(asOf)
	r, ok := e.relayExchange(exchangeRequest{From: "i2", Term: 1, Version: 3})
	if !ok || !r.Full || len(r.Updates) != 1 || r.Version != 5 || r.ConfigThrough != rev(8) || r.AgeMS < 100 {
		t.Errorf("replied with %+v, %t", r, ok)
	}
	r, ok = e.relayExchange(exchangeRequest{From: "i2", Term: 1, Version: 4})
	if !ok || r.Full || len(r.Updates) != 0 {
		t.Errorf("replied to an instance that lacks nothing with %+v, %t", r, ok)
	}
}

// TestChildrenAreMembers guards against counting a child's demand twice when it changes
// from the holder to a relay, and against losing it as a member while the relay names its
// children by a hash.
func TestChildrenAreMembers(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	live := []relay.Child{{Name: "i3", Zone: "a", Peer: peerOf(1), Cores: 0.5}}
	k.handleExchange(exchangeRequest{From: "i3", Seq: 1})
	var got [][2]int
	var known uint64
	for range 2 {
		r, _ := k.handleExchange(exchangeRequest{From: "i2", Children: relay.NameChildren(live, known)})
		known = r.ChildrenKnown
		got = append(got, [2]int{r.Members, r.Senders})
	}
	k.handleExchange(exchangeRequest{From: "i4", IsAside: true})
	r, _ := k.handleExchange(exchangeRequest{From: "i2"})
	got = append(got, [2]int{r.Members, r.Senders})
	if diff := cmp.Diff([][2]int{{2, 1}, {2, 1}, {2, 1}}, got); diff != "" {
		t.Errorf("members and senders (-want +got):\n%s", diff)
	}
	if k.members["i3"].peer != peerOf(1) || relay.NameChildren(live, known).List != nil {
		t.Errorf("member %+v, known %d", k.members["i3"], known)
	}
}

// TestFullListComesFromRelays guards against a holder that sends the list of thousands of
// targets to every instance of a large zone, and against an instance that never gets it.
func TestFullListComesFromRelays(t *testing.T) {
	k := newTestCoordinator(t)
	k.relayZoneSize = smallZoneSize
	for i := range minRedirectTargets {
		k.setTarget(fleet.Target{Identity: fleet.Identity{ID: targetName(i), Born: 1}, Service: "desk"})
	}
	k.setHasFullList(true)
	k.setHolder(true)
	send := func(i int, needsFull bool) exchangeReply {
		r, _ := k.handleExchange(exchangeRequest{From: targetName(i), Zone: "a", Peer: peerOf(i), Cores: 1 / float64(i), NeedsFull: needsFull})
		return r
	}
	for i := range 6 {
		send(i+1, false)
	}
	k.readers.byZone = nil
	var got []int
	for _, r := range []exchangeReply{send(1, false), send(3, false), send(3, true)} {
		got = append(got, len(r.Updates), len(r.Readers))
	}
	if diff := cmp.Diff([]int{minRedirectTargets, 2, 0, 2, minRedirectTargets, 2}, got); diff != "" {
		t.Errorf("updates and readers of a relay, of another instance, and of one without relays (-want +got):\n%s", diff)
	}
}

// TestManyTargets starts instances of a large zone with so many targets that the holder
// redirects them.
func TestManyTargets(t *testing.T) {
	f := newFleetWithRelays(t, 7)
	for i := range minRedirectTargets {
		f.store.Write(t, "servers/"+targetName(i), f.targets["d1"].Entry("idle", "draining"))
	}
	f.eventually("the holder knows all targets", func() bool {
		f.holder.coordinator.mu.Lock()
		defer f.holder.coordinator.mu.Unlock()
		return len(f.holder.coordinator.targets) >= minRedirectTargets
	})
	e := f.start()
	f.eventually("the new instance has fresh updates", e.hasFreshUpdates)
	if status, body := f.call(e, "/app/", ""); status != http.StatusOK {
		t.Errorf("%d %s", status, body)
	}
	f.holder.kill()
	f.replaceDeskTarget(maxUpdateAge + 600*time.Millisecond)
	f.eventually("all instances have fresh updates", func() bool {
		return holdsForAll(f.edges, func(e *Edge) bool { return e == f.holder || e.isHolder() || e.hasFreshUpdates() })
	})
}

// TestConfigComesFromARelay has a relay that is still fetching the configuration which
// updates name. Its child must wait for it and not ask the holder, which is unknown here.
func TestConfigComesFromARelay(t *testing.T) {
	newEdge := func(name string, peer netip.AddrPort) *Edge {
		e := New(&platform.Boot{Instance: name, Zone: "a1", Peer: peer}, discardLogger())
		t.Cleanup(e.stopLoops)
		e.configFollower.noteUpdate(rev(9), 0, rev(0))
		return e
	}
	r := newEdge("i1", netip.MustParseAddrPort("127.0.0.1:1"))
	server := httptest.NewServer(http.HandlerFunc(r.servePeer))
	t.Cleanup(server.Close)
	child := newEdge("i2", netip.MustParseAddrPort("127.0.0.1:2"))
	child.hasRelays.Store(true)
	child.readers.Store(&[]netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())})
	time.AfterFunc(100*time.Millisecond, func() {
		r.snapshot.Store(newConfigSnapshot(dated(0, ports.Item{Key: platform.ConfigKey, Revision: 9, Value: []byte("{}")}), 0))
		r.configFollower.localRevision.Store(rev(9))
	})
	list, ok := child.fetchNewestConfig(t.Context())
	if !ok || len(list.items) != 1 || list.items[0].Revision != 9 {
		t.Errorf("fetched %+v, %t", list.items, ok)
	}
}

// TestRelayTellsBlocksWithTheirVersion asks a relay while it applies a reply of the holder. It
// guards against an instance that takes the version of a block and not the block itself, which it
// is then told no more.
func TestRelayTellsBlocksWithTheirVersion(t *testing.T) {
	e := New(&platform.Boot{Instance: "i1", Zone: "a1"}, discardLogger())
	defer e.stopLoops()
	now := e.clock.Now()
	e.noteUpdatedAt(now)
	block := crash.Block{BlockKey: crash.BlockKey{Service: "desk", Parts: "bad"}, Revision: 1}
	reply := exchangeReply{Term: 1, Version: 5, Full: true, Crashes: crash.Reply{Version: 3, Blocks: []crash.Block{block}}}
	e.tracker.mu.Lock()
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		e.applyDirect(&message{}, exchangeRequest{}, reply, e.timer.Now(), now)
	}()
	for e.held.position().Version == 0 {
		time.Sleep(time.Millisecond)
	}
	r, ok := e.relayExchange(exchangeRequest{From: "i2", Term: 1, Version: 4, Blocks: 2})
	e.tracker.mu.Unlock()
	<-applied
	if !ok || r.Crashes.Version != 3 || len(r.Crashes.Blocks) != 1 {
		t.Errorf("replied %t with version %d of the blocks and %d blocks, wanted version 3 with the block",
			ok, r.Crashes.Version, len(r.Crashes.Blocks))
	}
}
