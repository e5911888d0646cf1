package fleet

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// headerBytes is what the protocol between entries adds to a message on a
// connection that stays open.
const headerBytes = 100

// Traffic counts what an entry sends, answers included.
type Traffic struct {
	Messages int
	Bytes    int
	// ConfigBytes is the share of patches and whole configurations.
	ConfigBytes int
}

func (t *Traffic) count(msg any) {
	t.Messages++
	t.Bytes += headerBytes
	switch m := msg.(type) {
	case ports.Gossip:
		t.Bytes += gossipBytes(m)
	case ports.ConfigDelta:
		n := jsonBytes(m)
		t.Bytes += n
		t.ConfigBytes += n
	}
}

func gossipBytes(g ports.Gossip) int {
	message := &peerv1.GossipMessage{From: wireMember(g.From)}
	for _, m := range g.Members {
		message.Members = append(message.Members, wireMember(m))
	}
	return proto.Size(message)
}

func wireMember(m ports.Member) *peerv1.Member {
	w := &peerv1.Member{
		Id:            m.ID,
		Incarnation:   m.Incarnation,
		Beat:          m.Beat,
		Zone:          m.Zone,
		Region:        m.Region,
		Phase:         string(m.Phase),
		ConfigVersion: uint64(m.ConfigVersion),
	}
	if m.Addr.IsValid() {
		w.Addr = m.Addr.String()
	}
	for _, shard := range m.Shards {
		w.Shards = append(w.Shards, int32(shard))
	}
	return w
}

func jsonBytes(delta ports.ConfigDelta) int {
	n := 0
	if delta.Snapshot != nil {
		data, _ := json.Marshal(delta.Snapshot)
		n += len(data)
	}
	for _, patch := range delta.Patches {
		data, _ := json.Marshal(patch)
		n += len(data)
	}
	return n
}
