package once

import (
	"fmt"
	"math"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// depthMost bounds how often a bucket and what came of it can be split.
const depthMost = 16

// entriesAssumed is the number of entries before the first news of them.
const entriesAssumed = 8

// A bucket that has grown is split in two, for good. Entries learn of it at
// different times, and a claim must never be granted by one that looks in the old
// place while another looks in the new one. The split is therefore written into
// the old bucket itself, by the same compare-and-swap as every claim:
//
//  1. The old bucket is written once more, with its records and a mark. From then
//     on nobody adds to it: a claim that was under way fails for its revision, and
//     its conflict shows the mark.
//  2. Whoever needs one of the halves and does not find it creates it, with the
//     records of its half. All who try would write the same, since the marked
//     bucket does not change, and only the first creation takes effect.
//  3. The entry that set the mark creates both halves in any case, and then empties
//     the marked bucket to the mark alone. Who reads that finds the halves.
//
// For example e1 marks bucket 3 while e2, which holds it at an older revision,
// claims key k in it. Either e2's write comes first: then e1's fails, e1 reads k and
// marks the bucket with k in it. Or it comes second and fails: then e2 claims k in
// the half, where e1 looks as well.
//
// Halves are never deleted and buckets never joined, which would need the same
// care in the other direction; a half that is empty costs a key and no calls.

// half returns which half of a split bucket holds a record.
func (b *bucket) half(id string, roots int) *bucket {
	return b.halves[hashOf(id)/uint32(roots)>>b.depth&1]
}

// bucketOf returns the bucket that holds a record, as far as is known.
func (p *Part) bucketOf(id string) *bucket {
	b := p.buckets[int(hashOf(id))%len(p.buckets)]
	for b.halves[0] != nil {
		b = b.half(id, len(p.buckets))
	}
	return b
}

// leaves calls visit with every bucket that is not split.
func (p *Part) leaves(visit func(*bucket)) {
	for _, b := range p.buckets {
		b.leaves(visit)
	}
}

func (b *bucket) leaves(visit func(*bucket)) {
	if b.halves[0] == nil {
		visit(b)
		return
	}
	for _, half := range b.halves {
		half.leaves(visit)
	}
}

// outgrown tells whether a bucket is to be split before records are written to it.
// The mark goes beside what the bucket holds already, which must be something: a
// bucket with the mark alone says that its halves exist.
func (p *Part) outgrown(b *bucket, records map[string]*record) bool {
	return b.depth < depthMost && sizeOf(records) > p.settings.SplitBytes && len(b.records) > 1
}

// mark writes a bucket's last records with the mark that it is split. The ops wait
// for the halves.
func (p *Part) mark(b *bucket) {
	p.writes--
	b.writing, b.batch, b.marking = b.records, nil, true
	value := encodeBucket(b.records, true)
	p.kvCall(b, callWrite, ports.KVPut{Key: b.key, Value: value, Expect: b.revision})
}

// split hands everything that a bucket has over to its halves, once its mark was
// seen. Both are read before they are used.
func (p *Part) split(b *bucket) {
	for i := range b.halves {
		index := b.index | uint32(i)<<b.depth
		half := newBucket(fmt.Sprintf("%s-%d-%x", p.buckets[b.root].key, b.depth+1, index))
		half.root, half.depth, half.index, half.parent, half.mustRead = b.root, b.depth+1, index, b, true
		b.halves[i] = half
	}
	for id, r := range b.records {
		half := b.half(id, len(p.buckets))
		half.seed[id], half.records[id] = r, r
		half.seen[id] = b.seen[id]
	}
	for id, mine := range b.own {
		b.half(id, len(p.buckets)).own[id] = mine
	}
	for _, op := range b.ops {
		half := b.half(op.id, len(p.buckets))
		half.ops = append(half.ops, op)
	}
	for _, op := range b.held {
		half := b.half(op.id, len(p.buckets))
		half.held = append(half.held, op)
	}
	b.records, b.seen, b.own, b.ops, b.held = nil, nil, nil, nil, nil
	for _, half := range b.halves {
		half.due = b.marking
		p.enqueue(half)
	}
}

// noticed tells whether a bucket as it was just read is split, and if so splits
// it here too.
func (p *Part) noticed(b *bucket) bool {
	if b.marked {
		p.split(b)
		return true
	}
	b.marking = false
	if b.revision != 0 {
		p.found(b)
	}
	return false
}

// found notes that a bucket is there, and empties the split one that it came of
// once the other half is there too.
func (p *Part) found(b *bucket) {
	b.due = false
	parent := b.parent
	if parent == nil || !parent.marking || parent.halves[0].revision == 0 || parent.halves[1].revision == 0 {
		return
	}
	parent.emptying = true
	p.enqueue(parent)
}

// empty leaves the mark alone in a split bucket. If the write fails the records
// stay beside it, which does no harm.
func (p *Part) empty(b *bucket) {
	b.emptying, b.marking = false, false
	p.writes--
	p.kvCall(b, callWrite, ports.KVPut{Key: b.key, Value: encodeBucket(nil, true), Expect: b.revision})
}

func sizeOf(records map[string]*record) int {
	size := emptyBytes
	for _, r := range records {
		size += r.size()
	}
	return size
}

// share is what this entry may write a second: its part of what all entries
// together may.
func (p *Part) share() float64 {
	return p.settings.WritesPerSecond / float64(p.entries)
}

// countEntries estimates how many entries there are. Of another zone only a sample
// is known; where that is as large as samples are, the zone counts as large as the
// largest that is known, which is the own one or larger.
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

// burst is how many writes may follow each other at once.
func (p *Part) burst() float64 {
	return math.Max(1, math.Min(writeBurst, p.share()*writeBurstSeconds))
}
