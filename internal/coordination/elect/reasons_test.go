package elect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// refusingKV answers renewals as if the lease had expired, once it is told to, and names an
// era in its replies.
type refusingKV struct {
	ports.KV
	refuses bool
	era     uint64
}

// Call answers a renewal or passes the call on.
func (k *refusingKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if _, isRenewal := req.(ports.KVRenew); isRenewal && k.refuses {
		done(ports.KVReply{Status: ports.KVNotFound})
		return
	}
	k.KV.Call(req, func(r ports.KVReply) {
		r.Era = k.era
		done(r)
	})
}

// record restarts an instance and records the reasons for which its terms end. It returns
// the connection to the store too.
func (r *fixture) record(i int) (*refusingKV, *[]EndReason) {
	r.kill(i)
	nd := r.nodes[i]
	kv, ended := &refusingKV{KV: nd.kv}, new([]EndReason)
	was := Status{}
	part := NewPart(address(i), testTTL, r.handover, r.random, WithOrderTime(testOrderTime))
	nd.loop = drive.NewLoop(part, ports.Env{KV: kv, Timer: r.timer}, drive.WithListener(func(v any) {
		nd.status = v.(Status)
		if was.IsHolder && !nd.status.IsHolder {
			*ended = append(*ended, nd.status.Ended)
		}
		was = nd.status
	}))
	nd.loop.Post(Start{})
	return kv, ended
}

// TestEndReasons ends the term of the only instance in each way that a term can end.
func TestEndReasons(t *testing.T) {
	for _, c := range []struct {
		want EndReason
		end  func(r *fixture, kv *refusingKV)
	}{
		{EndStopped, func(r *fixture, _ *refusingKV) { r.nodes[0].loop.Post(Release{}) }},
		{EndKeyLost, func(r *fixture, _ *refusingKV) { r.deleteKey() }},
		{EndLeaseLost, func(_ *fixture, kv *refusingKV) { kv.refuses = true }},
		{EndOlderCopy, func(_ *fixture, kv *refusingKV) { kv.era++ }},
		{EndNotRenewed, func(r *fixture, _ *refusingKV) { r.nodes[0].kv.SetFaults(world.KVFaults{Down: true}) }},
	} {
		t.Run(c.want.String(), func(t *testing.T) {
			r := newFixture(1, 7)
			kv, ended := r.record(0)
			r.advance(time.Second)
			c.end(r, kv)
			r.advance(3 * time.Second)
			if diff := cmp.Diff([]EndReason{c.want}, (*ended)[:min(len(*ended), 1)]); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
			s := r.nodes[0].status
			if s.Era != kv.era || s.Restores != int(kv.era) {
				t.Errorf("status %+v, era of the store: %d", s, kv.era)
			}
		})
	}
}

// TestEndOfAnUnrecordedTerm has something else write the record while the holder waits for a
// former one.
func TestEndOfAnUnrecordedTerm(t *testing.T) {
	r := newFixture(2, 8)
	_, ended := r.record(1)
	r.advance(time.Second)
	if r.holder != 0 {
		t.Fatalf("holder %d", r.holder)
	}
	r.kill(0)
	r.advance(testTTL + 2*time.Second)
	r.store.Call(ports.KVPut{Key: recordKey, Expect: r.nodes[1].status.Start.Record}, func(ports.KVReply) {})
	r.advance(testHandover + time.Second)
	if diff := cmp.Diff([]EndReason{EndNotRecorded}, *ended); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
}

// TestWaitReasons lets the holder change and checks what the Status of the next one says of
// its wait.
func TestWaitReasons(t *testing.T) {
	for _, c := range []struct {
		want WaitReason
		end  func(r *fixture, i int)
	}{
		{WaitNoFormer, func(*fixture, int) {}},
		{WaitOwnTerm, func(r *fixture, i int) { r.kill(i); r.start(i) }},
		{WaitSettled, func(r *fixture, i int) { r.nodes[i].loop.Post(Release{}) }},
		{WaitNotSettled, func(r *fixture, i int) { r.kill(i) }},
	} {
		t.Run(c.want.String(), func(t *testing.T) {
			r := newFixture(2, 9)
			r.advance(time.Second)
			c.end(r, r.holder)
			ended := r.timer.Now()
			r.advance(10 * time.Second)
			s := r.nodes[r.holder].status
			if diff := cmp.Diff(c.want, s.Start.Wait); diff != "" || (s.Start.Record != 0) != s.Former.IsValid() {
				t.Errorf("reason (-want +got):\n%sstatus %+v", diff, s)
			}
			if isLater := s.Start.CountedFrom.After(ended); isLater != (c.want != WaitNoFormer) {
				t.Errorf("the wait counts from %v, the former term ended at %v", s.Start.CountedFrom, ended)
			}
		})
	}
}
