package codec

import (
	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// EncodeTellCounts makes a protobuf message of a TellCounts.
func EncodeTellCounts(t ports.TellCounts) *peerv1.TellCountsRequest {
	out := &peerv1.TellCountsRequest{
		Origin: &peerv1.CountOrigin{
			Instance:    t.Origin.Instance,
			Incarnation: t.Origin.Incarnation,
			Zone:        t.Origin.Zone,
			Nonce:       t.Origin.Nonce,
		},
		Seq:   t.Seq,
		Whole: t.Whole,
		Exact: t.Exact,
	}
	for _, c := range t.Counts {
		out.Counts = append(out.Counts, &peerv1.ToldCount{Id: c.ID, Total: c.Total, Key: encodeCountKey(c.Key)})
	}
	return out
}

// DecodeTellCounts reads a TellCounts.
func DecodeTellCounts(in *peerv1.TellCountsRequest) ports.TellCounts {
	origin := in.GetOrigin()
	t := ports.TellCounts{
		Origin: ports.CountOrigin{
			Instance:    origin.GetInstance(),
			Incarnation: origin.GetIncarnation(),
			Zone:        origin.GetZone(),
			Nonce:       origin.GetNonce(),
		},
		Seq:   in.GetSeq(),
		Whole: in.GetWhole(),
		Exact: in.GetExact(),
	}
	for _, c := range in.GetCounts() {
		t.Counts = append(t.Counts, ports.ToldCount{ID: c.GetId(), Total: c.GetTotal(), Key: decodeCountKey(c.GetKey())})
	}
	return t
}

func encodeCountKey(k *ports.CountKey) *peerv1.CountKey {
	if k == nil {
		return nil
	}
	return &peerv1.CountKey{
		Date:    k.Date,
		Kind:    k.Kind,
		Service: k.Service,
		Class:   string(k.Class),
		Reason:  k.Reason,
		NotRun:  k.NotRun,
	}
}

func decodeCountKey(in *peerv1.CountKey) *ports.CountKey {
	if in == nil {
		return nil
	}
	return &ports.CountKey{
		Date:    in.GetDate(),
		Kind:    in.GetKind(),
		Service: in.GetService(),
		Class:   config.Class(in.GetClass()),
		Reason:  in.GetReason(),
		NotRun:  in.GetNotRun(),
	}
}
