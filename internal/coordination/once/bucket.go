package once

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// opKind says what an op does to a record.
type opKind uint8

const (
	opClaim opKind = iota
	opEnd
	opRelease
)

// op is a change that waits to be written.
type op struct {
	kind   opKind
	id     string
	record *record
	// asked and due belong to a claim; due is the latest time for its answer.
	asked     uint64
	due       time.Time
	withoutKV bool
	// runs is the verdict that the call runs at another entry, heldUntil how long
	// the claim waits for its end, and pause the time between two looks.
	runs      *Verdict
	heldUntil time.Time
	pause     time.Duration
	// inDoubt means that a write which holds it may have taken effect.
	inDoubt bool
	// answered means that nobody waits for this claim any more.
	answered bool
}

// ownPhase is where a call of this entry stands.
type ownPhase uint8

const (
	ownClaiming ownPhase = iota
	ownRunning
	ownEnded
)

// own is a call of this entry whose end is not written yet.
type own struct {
	record *record
	phase  ownPhase
}

// sighting is since when this entry has seen a record as it is.
type sighting struct {
	nonce uint64
	ended bool
	since time.Time
}

// bucket is one KV value of records.
type bucket struct {
	key string
	// root is the first bucket that this one came of by splits, depth their number
	// and index which of the parts it is.
	root, depth int
	index       uint32
	parent      *bucket
	// halves are what it was split into, nil before that.
	halves [2]*bucket
	// seed are the records to create it with if it is not there yet.
	seed map[string]*record
	// due means that it is to be created even if nothing waits for it.
	due bool
	// marked means that the KV service shows it split, marking that this entry has
	// set the mark, and emptying that its records are to be taken out.
	marked, marking, emptying bool
	// emptied means that it was seen with the mark alone, so that the halves exist.
	emptied bool

	revision ports.Revision
	records  map[string]*record
	seen     map[string]sighting
	own      map[string]*own
	ops      []*op
	// held are claims whose calls run elsewhere; they are judged anew soon.
	held []*op
	// writing is what the write under way will have made of records, batch the
	// ops in it.
	writing map[string]*record
	batch   []*op
	busy    bool
	queued  bool
	waking  bool
	// fresh means that records were read with nothing written since.
	fresh bool
	// mustRead means that the next call has to be a read.
	mustRead bool
	// contended means that other entries write here as well, so that the
	// records last seen are most likely old: a read, which is cheap, comes
	// before the write, which is not.
	contended bool
	notBefore time.Time
	failures  int
}

func newBucket(key string) *bucket {
	return &bucket{
		key: key, records: make(map[string]*record),
		seen: make(map[string]sighting), own: make(map[string]*own), seed: make(map[string]*record),
	}
}

// claims returns the claims that wait for an answer.
func (b *bucket) claims() []*op {
	var claims []*op
	for _, op := range b.ops {
		if op.kind == opClaim && !op.answered {
			claims = append(claims, op)
		}
	}
	return claims
}

// adopt takes records as the KV service holds them.
func (b *bucket) adopt(records map[string]*record, revision ports.Revision, now time.Time) {
	b.records = records
	b.revision = revision
	for id := range b.seen {
		if records[id] == nil {
			delete(b.seen, id)
		}
	}
	for id, r := range records {
		s, ok := b.seen[id]
		if !ok || s.nonce != r.Nonce || s.ended != r.ended() {
			b.seen[id] = sighting{nonce: r.Nonce, ended: r.ended(), since: now}
		}
	}
}

// load reads the bucket out of a reply; a value that can't be read is an error
// and changes nothing.
func (b *bucket) load(reply ports.KVReply, now time.Time) error {
	item, ok := reply.Item()
	if !ok {
		return b.begin(now)
	}
	records, split, err := decodeBucket(item.Value, b.records)
	if err != nil {
		return err
	}
	b.adopt(records, item.Revision, now)
	b.marked = split
	b.emptied = split && len(records) == 0
	return nil
}

// begin takes the records of a bucket that is not there. A half that has to be
// there has been lost, so that what ran is not known.
func (b *bucket) begin(now time.Time) error {
	if b.parent != nil && (b.parent.emptied || b.revision != 0) {
		return trace.Errorf("claims %s are gone", b.key)
	}
	b.adopt(maps.Clone(b.seed), 0, now)
	return nil
}

// age is how long a record was seen as it is.
func (b *bucket) age(id string, now time.Time) time.Duration {
	s, ok := b.seen[id]
	if !ok {
		return 0
	}
	return now.Sub(s.since)
}

// trim removes the records that were kept long enough: an ended one for the
// retention, one that never ended for its own time on top of that, so that who
// claimed it can't send it any more.
func (b *bucket) trim(records map[string]*record, retention time.Duration, now time.Time) bool {
	trimmed := false
	for id, r := range records {
		keep := retention
		if !r.ended() {
			keep += r.Within + claimMargin
		}
		if b.own[id] == nil && b.age(id, now) > keep {
			delete(records, id)
			trimmed = true
		}
	}
	return trimmed
}

// makeRoom drops kept bodies, those seen longest first, until the records fit;
// it returns false if they do not fit without any.
func (b *bucket) makeRoom(records map[string]*record, limit int) bool {
	size := sizeOf(records)
	if size <= limit {
		return true
	}
	ids := slices.Collect(maps.Keys(records))
	slices.SortFunc(ids, func(x, y string) int {
		if c := b.seen[x].since.Compare(b.seen[y].since); c != 0 {
			return c
		}
		if x < y {
			return -1
		}
		return 1
	})
	for _, id := range ids {
		r := records[id]
		if r.Outcome == nil || !r.Outcome.BodyKept {
			continue
		}
		slim := r.withoutBody()
		size -= r.size() - slim.size()
		records[id] = slim
		if size <= limit {
			return true
		}
	}
	return false
}
