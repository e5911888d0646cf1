package codec

import (
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// EncodeGossip makes a protobuf message of a Gossip.
func EncodeGossip(g ports.Gossip) *peerv1.GossipMessage {
	out := &peerv1.GossipMessage{From: encodeMember(g.From)}
	for _, m := range g.Members {
		out.Members = append(out.Members, encodeMember(m))
	}
	return out
}

// DecodeGossip reads a Gossip.
func DecodeGossip(in *peerv1.GossipMessage) (ports.Gossip, error) {
	from, err := decodeMember(in.GetFrom())
	if err != nil {
		return ports.Gossip{}, trace.Wrap(err, "sender")
	}
	g := ports.Gossip{From: from}
	for _, m := range in.GetMembers() {
		member, err := decodeMember(m)
		if err != nil {
			return ports.Gossip{}, trace.Wrap(err, "member %q", m.GetId())
		}
		g.Members = append(g.Members, member)
	}
	return g, nil
}

func encodeMember(m ports.Member) *peerv1.Member {
	return &peerv1.Member{
		Id:            m.ID,
		Incarnation:   m.Incarnation,
		Beat:          m.Beat,
		Zone:          m.Zone,
		Region:        m.Region,
		Addr:          m.Addr.String(),
		Phase:         string(m.Phase),
		ConfigVersion: uint64(m.ConfigVersion),
		Shards:        EncodeShards(m.Shards),
	}
}

func decodeMember(in *peerv1.Member) (ports.Member, error) {
	addr, err := netip.ParseAddrPort(in.GetAddr())
	if err != nil {
		return ports.Member{}, trace.BadParameter("address of a member: %v", err)
	}
	return ports.Member{
		ID:            in.GetId(),
		Incarnation:   in.GetIncarnation(),
		Beat:          in.GetBeat(),
		Zone:          in.GetZone(),
		Region:        in.GetRegion(),
		Addr:          addr,
		Phase:         ports.MemberPhase(in.GetPhase()),
		ConfigVersion: config.Version(in.GetConfigVersion()),
		Shards:        DecodeShards(in.GetShards()),
	}, nil
}

// EncodeConfigDelta makes a protobuf message of a ConfigDelta.
func EncodeConfigDelta(d ports.ConfigDelta) (*peerv1.FetchConfigResponse, error) {
	out := &peerv1.FetchConfigResponse{}
	if d.Snapshot != nil {
		data, err := json.Marshal(d.Snapshot)
		if err != nil {
			return nil, trace.Wrap(err, "encoding configuration %d", d.Snapshot.Version)
		}
		out.SnapshotJson = data
	}
	for _, p := range d.Patches {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, trace.Wrap(err, "encoding patch %q", p.ID)
		}
		out.PatchesJson = append(out.PatchesJson, data)
	}
	return out, nil
}

// DecodeConfigDelta reads a ConfigDelta.
func DecodeConfigDelta(in *peerv1.FetchConfigResponse) (ports.ConfigDelta, error) {
	var d ports.ConfigDelta
	if len(in.GetSnapshotJson()) > 0 {
		d.Snapshot = new(config.Config)
		if err := json.Unmarshal(in.GetSnapshotJson(), d.Snapshot); err != nil {
			return ports.ConfigDelta{}, trace.BadParameter("decoding a configuration: %v", err)
		}
	}
	for _, data := range in.GetPatchesJson() {
		var p config.Patch
		if err := json.Unmarshal(data, &p); err != nil {
			return ports.ConfigDelta{}, trace.BadParameter("decoding a patch: %v", err)
		}
		d.Patches = append(d.Patches, p)
	}
	return d, nil
}
