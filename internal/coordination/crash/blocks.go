package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBlocks limits the blocks that are kept. The oldest yields to a new one.
	maxBlocks = 256
	// liftedTTL is how long a lifted block is remembered, so that an instance that was
	// cut off does not bring it back.
	liftedTTL = 10 * time.Minute
)

// blockSet holds blocks by their keys. It is not safe for concurrent use.
type blockSet struct {
	blocks map[BlockKey]*Block
	// byPart holds the active blocks under the first of their parts.
	byPart map[Part][]*Block
}

func newBlockSet() blockSet {
	return blockSet{blocks: make(map[BlockKey]*Block), byPart: make(map[Part][]*Block)}
}

// find returns the active block that applies to a request, or nil.
func (s *blockSet) find(r *Request) *Block {
	if len(s.byPart) == 0 {
		return nil
	}
	for _, part := range r.Parts {
		for _, b := range s.byPart[part] {
			if b.covers(r) {
				return b
			}
		}
	}
	return nil
}

// merge takes a block from another instance unless what is known is as new. It reports
// whether anything has changed.
func (s *blockSet) merge(b Block, now time.Time) bool {
	have := s.blocks[b.BlockKey]
	if have != nil && (have.Revision > b.Revision || have.Revision == b.Revision && (have.Lifted || !b.Lifted)) {
		return false
	}
	b.since = now.Add(-time.Duration(b.AgeMS) * time.Millisecond)
	s.put(&b)
	return true
}

// put adds or replaces a block. A block that the new one makes needless is lifted.
func (s *blockSet) put(b *Block) {
	s.blocks[b.BlockKey] = b
	for key, have := range s.blocks {
		if b.IsActive() && key != b.BlockKey && have.IsActive() && b.includes(key) {
			have.Revision++
			have.Lifted = true
			have.since = b.since
		}
	}
	s.limit()
	s.index()
}

// lift ends a block and returns what it has become.
func (s *blockSet) lift(b *Block, now time.Time) *Block {
	lifted := *b
	lifted.Revision++
	lifted.Lifted, lifted.since = true, now
	s.put(&lifted)
	return &lifted
}

// limit removes the oldest blocks if there are too many, those that are lifted first.
func (s *blockSet) limit() {
	for len(s.blocks) > maxBlocks {
		oldest := slices.MinFunc(s.list(), func(x, y *Block) int {
			if x.Lifted != y.Lifted {
				return compareBool(y.Lifted, x.Lifted)
			}
			return x.since.Compare(y.since)
		})
		delete(s.blocks, oldest.BlockKey)
	}
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

func (s *blockSet) index() {
	clear(s.byPart)
	for _, b := range s.blocks {
		if b.IsActive() {
			first := b.parts()[0]
			s.byPart[first] = append(s.byPart[first], b)
		}
	}
}

// list returns all blocks in a stable order.
func (s *blockSet) list() []*Block {
	out := make([]*Block, 0, len(s.blocks))
	for _, b := range s.blocks {
		out = append(out, b)
	}
	slices.SortFunc(out, func(x, y *Block) int {
		return cmp.Or(x.since.Compare(y.since), cmp.Compare(x.Parts, y.Parts), cmp.Compare(x.Scope, y.Scope), cmp.Compare(x.Service, y.Service))
	})
	return out
}

// wire returns all blocks with their ages.
func (s *blockSet) wire(now time.Time) []Block {
	var out []Block
	for _, b := range s.list() {
		w := *b
		w.AgeMS = now.Sub(b.since).Milliseconds()
		out = append(out, w)
	}
	return out
}

// active returns the number of active blocks.
func (s *blockSet) active() int {
	n := 0
	for _, b := range s.blocks {
		if b.IsActive() {
			n++
		}
	}
	return n
}

// prune forgets blocks that were lifted long ago.
func (s *blockSet) prune(now time.Time) {
	for key, b := range s.blocks {
		if b.Lifted && now.Sub(b.since) > liftedTTL {
			delete(s.blocks, key)
		}
	}
}
