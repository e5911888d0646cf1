package crash

import (
	"maps"
	"slices"
	"time"
)

const (
	// aloneAnswerTime is how old an accusation is before an instance judges it alone.
	aloneAnswerTime = time.Second
	// aloneProofs is the number of answers that an instance must have seen before it judges
	// alone, so that it knows the frequent parts.
	aloneProofs = 50
	// handoverTime is how long the blocks of an instance that has judged alone outlast the
	// first reply of a holder.
	handoverTime = 3 * time.Second
)

// Report returns what the holder has not heard yet. Apply must be called with it once the
// holder has replied.
func (m *Monitor) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	m.prune(now)
	out := Report{Version: m.version, Proofs: m.newProofs(now)}
	for _, a := range m.accused {
		if a.term != m.term || m.term == 0 {
			out.add(a, now)
		}
	}
	for _, b := range m.blocks.wire(now) {
		if m.revised[b.BlockKey] != m.term || m.term == 0 {
			out.Blocks = append(out.Blocks, b)
		}
	}
	for key := range m.wanted {
		out.Wanted = append(out.Wanted, key)
	}
	for s := range m.awaiting {
		out.Tests = append(out.Tests, s)
	}
	return out
}

// add adds an accused request to the accusation of its target.
func (r *Report) add(a *accusedRequest, now time.Time) {
	i := slices.IndexFunc(r.Accusations, func(have Accusation) bool {
		return have.Target == a.target && have.Service == a.Service
	})
	if i < 0 {
		i = len(r.Accusations)
		r.Accusations = append(r.Accusations, Accusation{Target: a.target, Service: a.Service})
	}
	r.Accusations[i].Requests = append(r.Accusations[i].Requests, Accused{
		Model: a.Model, Adapter: a.Adapter, Parts: a.Parts,
		SentAgeMS: now.Sub(a.sent).Milliseconds(), EndAgeMS: now.Sub(a.at).Milliseconds(),
	})
	r.accused = append(r.accused, a)
}

// newProofs returns the proofs that the holder asks for and has not heard, and those of
// parts that are blocked.
func (m *Monitor) newProofs(now time.Time) []Proof {
	var out []Proof
	add := func(s Subject, after time.Time) {
		if at := m.proofs.at(s); at.After(m.reported[s]) && at.After(after) {
			out = append(out, Proof{s, now.Sub(at).Milliseconds()})
		}
	}
	for s := range m.suspects {
		add(s, time.Time{})
	}
	for _, b := range m.blocks.blocks {
		if b.Lifted {
			continue
		}
		for _, part := range b.parts() {
			s := Subject{b.Service, part, b.Scope}
			if _, asked := m.suspects[s]; !asked {
				add(s, b.since)
			}
		}
	}
	return out
}

// prune forgets accusations that no longer count.
func (m *Monitor) prune(now time.Time) {
	m.accused = slices.DeleteFunc(m.accused, func(a *accusedRequest) bool { return now.Sub(a.at) > evidenceTTL })
	m.blocks.prune(now)
}

// Apply takes the reply of the holder of a term to a report.
func (m *Monitor) Apply(term int64, sent *Report, r *Reply) {
	m.mu.Lock()
	now := m.timer.Now()
	urgent := false
	if m.term != term {
		m.term = term
		clear(m.reported)
		// A new holder begins without evidence.
		urgent = len(m.accused) > len(sent.accused)
	}
	m.heardAt = now
	for _, a := range sent.accused {
		a.term = term
	}
	for _, b := range sent.Blocks {
		m.acknowledge(b, term)
	}
	for _, p := range sent.Proofs {
		m.reported[p.Subject] = m.proofs.at(p.Subject)
	}
	for _, key := range r.Trials {
		m.trials[key] = now
	}
	for _, key := range sent.Wanted {
		delete(m.wanted, key)
	}
	m.guarded = r.Guarded
	for _, s := range r.Tests {
		m.permitted[s] = now
	}
	for _, s := range sent.Tests {
		delete(m.awaiting, s)
	}
	urgent = m.setSuspects(r.Suspects, now) || urgent
	changes := append(m.endAlone(now), m.applyBlocks(r, term, now)...)
	m.version = r.Version
	m.mu.Unlock()
	m.notify(changes)
	if urgent {
		m.onUnreported()
	}
}

// HandOver returns the accusations that still count, for another instance to keep. Those
// that the present holder knows are included: the next one begins without evidence.
func (m *Monitor) HandOver() []Kept {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	m.prune(now)
	reports := make(map[int64]*Report)
	for _, a := range m.accused {
		if reports[a.term] == nil {
			reports[a.term] = &Report{}
		}
		reports[a.term].add(a, now)
	}
	var out []Kept
	for _, term := range slices.Sorted(maps.Keys(reports)) {
		out = append(out, Kept{Term: term, Accusations: reports[term].Accusations})
	}
	return out
}

// Keep takes the accusations of an instance that ends. They are reported like those of this
// instance, except to a holder that knows them.
func (m *Monitor) Keep(kept []Kept) {
	m.mu.Lock()
	now := m.timer.Now()
	urgent := false
	for _, k := range kept {
		for i := range k.Accusations {
			m.keep(now, k.Term, &k.Accusations[i])
		}
		urgent = urgent || k.Term != m.term
	}
	m.mu.Unlock()
	if urgent {
		m.onUnreported()
	}
}

func (m *Monitor) keep(now time.Time, term int64, c *Accusation) {
	for _, q := range c.Requests {
		m.addAccused(&accusedRequest{
			Request: Request{Service: c.Service, Model: q.Model, Adapter: q.Adapter, Parts: q.Parts},
			target:  c.Target, term: term,
			sent: now.Add(-time.Duration(q.SentAgeMS) * time.Millisecond),
			at:   now.Add(-time.Duration(q.EndAgeMS) * time.Millisecond),
		})
	}
}

// addAccused keeps an accused request. The oldest one yields if there are too many.
func (m *Monitor) addAccused(a *accusedRequest) {
	if len(m.accused) >= maxAccused {
		m.accused = slices.Delete(m.accused, 0, 1)
	}
	m.accused = append(m.accused, a)
}

// acknowledge records that the holder of a term knows a block as it is.
func (m *Monitor) acknowledge(b Block, term int64) {
	if have := m.blocks.blocks[b.BlockKey]; have != nil && have.Revision == b.Revision && have.Lifted == b.Lifted {
		m.revised[b.BlockKey] = term
	}
}

// setSuspects replaces the subjects of which the holder wants proofs, and reports whether
// there is a proof that it should have at once.
func (m *Monitor) setSuspects(suspects []Subject, now time.Time) bool {
	since := make(map[Subject]time.Time, len(suspects))
	urgent := false
	for _, s := range suspects {
		since[s] = now
		if at, known := m.suspects[s]; known {
			since[s] = at
		}
		urgent = urgent || m.reported[s].IsZero() && !m.proofs.at(s).IsZero()
	}
	m.suspects = since
	return urgent
}

// applyBlocks takes the holder's blocks and stops the requests in flight that they apply
// to.
func (m *Monitor) applyBlocks(r *Reply, term int64, now time.Time) []Change {
	var changes []Change
	for _, b := range r.Blocks {
		if m.blocks.merge(b, now) {
			m.forget(&b)
			changes = append(changes, Change{Block: *m.blocks.blocks[b.BlockKey]})
		}
		m.acknowledge(b, term)
	}
	for i := range changes {
		changes[i].Active = m.active()
	}
	return changes
}

// forget drops the accusations that led to a block, if it is lifted.
func (m *Monitor) forget(b *Block) {
	if b.IsActive() {
		return
	}
	m.accused = slices.DeleteFunc(m.accused, func(a *accusedRequest) bool { return b.covers(&a.Request) })
	for s := range m.marks {
		if s.Service == b.Service && slices.Contains(b.parts(), s.Part) {
			delete(m.marks, s)
		}
	}
}

// notify tells the observer of changes and stops the flights that are blocked now.
func (m *Monitor) notify(changes []Change) {
	for _, c := range changes {
		m.onChange(c)
	}
	if len(changes) > 0 {
		m.stopBlocked()
	}
}

func (m *Monitor) stopBlocked() {
	type stopped struct {
		f *Flight
		b Block
	}
	var all []stopped
	m.mu.Lock()
	for f := range m.flights {
		if b := m.find(&f.request); b != nil && f.beganAt.IsZero() && !f.isTrial {
			all = append(all, stopped{f, *b})
			delete(m.flights, f)
		}
	}
	m.mu.Unlock()
	for _, s := range all {
		s.f.stop(s.b)
	}
}

// JudgeAlone blocks parts by what this instance has seen itself, while it hears from no
// holder. Such blocks hold here alone and until a holder replies, who knows more. Parts
// that targets have survived are left out, since this instance sees few of their proofs.
// targets is as for Detector.Judge. It may call the Monitor, and may wait for others that do.
func (m *Monitor) JudgeAlone(targets func(service string) int) {
	counts := make(map[string]int)
	for _, service := range m.servicesToJudge() {
		counts[service] = targets(service)
	}
	if len(counts) == 0 {
		return
	}
	m.mu.Lock()
	changes := m.judgeAlone(m.timer.Now(), counts)
	m.mu.Unlock()
	m.notify(changes)
}

// servicesToJudge returns the services whose ends of targets this instance judges alone,
// none while it hears from a holder or knows too little.
func (m *Monitor) servicesToJudge() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer.Now().Sub(m.heardAt) < loneTime || m.proved < aloneProofs {
		return nil
	}
	var out []string
	for _, a := range m.accused {
		if !slices.Contains(out, a.Service) {
			out = append(out, a.Service)
		}
	}
	return out
}

// judgeAlone blocks parts of the requests to the services whose numbers of targets are
// given.
func (m *Monitor) judgeAlone(now time.Time, targets map[string]int) []Change {
	d := NewDetector()
	d.chain = aloneChain
	report := Report{Blocks: append(m.blocks.wire(now), m.alone.wire(now)...)}
	for _, a := range m.accused {
		if _, counted := targets[a.Service]; counted && m.isUnfamiliar(&a.Request) && now.Sub(a.at) >= aloneAnswerTime {
			report.add(a, now)
		}
	}
	d.Report(now, &report)
	for s := range d.subjects {
		if !m.proofs.at(Subject{Service: s.Service, Part: s.Part}).IsZero() {
			delete(d.subjects, s)
		}
	}
	var changes []Change
	for _, b := range d.Judge(now, 0, func(service string) int { return targets[service] }) {
		m.alone.put(&b)
		changes = append(changes, Change{Block: b, Active: m.active()})
	}
	return changes
}

// isUnfamiliar reports whether this instance has seen no target survive some part of a
// request.
func (m *Monitor) isUnfamiliar(r *Request) bool {
	return slices.ContainsFunc(r.subjects(r.Parts), func(s Subject) bool { return m.proofs.at(s).IsZero() })
}

// active returns the number of blocks in force.
func (m *Monitor) active() int { return m.blocks.active() + m.alone.active() }

// endAlone lifts the blocks that this instance has decided alone, once a holder has had
// the time to decide instead.
func (m *Monitor) endAlone(now time.Time) []Change {
	if len(m.alone.blocks) == 0 {
		return nil
	}
	if m.aloneUntil.IsZero() {
		m.aloneUntil = now.Add(handoverTime)
	}
	if now.Before(m.aloneUntil) {
		return nil
	}
	m.aloneUntil = time.Time{}
	var changes []Change
	for _, b := range m.alone.list() {
		b.Lifted = true
		changes = append(changes, Change{Block: *b, Active: m.blocks.active()})
	}
	m.alone = newBlockSet()
	return changes
}

// Blocks returns all blocks that this instance knows, the oldest first.
func (m *Monitor) Blocks() []Block {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocks.wire(m.timer.Now())
}

// Lift lifts the active blocks that name a part and returns how many there were. The
// holder and the other instances hear of it with the next messages.
func (m *Monitor) Lift(part Part) int {
	m.mu.Lock()
	now := m.timer.Now()
	var changes []Change
	for _, b := range m.blocks.list() {
		if !b.IsActive() || !slices.Contains(b.parts(), part) {
			continue
		}
		next := m.blocks.lift(b, now)
		delete(m.revised, next.BlockKey)
		m.forget(next)
		changes = append(changes, Change{Block: *next, Active: m.active()})
	}
	m.mu.Unlock()
	m.notify(changes)
	if len(changes) > 0 {
		m.onUnreported()
	}
	return len(changes)
}
