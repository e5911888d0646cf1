package edge

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/platform"
)

// allKnowReaders reports whether all instances know the readers of their zone.
func (r *rig) allKnowReaders() bool {
	for _, e := range r.edges {
		if list := e.readers.Load(); list == nil || len(*list) < readersPerZone {
			return false
		}
	}
	return true
}

// TestReadersReadForTheOthers kills the holder and changes the configuration. All
// instances must have it in time, and only the readers and the successor may read it from
// the store.
func TestReadersReadForTheOthers(t *testing.T) {
	r := newRig(t, 7)
	r.eventually("all instances know their readers", r.allKnowReaders)
	// The store is idle for longer than one watch, so that the updates cover its latest
	// revision.
	time.Sleep(2 * time.Second)
	lost := r.holder(nil)
	lost.kill()
	time.Sleep(maxUpdateAge)
	before := r.store.Handed(platform.ConfigKey)
	r.config(9, "/ninth/")
	time.Sleep(1500 * time.Millisecond)
	for _, e := range r.edges {
		if e == lost {
			continue
		}
		if status, _ := r.call(e, "/ninth/", ""); status != http.StatusOK {
			t.Errorf("%s answers %d on the new route", e.boot.Instance, status)
		}
	}
	if n := r.store.Handed(platform.ConfigKey) - before; n > readersPerZone+1 {
		t.Errorf("the store sent the configuration %d times", n)
	}
}

// TestHolderAsksNoReader has a holder that is not a reader. It must read the store, since
// readers only know what its updates contain.
func TestHolderAsksNoReader(t *testing.T) {
	r := newRig(t, 3)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	holder := r.holder(nil)
	var others []netip.AddrPort
	for _, e := range r.edges {
		if e != holder {
			others = append(others, e.boot.Peer)
		}
	}
	holder.readers.Store(&others)
	time.Sleep(2 * time.Second)
	r.config(9, "/ninth/")
	time.Sleep(time.Second)
	for _, e := range r.edges {
		if status, _ := r.call(e, "/ninth/", ""); status != http.StatusOK {
			t.Errorf("%s answers %d on the new route", e.boot.Instance, status)
		}
	}
}

// TestReadersLost kills the holder and both readers: the others must read the store
// themselves.
func TestReadersLost(t *testing.T) {
	r := newRig(t, 5)
	r.eventually("all instances know their readers", r.allKnowReaders)
	lost := map[*Edge]bool{r.holder(nil): true}
	for _, e := range r.edges {
		if len(e.readersToAsk()) == 0 {
			lost[e] = true
		}
	}
	for e := range lost {
		e.kill()
	}
	r.config(9, "/ninth/")
	time.Sleep(maxUpdateAge + readerTotalTimeout + 800*time.Millisecond)
	for _, e := range r.edges {
		if lost[e] {
			continue
		}
		if status, _ := r.call(e, "/ninth/", ""); status != http.StatusOK {
			t.Errorf("%s answers %d on the new route", e.boot.Instance, status)
		}
	}
}

// TestSilentHolderHasTheConfiguration has a holder that has reported a newer
// configuration fall silent. The instance must stop waiting and read the store.
func TestSilentHolderHasTheConfiguration(t *testing.T) {
	r := newRig(t, 0)
	var lc net.ListenConfig
	silent, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	e := New(&platform.Boot{Instance: "i1", Zone: "a1", Store: r.store.Addr()}, discardLogger())
	defer e.stopLoops()
	e.coordinator.setStatus(elect.Status{Holder: netip.MustParseAddrPort(silent.Addr().String())})
	e.updatedAt.Store(e.clock.Now().UnixNano())
	e.configFollower.noteUpdate(rev(1000), 0, rev(0))
	began := time.Now()
	go e.configFollower.run(e.loopCtx)
	r.eventually("the configuration is active", func() bool { return e.config.Load() != nil })
	if took := time.Since(began); took > maxUpdateAge+500*time.Millisecond {
		t.Errorf("active after %v", took)
	}
}

// TestSelectsReaders checks that the two instances with the most processor time are
// readers in a large zone and all are in a small one, and that an instance is told only
// once.
func TestSelectsReaders(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	peer := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	for i, m := range []exchangeRequest{
		{From: "weak", Zone: "a", Cores: 0.2},
		{From: "strong", Zone: "a", Cores: 0.8},
		{From: "middle", Zone: "a", Cores: 0.4},
		{From: "weaker", Zone: "a", Cores: 0.1},
		{From: "weakest", Zone: "a", Cores: 0.05},
		{From: "b1", Zone: "b", Cores: 0.2},
		{From: "b2", Zone: "b", Cores: 0.8},
		{From: "b3", Zone: "b", Cores: 0.4},
	} {
		m.Peer = peer(byte(i))
		k.handleExchange(m)
	}
	k.readers.byZone = nil
	var got [][]netip.AddrPort
	for _, from := range []string{"weak", "weak", "b1"} {
		r, _ := k.handleExchange(exchangeRequest{From: from})
		got = append(got, r.Readers)
	}
	want := [][]netip.AddrPort{{peer(1), peer(2)}, nil, {peer(6), peer(7), peer(5)}}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })); diff != "" {
		t.Errorf("readers (-want +got):\n%s", diff)
	}
}
