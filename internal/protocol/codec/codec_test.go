package codec

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// travel encodes a message as it goes over the wire, with a field that only a
// later release knows, and decodes it.
func travel(t *rapid.T, sent, received proto.Message) {
	t.Helper()
	data, err := proto.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	const later = 1000
	data = protowire.AppendTag(data, later, protowire.BytesType)
	data = protowire.AppendString(data, "from a later release")
	if err := proto.Unmarshal(data, received); err != nil {
		t.Fatal(err)
	}
}

func same(t *rapid.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Fatalf("message (-sent +received):\n%s", diff)
	}
}

var (
	names     = rapid.StringMatching(`[a-z0-9-]{0,12}`)
	durations = rapid.Map(rapid.Int64Range(0, int64(time.Hour)), func(n int64) time.Duration { return time.Duration(n) })
	addrs     = rapid.Map(rapid.Uint32(), func(n uint32) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(n))
	})
	shards  = rapid.SliceOfN(rapid.IntRange(0, 255), 0, 4)
	members = rapid.Custom(func(t *rapid.T) ports.Member {
		return ports.Member{
			ID: names.Draw(t, "id"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Beat: rapid.Uint64().Draw(t, "beat"),
			Zone: names.Draw(t, "zone"), Region: names.Draw(t, "region"), Addr: addrs.Draw(t, "addr"),
			Phase:         rapid.SampledFrom([]ports.MemberPhase{ports.MemberAlive, ports.MemberSilent, ports.MemberLeaving}).Draw(t, "phase"),
			ConfigVersion: config.Version(rapid.Uint64().Draw(t, "version")), Shards: shards.Draw(t, "shards"),
		}
	})
	counts = rapid.Custom(func(t *rapid.T) ports.ToldCount {
		count := ports.ToldCount{ID: rapid.Uint32().Draw(t, "id"), Total: rapid.Uint64().Draw(t, "total")}
		if rapid.Bool().Draw(t, "keyed") {
			count.Key = &ports.CountKey{
				Date: names.Draw(t, "date"), Kind: names.Draw(t, "kind"), Service: names.Draw(t, "service"),
				Class: config.ClassLookup, Reason: names.Draw(t, "reason"), NotRun: rapid.Bool().Draw(t, "notRun"),
			}
		}
		return count
	})
	replicas = rapid.Custom(func(t *rapid.T) ports.Replica {
		return ports.Replica{
			ID: names.Draw(t, "id"), Model: names.Draw(t, "model"), Revision: names.Draw(t, "revision"), Target: names.Draw(t, "target"),
			Addr: addrs.Draw(t, "addr"), Zone: names.Draw(t, "zone"), Region: names.Draw(t, "region"), Shard: rapid.IntRange(0, 255).Draw(t, "shard"),
			Phase:   rapid.SampledFrom([]ports.ReplicaPhase{ports.PhaseLoading, ports.PhaseReady, ports.PhaseFailed}).Draw(t, "phase"),
			ReadyIn: durations.Draw(t, "readyIn"), Adapters: rapid.SliceOfN(names, 0, 3).Draw(t, "adapters"),
			Concurrency: rapid.IntRange(0, 512).Draw(t, "concurrency"), Running: rapid.IntRange(0, 512).Draw(t, "running"),
			Queued: rapid.IntRange(0, 512).Draw(t, "queued"), Leaving: rapid.Bool().Draw(t, "leaving"), Reason: names.Draw(t, "reason"),
		}
	})
)

// TestMessagesTravel sends each message between two releases and expects every
// field of this one to arrive.
func TestMessagesTravel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gossip := ports.Gossip{From: members.Draw(t, "from"), Members: rapid.SliceOfN(members, 0, 3).Draw(t, "members")}
		var g peerv1.GossipMessage
		travel(t, EncodeGossip(gossip), &g)
		gotGossip, err := DecodeGossip(&g)
		if err != nil {
			t.Fatal(err)
		}
		same(t, gossip, gotGossip)

		table := ports.TableDelta{
			Stream: rapid.Uint64().Draw(t, "stream"), Seq: rapid.Uint64().Draw(t, "seq"), Full: rapid.Bool().Draw(t, "whole"),
			Replicas: rapid.SliceOfN(replicas, 0, 3).Draw(t, "replicas"), Removed: rapid.SliceOfN(names, 0, 3).Draw(t, "removed"),
		}
		var d peerv1.PullTableResponse
		travel(t, EncodeTableDelta(table), &d)
		gotTable, err := DecodeTableDelta(&d)
		if err != nil {
			t.Fatal(err)
		}
		same(t, table, gotTable)

		demand := ports.Demand{
			Model: names.Draw(t, "model"), Adapter: names.Draw(t, "adapter"), Class: config.ClassDeferrable,
			Waiting: rapid.IntRange(0, 1000).Draw(t, "waiting"), Within: durations.Draw(t, "within"),
			From: names.Draw(t, "from"), Zone: names.Draw(t, "zone"), Load: ports.LoadAcross,
		}
		var q peerv1.DemandRequest
		travel(t, EncodeDemand(demand), &q)
		same(t, demand, DecodeDemand(&q))

		reply := ports.DemandReply{
			Status: ports.DemandQueued, Reason: names.Draw(t, "reason"), ReadyIn: durations.Draw(t, "readyIn"),
			RetryAfter: durations.Draw(t, "retryAfter"), Hint: names.Draw(t, "hint"),
		}
		var r peerv1.DemandResponse
		travel(t, EncodeDemandReply(reply), &r)
		same(t, reply, DecodeDemandReply(&r))

		yield := ports.YieldPermit{
			Resource: names.Draw(t, "resource"), Shard: names.Draw(t, "shard"), Wanted: rapid.IntRange(0, 9).Draw(t, "wanted"),
			Waiting: durations.Draw(t, "waiting"), Patient: rapid.Bool().Draw(t, "patient"),
		}
		var y peerv1.YieldPermitRequest
		travel(t, EncodeYieldPermit(yield), &y)
		same(t, yield, DecodeYieldPermit(&y))

		news := ports.TargetNews{
			Target: names.Draw(t, "target"), Leaving: rapid.Bool().Draw(t, "leaving"), Failing: rapid.Bool().Draw(t, "failing"),
			Drain: rapid.SampledFrom([]ports.DrainMark{ports.DrainNone, ports.DrainBegin, ports.DrainEnd}).Draw(t, "drain"),
		}
		var n peerv1.TargetNewsRequest
		travel(t, EncodeTargetNews(news), &n)
		same(t, news, DecodeTargetNews(&n))

		pull := ports.PullTable{
			After: rapid.Uint64().Draw(t, "after"), Stream: rapid.Uint64().Draw(t, "stream"),
			Summary: rapid.Bool().Draw(t, "summary"), Wait: durations.Draw(t, "wait"),
		}
		var p peerv1.PullTableRequest
		travel(t, EncodePullTable(pull), &p)
		same(t, pull, DecodePullTable(&p))

		over := ports.HandOver{Shards: shards.Draw(t, "shards"), From: names.Draw(t, "from")}
		var h peerv1.HandOverRequest
		travel(t, EncodeHandOver(over), &h)
		same(t, over, DecodeHandOver(&h))

		tell := ports.TellCounts{
			Origin: ports.CountOrigin{
				Instance: names.Draw(t, "instance"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Zone: names.Draw(t, "zone"), Nonce: rapid.Uint64().Draw(t, "nonce"),
			},
			Seq: rapid.Uint64().Draw(t, "seq"), Whole: rapid.Bool().Draw(t, "whole"), Exact: rapid.Bool().Draw(t, "exact"),
			Counts: rapid.SliceOfN(counts, 0, 3).Draw(t, "counts"),
		}
		var c peerv1.TellCountsRequest
		travel(t, EncodeTellCounts(tell), &c)
		same(t, tell, DecodeTellCounts(&c))

		fetch := ports.FetchConfig{After: config.Version(rapid.Uint64().Draw(t, "after"))}
		var f peerv1.FetchConfigRequest
		travel(t, EncodeFetchConfig(fetch), &f)
		same(t, fetch, DecodeFetchConfig(&f))
	})
}

// TestUnreadableMessages expects an error where an address is none, instead of a
// member or replica that nobody can reach.
func TestUnreadableMessages(t *testing.T) {
	if _, err := DecodeGossip(&peerv1.GossipMessage{From: &peerv1.Member{Id: "a", Addr: "nowhere"}}); err == nil {
		t.Error("a member without an address was accepted")
	}
	if _, err := DecodeTableDelta(&peerv1.PullTableResponse{Replicas: []*peerv1.Replica{{Id: "r"}}}); err == nil {
		t.Error("a replica without an address was accepted")
	}
	if _, err := DecodeConfigDelta(&peerv1.FetchConfigResponse{SnapshotJson: []byte("{")}); err == nil {
		t.Error("half a configuration was accepted")
	}
}
