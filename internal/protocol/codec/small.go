package codec

import (
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// DecodeFetchConfig reads a FetchConfig.
func DecodeFetchConfig(in *peerv1.FetchConfigRequest) ports.FetchConfig {
	return ports.FetchConfig{After: config.Version(in.GetAfter())}
}

// EncodeFetchConfig makes a protobuf message of a FetchConfig.
func EncodeFetchConfig(f ports.FetchConfig) *peerv1.FetchConfigRequest {
	return &peerv1.FetchConfigRequest{After: uint64(f.After)}
}

// DecodeYieldPermit reads a YieldPermit.
func DecodeYieldPermit(in *peerv1.YieldPermitRequest) ports.YieldPermit {
	return ports.YieldPermit{
		Resource: in.GetResource(),
		Shard:    in.GetShard(),
		Wanted:   int(in.GetWanted()),
		Waiting:  in.GetWaiting().AsDuration(),
		Patient:  in.GetPatient(),
	}
}

// EncodeYieldPermit makes a protobuf message of a YieldPermit.
func EncodeYieldPermit(y ports.YieldPermit) *peerv1.YieldPermitRequest {
	return &peerv1.YieldPermitRequest{
		Resource: y.Resource,
		Shard:    y.Shard,
		Wanted:   int32(y.Wanted),
		Waiting:  durationpb.New(y.Waiting),
		Patient:  y.Patient,
	}
}

// DecodeTargetNews reads a TargetNews.
func DecodeTargetNews(in *peerv1.TargetNewsRequest) ports.TargetNews {
	return ports.TargetNews{
		Target:  in.GetTarget(),
		Leaving: in.GetLeaving(),
		Failing: in.GetFailing(),
		Drain:   ports.DrainMark(in.GetDrain()),
	}
}

// EncodeTargetNews makes a protobuf message of a TargetNews.
func EncodeTargetNews(n ports.TargetNews) *peerv1.TargetNewsRequest {
	return &peerv1.TargetNewsRequest{
		Target:  n.Target,
		Leaving: n.Leaving,
		Failing: n.Failing,
		Drain:   string(n.Drain),
	}
}

// DecodeHandOver reads a HandOver.
func DecodeHandOver(in *peerv1.HandOverRequest) ports.HandOver {
	return ports.HandOver{Shards: DecodeShards(in.GetShards()), From: in.GetFrom()}
}

// EncodeHandOver makes a protobuf message of a HandOver.
func EncodeHandOver(h ports.HandOver) *peerv1.HandOverRequest {
	return &peerv1.HandOverRequest{Shards: EncodeShards(h.Shards), From: h.From}
}
