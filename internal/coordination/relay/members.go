package relay

import (
	"net/netip"
	"slices"
	"strconv"

	"chivecroft.example/chivecroft/internal/state/rank"
)

// Child is an instance that sends its messages to a relay. Zone, Peer and Cores are its
// availability zone, peer address and processor time; a child that the relay knows omits
// them.
type Child struct {
	Name  string         `json:"name"`
	Zone  string         `json:"zone,omitempty"`
	Peer  netip.AddrPort `json:"peer,omitzero"`
	Cores float64        `json:"cores,omitempty"`
}

// Children names the children of a relay. List is empty if the holder has it already.
type Children struct {
	Hash uint64  `json:"hash"`
	List []Child `json:"list,omitempty"`
}

// NameChildren returns what a relay tells the holder of its children, given the hash of
// the list that the holder has. It returns nil if there are none and the holder knows that.
func NameChildren(live []Child, known uint64) *Children {
	if len(live) == 0 && known == 0 {
		return nil
	}
	out := &Children{Hash: hashOf(live)}
	if out.Hash != known {
		out.List = live
	}
	return out
}

// hashOf returns a hash of a list of children, 0 for an empty one.
func hashOf(list []Child) uint64 {
	var h uint64
	for _, c := range list {
		h += rank.Hash(c.Name + "\x00" + c.Zone + "\x00" + c.Peer.String() + "\x00" + strconv.FormatFloat(c.Cores, 'g', -1, 64))
	}
	return h
}

// Tree is what the holder knows of the relays' children. It is not safe for concurrent
// use.
type Tree struct{ relays map[string]*Children }

// NewTree returns a Tree without relays.
func NewTree() *Tree { return &Tree{relays: make(map[string]*Children)} }

// IsEmpty reports whether there are no relays with children.
func (t *Tree) IsEmpty() bool { return len(t.relays) == 0 }

// Put records what a relay tells of its children. It returns the children that are alive,
// and the hash that the relay is to be told; it names all of them again if that is not
// theirs.
func (t *Tree) Put(from string, c *Children) (alive []Child, known uint64) {
	if c == nil {
		delete(t.relays, from)
		return nil, 0
	}
	have := t.relays[from]
	if have == nil || have.Hash != c.Hash {
		if hashOf(c.List) != c.Hash {
			return nil, 0
		}
		have = &Children{Hash: c.Hash, List: slices.Clone(c.List)}
		t.relays[from] = have
	}
	return have.List, have.Hash
}

// Remove forgets a relay that is gone.
func (t *Tree) Remove(relay string) { delete(t.relays, relay) }
