package dedup

import (
	"fmt"
	"math"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// maxSplitDepth limits how many times a bucket and its descendants can be split.
const maxSplitDepth = 16

// assumedEntries is the number of entries assumed before the first MembersChanged.
const assumedEntries = 8

// A bucket that has grown too large is split in two permanently. Entries learn of the
// split at different times, and it must never happen that one entry grants a claim in the
// old bucket while another looks for it in a new one. The split is therefore recorded in
// the old bucket itself, by the same compare-and-swap as every claim:
//
//  1. The old bucket is written once more, with its records and a split mark. From then
//     on nobody adds to it: a claim being written fails because of its old revision,
//     and the reply to the conflict shows the mark.
//  2. An entry that needs one of the children and does not find it creates it, with the
//     records that belong there. All entries that try write the same value, since the
//     marked bucket does not change, and only the first creation takes effect.
//  3. The entry that set the mark creates both children in any case, and then removes
//     the records from the marked bucket. An entry that reads the mark alone knows that
//     the children exist.
//
// For example, e1 marks bucket 3 while e2, which has an older revision of it, claims key
// k in it. If e2's write comes first, e1's write fails; e1 then reads k and marks the
// bucket with k in it. If e2's write comes second, it fails, and e2 claims k in the
// child, which e1 uses as well.
//
// Children are never deleted and buckets never merged, which would need the same care in
// the other direction; an empty child costs one key and no calls.

// child returns the child of a split bucket that holds a record.
func (b *bucket) child(id string, roots int) *bucket {
	return b.children[hashOf(id)/uint32(roots)>>b.depth&1]
}

// bucketOf returns the bucket that holds a record, according to the splits known here.
func (p *Part) bucketOf(id string) *bucket {
	b := p.buckets[int(hashOf(id))%len(p.buckets)]
	for b.children[0] != nil {
		b = b.child(id, len(p.buckets))
	}
	return b
}

// visitLeaves calls visit with every bucket that is not split.
func (p *Part) visitLeaves(visit func(*bucket)) {
	for _, b := range p.buckets {
		b.leaves(visit)
	}
}

func (b *bucket) leaves(visit func(*bucket)) {
	if b.children[0] == nil {
		visit(b)
		return
	}
	for _, half := range b.children {
		half.leaves(visit)
	}
}

// needsSplit reports whether a bucket has to be split before records are written to it.
// The bucket must already hold records beside which the mark is written, since a value
// with the mark alone means that the children exist.
func (p *Part) needsSplit(b *bucket, records map[string]*record) bool {
	return b.depth < maxSplitDepth && encodedSize(records) > p.settings.SplitBytes && len(b.records) > 1
}

// writeSplitMark writes a bucket's records together with the split mark. The pending
// operations wait for the children.
func (p *Part) writeSplitMark(b *bucket) {
	p.writeTokens--
	b.inFlightRecords, b.inFlightOps, b.isSplitting = b.records, nil, true
	value := encodeBucket(b.records, true)
	p.startKVCall(b, awaitWrite, ports.KVPut{Key: b.key, Value: value, Expect: b.revision})
}

// split moves the state of a bucket to its children once its split mark has been seen.
// Both children are read before they are used.
func (p *Part) split(b *bucket) {
	for i := range b.children {
		index := b.index | uint32(i)<<b.depth
		half := newBucket(fmt.Sprintf("%s-%d-%x", p.buckets[b.root].key, b.depth+1, index))
		half.root, half.depth, half.index, half.parent, half.mustRead = b.root, b.depth+1, index, b, true
		b.children[i] = half
	}
	for id, r := range b.records {
		half := b.child(id, len(p.buckets))
		half.initialRecords[id], half.records[id] = r, r
		half.observations[id] = b.observations[id]
	}
	for id, local := range b.localCalls {
		b.child(id, len(p.buckets)).localCalls[id] = local
	}
	for _, op := range b.ops {
		half := b.child(op.id, len(p.buckets))
		half.ops = append(half.ops, op)
	}
	for _, op := range b.heldClaims {
		half := b.child(op.id, len(p.buckets))
		half.heldClaims = append(half.heldClaims, op)
	}
	b.records, b.observations, b.localCalls, b.ops, b.heldClaims = nil, nil, nil, nil, nil
	for _, half := range b.children {
		half.mustCreate = b.isSplitting
		p.enqueueBucket(half)
	}
}

// splitIfMarked splits a bucket if the value just read has the split mark, and reports
// whether it does.
func (p *Part) splitIfMarked(b *bucket) bool {
	if b.isSplit {
		p.split(b)
		return true
	}
	b.isSplitting = false
	if b.revision != 0 {
		p.noteCreated(b)
	}
	return false
}

// noteCreated records that a bucket exists. If both children of the parent exist now and
// this entry is the one that split it, the parent's records are to be removed.
func (p *Part) noteCreated(b *bucket) {
	b.mustCreate = false
	parent := b.parent
	if parent == nil || !parent.isSplitting || parent.children[0].revision == 0 || parent.children[1].revision == 0 {
		return
	}
	parent.mustClear = true
	p.enqueueBucket(parent)
}

// clearSplitBucket writes the split mark without records. If the write fails, the records
// remain beside the mark, which does no harm.
func (p *Part) clearSplitBucket(b *bucket) {
	b.mustClear, b.isSplitting = false, false
	p.writeTokens--
	p.startKVCall(b, awaitWrite, ports.KVPut{Key: b.key, Value: encodeBucket(nil, true), Expect: b.revision})
}

func encodedSize(records map[string]*record) int {
	size := bucketOverhead
	for _, r := range records {
		size += r.size()
	}
	return size
}

// writeRate returns the number of writes per second that this entry may make: an equal
// share of the limit for all entries.
func (p *Part) writeRate() float64 {
	return p.settings.WritesPerSecond / float64(p.entryCount)
}

// countEntries estimates the number of entries. Only a sample of each other zone is
// known; a zone with a full sample is taken to be as large as the largest known zone,
// which is this entry's own zone or larger.
func countEntries(members []ports.Member) int {
	zones := make(map[string]int)
	for _, m := range members {
		if m.Phase != ports.MemberGone {
			zones[m.Zone]++
		}
	}
	largest, sum := 0, 0
	for _, n := range zones {
		largest = max(largest, n)
	}
	for _, n := range zones {
		if n >= member.SampleSize {
			n = largest
		}
		sum += n
	}
	return max(sum, 1)
}

// writeBurst returns the capacity of the token bucket for writes.
func (p *Part) writeBurst() float64 {
	return math.Max(1, math.Min(maxWriteBurst, p.writeRate()*maxBurstSeconds))
}
