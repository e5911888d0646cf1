package crash

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// evidenceTTL is how long accusations count.
	evidenceTTL = 5 * time.Minute
	// maxSubjects limits the accused subjects that are kept. Those with one accusation
	// yield to others.
	maxSubjects = 1 << 15
	// maxEnds limits the ends of targets that are kept.
	maxEnds = 1024
	// maxSuspects limits the subjects of which instances are asked for proofs.
	maxSuspects = 128
	// togetherTime is the time within which targets count as having ended together.
	togetherTime = 250 * time.Millisecond
	// blockBits is the evidence that blocks a part, in bits: how unlikely it is that its
	// requests were at targets that ended by chance.
	blockBits = 9
	// blockEnds is the number of ends, each of one target alone and with one request, that
	// lead to a block where there are few targets: there such an end has few bits, but there
	// are also few parts that could be accused by chance.
	blockEnds = 2.5
	// leastBits is the evidence of the end of a target alone, however many requests with
	// the part were in flight there.
	leastBits = 1
	// blockChain is the number of ends, one after the other, that lead to a block at the
	// least; aloneChain that for an instance that judges alone.
	blockChain = 3
	aloneChain = 4
	// familiarBits is how much more evidence it takes to block a part that targets have
	// survived before, familiarFactor by how much more time for proofs.
	familiarBits   = 2.5
	familiarFactor = 2
	// repeatBits limits the evidence of an end of a target that has ended before: it may
	// be the target that is at fault.
	repeatBits = 2
	// minTargets is the number of targets that is assumed where there are fewer.
	minTargets = 2
	// footprintWeight is the weight of the number of requests in flight at an end, in bits
	// for each doubling.
	footprintWeight = 2
	// suspectChain is the number of ends, one after the other, from which on instances
	// are asked for proofs.
	suspectChain = 2
	// trialTime is how long a permitted trial may take before another one is permitted.
	trialTime = 30 * time.Second
	// trialValidity is how long an instance may use its permission for a trial. It is well
	// below trialTime, so that no two instances have one.
	trialValidity = trialTime / 2
	// testTime is how long a permitted request with a suspect may take to show whether its
	// target survives, before another one is permitted.
	testTime = time.Second
	// settleTime is the time from an end until all instances have reported what they had in
	// flight there: 250 ms at most to find out that the target has ended, and the message. With
	// 120 ms, a part that was at three ends by chance was blocked before the last report of the
	// deadly one had come.
	settleTime = 400 * time.Millisecond
	// judgeInterval and pruneInterval limit how often the subjects are gone through.
	judgeInterval = 50 * time.Millisecond
	pruneInterval = time.Second
)

// Detector adds up what all instances report. The lease holder has one for its term, which
// begins empty. It is not safe for concurrent use.
type Detector struct {
	ends     map[string][]*end
	subjects map[Subject]*suspect
	blocks   blockSet
	// suspects are those of which instances are asked for proofs.
	suspects []Subject
	// guarded are those of them that one more end blocks.
	guarded []Subject
	// version grows with each change of the blocks.
	version uint64
	// tried is when a trial of a block was last permitted.
	tried map[BlockKey]time.Time
	// tested is when a request with a suspect was last permitted.
	tested map[Subject]time.Time

	// chain is the number of ends that lead to a block at the least.
	chain int

	// startedAt is when the Detector was first told something. A former holder may have
	// permitted trials before.
	startedAt          time.Time
	judgedAt, prunedAt time.Time
	// settledAt is up to when ends count, since all reports of them have come.
	settledAt time.Time
}

// end is the end of one target.
type end struct {
	target fleet.Identity
	at     time.Time
}

// suspect is what is known of one subject.
type suspect struct {
	provedAt time.Time
	links    map[*end]link
	// common holds the parts that all accused requests had.
	common []Part
	// publishedAt is since when instances have been asked for proofs, zero if they have
	// not.
	publishedAt time.Time
}

// link is the part of a subject in the end of a target.
type link struct {
	// sent is when the last of the accused requests was sent.
	sent time.Time
	// requests is the number of accused requests.
	requests int
}

// NewDetector returns a Detector that knows nothing.
func NewDetector() *Detector {
	return &Detector{
		ends: make(map[string][]*end), subjects: make(map[Subject]*suspect), blocks: newBlockSet(),
		tried: make(map[BlockKey]time.Time), tested: make(map[Subject]time.Time), chain: blockChain,
	}
}

// IsIdle reports whether there is nothing to judge.
func (d *Detector) IsIdle() bool { return len(d.subjects) == 0 }

// Report applies what an instance reports.
func (d *Detector) Report(now time.Time, r *Report) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	for _, b := range r.Blocks {
		if d.blocks.merge(b, now) {
			d.version++
			d.forget(&b)
		}
	}
	for i := range r.Accusations {
		d.accuse(now, &r.Accusations[i])
	}
	for _, p := range r.Proofs {
		d.prove(p.Subject, now.Add(-time.Duration(p.AgeMS)*time.Millisecond), now)
	}
}

// forget drops the evidence that led to a block, if it is lifted.
func (d *Detector) forget(b *Block) {
	if b.IsActive() {
		return
	}
	for s := range d.subjects {
		if s.Service == b.Service && slices.Contains(b.parts(), s.Part) {
			delete(d.subjects, s)
		}
	}
}

func (d *Detector) accuse(now time.Time, a *Accusation) {
	for i := range a.Requests {
		q := &a.Requests[i]
		sent := now.Add(-time.Duration(q.SentAgeMS) * time.Millisecond)
		at := now.Add(-time.Duration(q.EndAgeMS) * time.Millisecond)
		if now.Sub(at) > evidenceTTL {
			continue
		}
		e := d.endOf(a.Service, a.Target, sent, at)
		r := Request{Service: a.Service, Model: q.Model, Adapter: q.Adapter, Parts: q.Parts}
		for _, s := range r.subjects(q.Parts) {
			if !d.isLiftedSince(s, e.at) {
				d.link(s, e, sent, q.Parts)
			}
		}
		d.failTrial(&r, sent, at, now)
	}
}

// isLiftedSince reports whether a block with a part was lifted after a time. What the part was
// accused of before does not count, also if an instance that has not heard of that reports it
// to a new holder.
func (d *Detector) isLiftedSince(s Subject, at time.Time) bool {
	for key, b := range d.blocks.blocks {
		if b.Lifted && key.Service == s.Service && !at.After(b.since) && slices.Contains(key.parts(), s.Part) {
			return true
		}
	}
	return false
}

// endOf returns the end of a target of which a request accuses a part. Instances see it at
// slightly different times. A request that was sent after a known end accuses a part of
// another one: the target has started again under the same identity.
func (d *Detector) endOf(service string, target fleet.Identity, sent, at time.Time) *end {
	list := d.ends[service]
	for _, e := range list {
		if e.target == target && sent.Before(e.at) {
			return e
		}
	}
	e := &end{target: target, at: at}
	if len(list) >= maxEnds {
		list = slices.Delete(list, 0, 1)
	}
	d.ends[service] = append(list, e)
	return e
}

func (d *Detector) link(s Subject, e *end, sent time.Time, parts []Part) {
	have := d.subjects[s]
	if have == nil {
		if !d.makeRoom() {
			return
		}
		have = &suspect{links: make(map[*end]link)}
		d.subjects[s] = have
	}
	if !e.at.After(have.provedAt) {
		return
	}
	if len(have.links) == 0 {
		have.common = slices.Clone(parts)
	} else {
		have.common = slices.DeleteFunc(have.common, func(p Part) bool { return !slices.Contains(parts, p) })
	}
	l := have.links[e]
	have.links[e] = link{timer.Later(l.sent, sent), l.requests + 1}
}

// makeRoom reports whether another subject can be kept. It forgets those with a single
// accusation if there are too many.
func (d *Detector) makeRoom() bool {
	if len(d.subjects) < maxSubjects {
		return true
	}
	for s, have := range d.subjects {
		if len(have.links) <= 1 {
			delete(d.subjects, s)
		}
	}
	return len(d.subjects) < maxSubjects
}

// prove voids what a subject was accused of before a time. It lifts a block of this part
// alone, and takes the part out of a block of several: the others are to blame.
func (d *Detector) prove(s Subject, at, now time.Time) {
	delete(d.tested, s)
	if have := d.subjects[s]; have != nil && at.After(have.provedAt) {
		have.provedAt = at
		have.unlink(func(e *end) bool { return !e.at.After(at) })
	}
	for key, b := range d.blocks.blocks {
		parts := key.parts()
		if !b.IsActive() || key.Service != s.Service || key.Scope != s.Scope || !slices.Contains(parts, s.Part) || !at.After(b.since) {
			continue
		}
		if len(parts) == 1 {
			d.blocks.lift(b, now)
			d.version++
			return
		}
		rest := slices.DeleteFunc(parts, func(p Part) bool { return p == s.Part })
		d.blocks.put(&Block{
			BlockKey: newBlockKey(s.Service, s.Scope, rest), Revision: b.Revision + 1, Ends: b.Ends, Trials: b.Trials, since: b.since,
		})
		d.version++
		return
	}
}

// unlink removes the links to ends.
func (s *suspect) unlink(isGone func(*end) bool) {
	for e := range s.links {
		if isGone(e) {
			delete(s.links, e)
		}
	}
	if len(s.links) == 0 {
		s.publishedAt, s.common = time.Time{}, nil
	}
}

// failTrial prolongs a block after a trial that ended another target. A request that was sent
// when a trial was due counts as one that a former holder has permitted, if this one has not.
func (d *Detector) failTrial(r *Request, sent, at, now time.Time) {
	b := d.blocks.find(r)
	if b == nil {
		return
	}
	tried, ok := d.tried[b.BlockKey]
	due, isAllowed := b.TrialAt()
	if ok && at.Before(tried) || !ok && (!isAllowed || sent.Before(due)) {
		return
	}
	delete(d.tried, b.BlockKey)
	next := *b
	next.Revision++
	next.Trials++
	next.Ends++
	next.since = now
	d.blocks.put(&next)
	d.version++
}

// prune forgets old evidence.
func (d *Detector) prune(now time.Time) {
	if now.Sub(d.prunedAt) < pruneInterval {
		return
	}
	d.prunedAt = now
	for service, list := range d.ends {
		d.ends[service] = slices.DeleteFunc(list, func(e *end) bool { return now.Sub(e.at) > evidenceTTL })
	}
	for s, have := range d.subjects {
		have.unlink(func(e *end) bool { return now.Sub(e.at) > evidenceTTL })
		if len(have.links) == 0 && now.Sub(have.provedAt) > evidenceTTL {
			delete(d.subjects, s)
		}
	}
	for s, at := range d.tested {
		if now.Sub(at) >= testTime {
			delete(d.tested, s)
		}
	}
	d.blocks.prune(now)
}

// Reply answers an instance's report. isSameTerm reports whether the instance's version
// is of this Detector.
func (d *Detector) Reply(now time.Time, r *Report, isSameTerm bool) Reply {
	out := Reply{Version: d.version, Suspects: d.suspects, Guarded: d.guarded}
	if !isSameTerm || r.Version != d.version {
		out.Blocks = d.blocks.wire(now)
	}
	for _, key := range r.Wanted {
		if d.permitTrial(key, now) {
			out.Trials = append(out.Trials, key)
		}
	}
	for _, s := range r.Tests {
		if d.permitTest(s, now) {
			out.Tests = append(out.Tests, s)
		}
	}
	return out
}

// permitTest reports whether an instance may send a request with a suspect. All instances
// together send one at a time, since any of them may end a target.
func (d *Detector) permitTest(s Subject, now time.Time) bool {
	if !slices.Contains(d.guarded, s) {
		return true
	}
	if now.Sub(d.tested[s]) < testTime {
		return false
	}
	d.tested[s] = now
	return true
}

// permitTrial reports whether an instance may let one request through.
func (d *Detector) permitTrial(key BlockKey, now time.Time) bool {
	b := d.blocks.blocks[key]
	if b == nil || !b.IsActive() {
		return false
	}
	due, ok := b.TrialAt()
	if !ok || now.Before(due) || now.Sub(timer.Later(d.tried[key], d.startedAt)) < trialTime {
		return false
	}
	d.tried[key] = now
	return true
}
