package kvmem

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

func call(s *Store, req ports.KVRequest) ports.KVReply {
	var reply ports.KVReply
	s.Call(req, func(r ports.KVReply) { reply = r })
	return reply
}

// TestRestore checks that a store that comes back from a copy has lost what was written since,
// and gives out revisions and lease numbers again.
func TestRestore(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	s := NewStore(clock)
	first := call(s, ports.KVGrant{TTL: time.Second})
	kept := call(s, ports.KVPut{Key: "kept", Value: []byte("1"), Lease: first.Lease})
	backup := s.Copy()
	second := call(s, ports.KVGrant{TTL: time.Second})
	lost := call(s, ports.KVPut{Key: "lost", Value: []byte("2")})
	call(s, ports.KVDelete{Key: "kept", Expect: kept.Revision})
	var watched []ports.KVReply
	s.Call(ports.KVWatch{After: s.revision, Wait: time.Minute}, func(r ports.KVReply) { watched = append(watched, r) })

	s.Restore(backup)
	if diff := cmp.Diff([]ports.KVReply{{Status: ports.KVUnavailable}}, watched); diff != "" {
		t.Errorf("watch from before (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ports.Item{{Key: "kept", Value: []byte("1"), Revision: kept.Revision, Lease: first.Lease}}, s.Dump()); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
	want := ports.KVReply{Status: ports.KVConflict, Revision: kept.Revision, Era: 1}
	if diff := cmp.Diff(want, call(s, ports.KVWatch{After: lost.Revision, Wait: time.Minute})); diff != "" {
		t.Errorf("watch from a lost revision (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(second.Lease, call(s, ports.KVGrant{TTL: time.Second}).Lease); diff != "" {
		t.Errorf("next lease (-want +got):\n%s", diff)
	}
	again := call(s, ports.KVPut{Key: "again"})
	if diff := cmp.Diff(ports.KVReply{Revision: lost.Revision, Era: 1}, again); diff != "" {
		t.Errorf("next write (-want +got):\n%s", diff)
	}
	clock.Advance(999 * time.Millisecond)
	if got := call(s, ports.KVGet{Key: "kept"}); got.Status != ports.KVOK {
		t.Errorf("key of a lease of the copy before its TTL has passed again: %v", got.Status)
	}
	clock.Advance(time.Millisecond)
	if got := call(s, ports.KVGet{Key: "kept"}); got.Status != ports.KVNotFound || got.Era != 1 {
		t.Errorf("key of a lease of the copy after its TTL: %v, era %d", got.Status, got.Era)
	}
}

// TestAway checks that calls fail without effect while the store is away.
func TestAway(t *testing.T) {
	s := NewStore(timer.NewVirtual(time.Unix(1_000_000, 0)))
	var watched []ports.KVReply
	s.Call(ports.KVWatch{Wait: time.Minute}, func(r ports.KVReply) { watched = append(watched, r) })
	s.SetAway(true)
	unavailable := ports.KVReply{Status: ports.KVUnavailable}
	got := append(watched, call(s, ports.KVPut{Key: "k"}), call(s, ports.KVWatch{Wait: time.Minute}))
	if diff := cmp.Diff([]ports.KVReply{unavailable, unavailable, unavailable}, got); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
	s.SetAway(false)
	if got := call(s, ports.KVGet{Key: "k"}); got.Status != ports.KVNotFound {
		t.Errorf("key written while the store was away: %v", got.Status)
	}
}
