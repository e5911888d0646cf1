package crash

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Judge blocks the parts against which there is enough evidence, and returns the new
// blocks. targets returns the number of targets of a service. Instances that have been
// asked for proofs have had their say after answerTime.
func (d *Detector) Judge(now time.Time, answerTime time.Duration, targets func(service string) int) []Block {
	if now.Sub(d.judgedAt) < judgeInterval {
		return nil
	}
	d.judgedAt, d.settledAt = now, now.Add(-settleTime)
	d.prune(now)
	var out []Block
	for {
		b := d.convict(now, answerTime, targets)
		if b == nil {
			return out
		}
		b.since = now
		d.blocks.put(b)
		d.version++
		out = append(out, *b)
	}
}

// candidate is a subject with enough evidence against it.
type candidate struct {
	Subject
	*suspect
	// bits is the evidence, chain the number of ends that it is from.
	bits  float64
	chain int
	// score is bits less what a popular part gets for nothing: what crashes a target needs
	// one request for that, and what is only popular has many in flight there.
	score float64
}

// compareCandidates orders candidates by descending score, of the same score the one with
// the widest scope first.
func compareCandidates(x, y candidate) int {
	return cmp.Or(
		cmp.Compare(y.score, x.score), cmp.Compare(len(x.Scope), len(y.Scope)),
		cmp.Compare(x.Scope, y.Scope), cmp.Compare(x.Part, y.Part), cmp.Compare(x.Service, y.Service),
	)
}

// convict returns a block of the subject that best explains the ends of targets, nil if
// there is none that explains them better than any other.
func (d *Detector) convict(now time.Time, answerTime time.Duration, targets func(string) int) *Block {
	listed := d.listSuspects(now, targets)
	for _, c := range listed {
		if c.chain < d.chain || !c.isProven(now, answerTime, targets(c.Service)) {
			continue
		}
		if w := d.widest(c, listed, now, answerTime, targets(c.Service)); w != nil {
			c = *w
		}
		members := d.members(c)
		key := newBlockKey(c.Service, c.Scope, members)
		if d.isBlocked(key) || !d.isTellingMore(c) ||
			slices.ContainsFunc(listed, func(o candidate) bool { return d.isRivalled(c, o) }) {
			continue
		}
		b := &Block{BlockKey: key, Revision: 1, Ends: len(c.links)}
		if had := d.blocks.blocks[key]; had != nil {
			b.Revision, b.Trials = had.Revision+1, had.Trials
		}
		d.explain(c, members)
		return b
	}
	return nil
}

// widest returns the candidate of the widest scope that is proven too, that no target has
// ever survived and that explains all ends that c explains; nil if there is none. The
// narrower scope has fewer requests in flight at each end, which says nothing about the
// models in which the part has not been survived.
func (d *Detector) widest(c candidate, listed []candidate, now time.Time, answerTime time.Duration, targets int) *candidate {
	var best *candidate
	for i := range listed {
		w := &listed[i]
		if w.Service != c.Service || w.Part != c.Part || len(w.Scope) >= len(c.Scope) || w.isFamiliar() {
			continue
		}
		if w.chain < d.chain || !w.isProven(now, answerTime, targets) || !d.includesEnds(w.suspect, c.suspect) {
			continue
		}
		if best == nil || len(w.Scope) < len(best.Scope) {
			best = w
		}
	}
	return best
}

// isProven reports whether there is enough evidence to block a candidate, and instances
// have had the time to disprove it.
func (c *candidate) isProven(now time.Time, answerTime time.Duration, targets int) bool {
	needed, wait := threshold(targets), answerTime
	if c.isFamiliar() {
		needed, wait = needed+familiarBits, familiarFactor*wait
	}
	return c.bits >= needed && now.Sub(c.publishedAt) >= wait
}

// isRivalled reports whether a part of other requests explains the same ends at least as
// well. The next end tells them apart. For a part that targets have survived before, it is
// enough that a part of only some of its requests explains half of the ends.
func (d *Detector) isRivalled(c, o candidate) bool {
	if o.Service != c.Service || o.Part == c.Part || slices.Contains(c.common, o.Part) {
		return false
	}
	if c.isFamiliar() && slices.Contains(o.common, c.Part) && 2*d.countShared(o.suspect, c.suspect) >= d.countShared(c.suspect, c.suspect) {
		return true
	}
	return (c.isFamiliar() || !o.isFamiliar()) && d.includesEnds(o.suspect, c.suspect)
}

// listSuspects decides of which subjects instances are asked for proofs: those that may
// soon be candidates. No others may be judged.
func (d *Detector) listSuspects(now time.Time, targets func(string) int) []candidate {
	var all []candidate
	for s, have := range d.subjects {
		if len(have.links) < suspectChain {
			have.publishedAt = time.Time{}
			continue
		}
		bits, chain := d.evidence(s.Service, have, targets(s.Service))
		if chain < suspectChain {
			have.publishedAt = time.Time{}
			continue
		}
		all = append(all, candidate{s, have, bits, chain, bits - footprintWeight*math.Log2(have.footprint())})
	}
	slices.SortFunc(all, compareCandidates)
	listed := all[:min(len(all), maxSuspects)]
	for _, c := range all[len(listed):] {
		c.publishedAt = time.Time{}
	}
	d.suspects, d.guarded = nil, nil
	for _, c := range listed {
		if c.chain >= d.chain && c.Scope == "" && !c.isFamiliar() && c.bits+leastBits >= threshold(targets(c.Service)) {
			d.guarded = append(d.guarded, c.Subject)
		}
		if c.publishedAt.IsZero() {
			c.publishedAt = now
		}
		d.suspects = append(d.suspects, c.Subject)
	}
	return listed
}

// threshold returns the evidence that blocks, in bits, given the number of targets.
func threshold(targets int) float64 {
	return min(blockBits, blockEnds*math.Log2(float64(max(targets, minTargets))))
}

// evidence returns the evidence against a subject in bits, and the number of ends it is
// from. Of ends only those count that began after the one before: a request must have been
// sent after the end before, since all that are in flight when targets end together are
// accused at once. An end counts the less the more other targets ended with it, and the
// more requests with the part were in flight there.
func (d *Detector) evidence(service string, s *suspect, total int) (bits float64, chain int) {
	ends := make([]*end, 0, len(s.links))
	for e := range s.links {
		if !e.at.After(d.settledAt) {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(x, y *end) int { return x.at.Compare(y.at) })
	seen := make(map[string]bool)
	var last time.Time
	for _, e := range ends {
		l := s.links[e]
		if l.sent.Before(last) {
			continue
		}
		others := d.endedTogether(service, e) - s.linkedTogether(e)
		chances := float64(others) + math.Sqrt(float64(l.requests))
		gain := max(math.Log2(float64(max(total, minTargets))/chances), 0)
		if others == 0 {
			gain = max(gain, leastBits)
		}
		if seen[e.target.ID] {
			gain = min(gain, repeatBits)
		}
		seen[e.target.ID] = true
		bits += gain
		chain++
		last = e.at
	}
	return bits, chain
}

// endedTogether returns the number of targets that ended about when one did, itself
// included.
func (d *Detector) endedTogether(service string, e *end) int {
	n := 0
	for _, o := range d.ends[service] {
		if o.at.Sub(e.at).Abs() <= togetherTime {
			n++
		}
	}
	return n
}

// footprint returns the number of accused requests for each end.
func (s *suspect) footprint() float64 {
	n := 0
	for _, l := range s.links {
		n += l.requests
	}
	return float64(n) / float64(len(s.links))
}

func (s *suspect) linkedTogether(e *end) int {
	n := 0
	for o := range s.links {
		if o.at.Sub(e.at).Abs() <= togetherTime {
			n++
		}
	}
	return n
}

// members returns the parts that cannot be told apart from a candidate: all of its
// requests had them, and they are accused of the same ends.
func (d *Detector) members(c candidate) []Part {
	out := []Part{c.Part}
	for _, p := range c.common {
		other := d.subjects[Subject{c.Service, p, c.Scope}]
		if p != c.Part && other != nil && d.includesEnds(other, c.suspect) && d.includesEnds(c.suspect, other) {
			out = append(out, p)
		}
	}
	return out
}

// includesEnds reports whether s is accused of all settled ends that o is accused of.
func (d *Detector) includesEnds(s, o *suspect) bool {
	return d.countShared(s, o) == d.countShared(o, o)
}

// countShared returns the number of settled ends that both are accused of.
func (d *Detector) countShared(s, o *suspect) int {
	n := 0
	for e := range o.links {
		if _, ok := s.links[e]; ok && !e.at.After(d.settledAt) {
			n++
		}
	}
	return n
}

// isFamiliar reports whether targets have survived the subject before.
func (s *suspect) isFamiliar() bool { return !s.provedAt.IsZero() }

// isBlocked reports whether a block is in force already that applies to all that a new one
// would apply to.
func (d *Detector) isBlocked(key BlockKey) bool {
	for _, b := range d.blocks.blocks {
		if b.IsActive() && b.includes(key) {
			return true
		}
	}
	return false
}

// isTellingMore reports whether a candidate is accused of more than what a block explains
// that it is one of several parts of. Only requests without the other parts tell them
// apart.
func (d *Detector) isTellingMore(c candidate) bool {
	var since time.Time
	for key, b := range d.blocks.blocks {
		if b.IsActive() && key.Service == c.Service && slices.Contains(key.parts(), c.Part) {
			since = timer.Later(since, b.since)
		}
	}
	if since.IsZero() {
		return true
	}
	n := 0
	for e := range c.links {
		if e.at.After(since) {
			n++
		}
	}
	return n >= suspectChain
}

// explain clears others of the ends that a convicted subject explains: what was in flight
// there besides has no part in them. So are members that targets have survived before. The
// other members stay suspects, as one of them may be deadly without the others.
func (d *Detector) explain(c candidate, members []Part) {
	for s, have := range d.subjects {
		if s.Service != c.Service || slices.Contains(members, s.Part) && (s.Part == c.Part || !have.isFamiliar()) {
			continue
		}
		have.unlink(func(e *end) bool {
			_, ok := c.links[e]
			return ok
		})
	}
}
