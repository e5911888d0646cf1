package dedup

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// opKind is the kind of change that an op makes to a record.
type opKind uint8

const (
	opClaim opKind = iota
	opEnd
	opRelease
)

// op is a change to a record that is not written yet.
type op struct {
	kind   opKind
	id     string
	record *record
	// requestID and deadline belong to a claim; deadline is the latest time for its
	// answer.
	requestID uint64
	deadline  time.Time
	withoutKV bool
	// inProgress is the decision on a claim whose call runs at another entry. Such a claim
	// is held until heldUntil at the latest, and evaluated again every holdDelay.
	inProgress *Decision
	heldUntil  time.Time
	holdDelay  time.Duration
	// maybeWritten means that a failed write that included this op may have taken effect.
	maybeWritten bool
	// answered means that the claim has its answer.
	answered bool
}

// callPhase is the state of a call of this entry.
type callPhase uint8

const (
	phaseClaiming callPhase = iota
	phaseRunning
	phaseEnded
)

// localCall is a call of this entry whose end is not written yet.
type localCall struct {
	record *record
	phase  callPhase
}

// observation is the time since which this entry has seen a record unchanged.
type observation struct {
	nonce uint64
	ended bool
	since time.Time
}

// bucket is one KV value that holds records.
type bucket struct {
	key string
	// root is the index of the original bucket that this one descends from, depth the
	// number of splits in between, and index its position among the buckets of that
	// depth.
	root, depth int
	index       uint32
	parent      *bucket
	// children are the two buckets that it was split into, nil before the split.
	children [2]*bucket
	// initialRecords are the records to create the bucket with if it does not exist yet.
	initialRecords map[string]*record
	// mustCreate means that the bucket is created even if it has no pending operations.
	mustCreate bool
	// isSplit means that the stored value has the split mark, isSplitting that this entry
	// sets the mark, and mustClear that the records beside the mark are to be
	// removed.
	isSplit, isSplitting, mustClear bool
	// isCleared means that the stored value holds the split mark alone, which implies
	// that both children exist.
	isCleared bool

	revision     ports.Revision
	records      map[string]*record
	observations map[string]observation
	localCalls   map[string]*localCall
	ops          []*op
	// heldClaims are claims whose calls run at other entries; each is evaluated again
	// when its timer fires.
	heldClaims []*op
	// inFlightRecords are the records that the current write stores, inFlightOps the
	// operations included in it.
	inFlightRecords map[string]*record
	inFlightOps     []*op
	busy            bool
	queued          bool
	hasWakeTimer    bool
	// fresh means that the records were just read and nothing has been written since.
	fresh bool
	// mustRead means that the next KV call has to be a read.
	mustRead bool
	// contended means that other entries write to this bucket too, so that the records
	// last seen are probably outdated. It is then read before it is written, since a read
	// is cheap and a failed write is not.
	contended bool
	notBefore time.Time
	failures  int
}

func newBucket(key string) *bucket {
	return &bucket{
		key: key, records: make(map[string]*record),
		observations: make(map[string]observation), localCalls: make(map[string]*localCall),
		initialRecords: make(map[string]*record),
	}
}

// unansweredClaims returns the claims that are not answered yet.
func (b *bucket) unansweredClaims() []*op {
	var claims []*op
	for _, op := range b.ops {
		if op.kind == opClaim && !op.answered {
			claims = append(claims, op)
		}
	}
	return claims
}

// setRecords replaces the records with those that the KV service holds.
func (b *bucket) setRecords(records map[string]*record, revision ports.Revision, now time.Time) {
	b.records = records
	b.revision = revision
	for id := range b.observations {
		if records[id] == nil {
			delete(b.observations, id)
		}
	}
	for id, r := range records {
		s, ok := b.observations[id]
		if !ok || s.nonce != r.Nonce || s.ended != r.hasEnded() {
			b.observations[id] = observation{nonce: r.Nonce, ended: r.hasEnded(), since: now}
		}
	}
}

// load decodes the bucket from a reply. If the value cannot be decoded, it returns an
// error and leaves the bucket as it is.
func (b *bucket) load(reply ports.KVReply, now time.Time) error {
	item, ok := reply.Item()
	if !ok {
		return b.loadMissing(now)
	}
	records, split, err := decodeBucket(item.Value, b.records)
	if err != nil {
		return err
	}
	b.setRecords(records, item.Revision, now)
	b.isSplit = split
	b.isCleared = split && len(records) == 0
	return nil
}

// loadMissing sets the records of a bucket that the KV service does not hold. It returns
// an error if the bucket existed before, since it is then unknown which calls ran.
func (b *bucket) loadMissing(now time.Time) error {
	if b.parent != nil && (b.parent.isCleared || b.revision != 0) {
		return trace.Errorf("claim bucket %s is missing although it was stored before", b.key)
	}
	b.setRecords(maps.Clone(b.initialRecords), 0, now)
	return nil
}

// age returns how long this entry has seen a record unchanged.
func (b *bucket) age(id string, now time.Time) time.Duration {
	s, ok := b.observations[id]
	if !ok {
		return 0
	}
	return now.Sub(s.since)
}

// dropExpired removes expired records and reports whether there were any. A record of an
// ended call expires after the retention. One of a call that never ended is kept for the
// call's time limit in addition, so that the entry that claimed it can no longer send it.
func (b *bucket) dropExpired(records map[string]*record, retention time.Duration, now time.Time) bool {
	dropped := false
	for id, r := range records {
		keep := retention
		if !r.hasEnded() {
			keep += r.TimeLeft + claimMargin
		}
		if b.localCalls[id] == nil && b.age(id, now) > keep {
			delete(records, id)
			dropped = true
		}
	}
	return dropped
}

// shrinkToFit drops stored bodies, starting with those seen longest, until the records
// fit the limit; it returns false if they exceed it even without bodies.
func (b *bucket) shrinkToFit(records map[string]*record, limit int) bool {
	size := encodedSize(records)
	if size <= limit {
		return true
	}
	ids := slices.Collect(maps.Keys(records))
	slices.SortFunc(ids, func(x, y string) int {
		if c := b.observations[x].since.Compare(b.observations[y].since); c != 0 {
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
		stripped := r.withoutBody()
		size -= r.size() - stripped.size()
		records[id] = stripped
		if size <= limit {
			return true
		}
	}
	return false
}
