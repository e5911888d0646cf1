package codec

import (
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// EncodeDemand makes a protobuf message of a Demand.
func EncodeDemand(d ports.Demand) *peerv1.DemandRequest {
	return &peerv1.DemandRequest{
		Model:   d.Model,
		Adapter: d.Adapter,
		Class:   string(d.Class),
		Waiting: int32(d.Waiting),
		Within:  durationpb.New(d.Within),
		From:    d.From,
		Zone:    d.Zone,
		Load:    string(d.Load),
	}
}

// DecodeDemand reads a Demand.
func DecodeDemand(in *peerv1.DemandRequest) ports.Demand {
	return ports.Demand{
		Model:   in.GetModel(),
		Adapter: in.GetAdapter(),
		Class:   config.Class(in.GetClass()),
		Waiting: int(in.GetWaiting()),
		Within:  in.GetWithin().AsDuration(),
		From:    in.GetFrom(),
		Zone:    in.GetZone(),
		Load:    ports.LoadReach(in.GetLoad()),
	}
}

// EncodeDemandReply makes a protobuf message of a DemandReply.
func EncodeDemandReply(r ports.DemandReply) *peerv1.DemandResponse {
	return &peerv1.DemandResponse{
		Status:     string(r.Status),
		Reason:     r.Reason,
		ReadyIn:    durationpb.New(r.ReadyIn),
		RetryAfter: durationpb.New(r.RetryAfter),
		Hint:       r.Hint,
	}
}

// DecodeDemandReply reads a DemandReply.
func DecodeDemandReply(in *peerv1.DemandResponse) ports.DemandReply {
	return ports.DemandReply{
		Status:     ports.DemandStatus(in.GetStatus()),
		Reason:     in.GetReason(),
		ReadyIn:    in.GetReadyIn().AsDuration(),
		RetryAfter: in.GetRetryAfter().AsDuration(),
		Hint:       in.GetHint(),
	}
}

// EncodeTableDelta makes a protobuf message of a TableDelta.
func EncodeTableDelta(d ports.TableDelta) *peerv1.PullTableResponse {
	out := &peerv1.PullTableResponse{Stream: d.Stream, Seq: d.Seq, Whole: d.Full, Removed: d.Removed}
	for _, r := range d.Replicas {
		out.Replicas = append(out.Replicas, encodeReplica(r))
	}
	return out
}

// DecodeTableDelta reads a TableDelta.
func DecodeTableDelta(in *peerv1.PullTableResponse) (ports.TableDelta, error) {
	d := ports.TableDelta{Stream: in.GetStream(), Seq: in.GetSeq(), Full: in.GetWhole(), Removed: in.GetRemoved()}
	for _, r := range in.GetReplicas() {
		replica, err := decodeReplica(r)
		if err != nil {
			return ports.TableDelta{}, trace.Wrap(err, "replica %q", r.GetId())
		}
		d.Replicas = append(d.Replicas, replica)
	}
	return d, nil
}

func encodeReplica(r ports.Replica) *peerv1.Replica {
	return &peerv1.Replica{
		Id:          r.ID,
		Model:       r.Model,
		Revision:    r.Revision,
		Target:      r.Target,
		Addr:        r.Addr.String(),
		Zone:        r.Zone,
		Region:      r.Region,
		Shard:       int32(r.Shard),
		Phase:       string(r.Phase),
		ReadyIn:     durationpb.New(r.ReadyIn),
		Adapters:    r.Adapters,
		Concurrency: int32(r.Concurrency),
		Running:     int32(r.Running),
		Queued:      int32(r.Queued),
		Leaving:     r.Leaving,
		Reason:      r.Reason,
	}
}

func decodeReplica(in *peerv1.Replica) (ports.Replica, error) {
	addr, err := netip.ParseAddrPort(in.GetAddr())
	if err != nil {
		return ports.Replica{}, trace.BadParameter("address of a replica: %v", err)
	}
	return ports.Replica{
		ID:          in.GetId(),
		Model:       in.GetModel(),
		Revision:    in.GetRevision(),
		Target:      in.GetTarget(),
		Addr:        addr,
		Zone:        in.GetZone(),
		Region:      in.GetRegion(),
		Shard:       int(in.GetShard()),
		Phase:       ports.ReplicaPhase(in.GetPhase()),
		ReadyIn:     in.GetReadyIn().AsDuration(),
		Adapters:    in.GetAdapters(),
		Concurrency: int(in.GetConcurrency()),
		Running:     int(in.GetRunning()),
		Queued:      int(in.GetQueued()),
		Leaving:     in.GetLeaving(),
		Reason:      in.GetReason(),
	}, nil
}

// EncodePullTable makes a protobuf message of a PullTable.
func EncodePullTable(p ports.PullTable) *peerv1.PullTableRequest {
	return &peerv1.PullTableRequest{
		After:   p.After,
		Stream:  p.Stream,
		Summary: p.Summary,
		Wait:    durationpb.New(p.Wait),
	}
}

// DecodePullTable reads a PullTable.
func DecodePullTable(in *peerv1.PullTableRequest) ports.PullTable {
	return ports.PullTable{
		After:   in.GetAfter(),
		Stream:  in.GetStream(),
		Summary: in.GetSummary(),
		Wait:    in.GetWait().AsDuration(),
	}
}

// EncodeShards makes protobuf numbers of shard numbers.
func EncodeShards(shards []int) []int32 {
	out := make([]int32, len(shards))
	for i, s := range shards {
		out[i] = int32(s)
	}
	return out
}

// DecodeShards reads shard numbers.
func DecodeShards(in []int32) []int {
	out := make([]int, len(in))
	for i, s := range in {
		out[i] = int(s)
	}
	return out
}
