package crash

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// provedAfter is how long a target must survive the beginning of an answer.
	provedAfter = 100 * time.Millisecond
	// maxAccusedParts limits the parts of one request that are accused.
	maxAccusedParts = 64
	// maxAccused limits the requests that an instance keeps accusations of.
	maxAccused = 512
	// maxMarks limits the subjects whose accusations an instance remembers.
	maxMarks = 1 << 13
	// loneTime is how long an instance does without the holder before it judges by what
	// it has seen itself.
	loneTime = 2 * time.Second
)

// Change tells an observer of a change of the blocks that an instance knows.
type Change struct {
	Block Block
	// Active is the number of blocks in force.
	Active int
}

// Monitor is what one instance knows: its requests in flight, what it has seen crash or
// survive, and the blocks in force. It is safe for concurrent use.
type Monitor struct {
	timer    timer.Service
	onChange func(Change)
	// onUnreported is called when there is something new to report.
	onUnreported func()

	mu      sync.Mutex
	flights map[*Flight]struct{}
	proofs  proofs
	// marks holds the latest accusation of each subject by this instance.
	marks   map[Subject]mark
	accused []*accusedRequest
	// blocks holds the blocks of the holder, alone those that this instance has decided
	// without one.
	blocks, alone blockSet
	// aloneUntil is when the latter end, zero if no holder has replied since.
	aloneUntil time.Time
	// revised holds the holder's term that knows the present revision of each block.
	revised map[BlockKey]int64
	// suspects holds the subjects of which the holder wants proofs, and since when;
	// reported the time of the latest proof that it has.
	suspects map[Subject]time.Time
	// proved counts the flights that were proved.
	proved   int
	reported map[Subject]time.Time
	term     int64
	version  uint64
	// heardAt is when the holder last replied.
	heardAt time.Time
	// wanted holds the blocks for whose trial a request has come, trials those that may be
	// tried and when the holder has permitted that.
	wanted map[BlockKey]struct{}
	trials map[BlockKey]time.Time
	// awaiting holds the suspects that the holder has to permit a request with, permitted
	// when it did.
	guarded   []Subject
	awaiting  map[Subject]struct{}
	permitted map[Subject]time.Time
}

// mark is an accusation of a subject.
type mark struct {
	target fleet.Identity
	at     time.Time
}

// accusedRequest is a request whose target ended before it was proved.
type accusedRequest struct {
	Request
	target   fleet.Identity
	sent, at time.Time
	// term is the holder's term that knows of it.
	term int64
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithObserver calls f after each change of a block; f must not block.
func WithObserver(f func(Change)) Option {
	return func(m *Monitor) { m.onChange = f }
}

// WithUrgency calls f when the holder should hear at once of something; f must not block.
func WithUrgency(f func()) Option {
	return func(m *Monitor) { m.onUnreported = f }
}

// NewMonitor returns a Monitor that knows nothing.
func NewMonitor(t timer.Service, opts ...Option) *Monitor {
	m := &Monitor{
		timer: t, onChange: func(Change) {}, onUnreported: func() {},
		flights: make(map[*Flight]struct{}), proofs: newProofs(), marks: make(map[Subject]mark),
		blocks: newBlockSet(), alone: newBlockSet(), revised: make(map[BlockKey]int64), reported: make(map[Subject]time.Time),
		wanted: make(map[BlockKey]struct{}), trials: make(map[BlockKey]time.Time),
		awaiting: make(map[Subject]struct{}), permitted: make(map[Subject]time.Time), heardAt: t.Now(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Blocking returns the block that forbids to send a request, or nil. A request that may be
// the trial of a block is not forbidden.
func (m *Monitor) Blocking(r *Request) *Block {
	if len(r.Parts) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.find(r)
	if b == nil {
		return nil
	}
	if at, ok := m.trials[b.BlockKey]; ok && m.timer.Now().Sub(at) < trialValidity {
		return nil
	}
	if due, ok := b.TrialAt(); ok && !m.timer.Now().Before(due) {
		m.wanted[b.BlockKey] = struct{}{}
	}
	out := *b
	return &out
}

// find returns the block that applies to a request, or nil.
func (m *Monitor) find(r *Request) *Block {
	if b := m.blocks.find(r); b != nil {
		return b
	}
	return m.alone.find(r)
}

// MustWait reports whether a request has to wait since targets have ended under one of its
// parts while none has ever survived it here. Such requests go one by one, so that they do
// not end target after target before the holder has heard of the first: those of this
// instance one after the other, and those with a part that the holder suspects only when it
// permits one.
func (m *Monitor) MustWait(r *Request) bool {
	if len(r.Parts) == 0 {
		return false
	}
	m.mu.Lock()
	mustWait, isNew := m.mustWait(r, m.timer.Now())
	m.mu.Unlock()
	if isNew {
		m.onUnreported()
	}
	return mustWait
}

// mustWait also reports whether the holder has to be asked for a permission.
func (m *Monitor) mustWait(r *Request, now time.Time) (mustWait, isNew bool) {
	if len(m.marks) == 0 && len(m.suspects) == 0 {
		return false, false
	}
	for _, p := range r.Parts {
		s := Subject{Service: r.Service, Part: p}
		if !m.proofs.at(s).IsZero() || !m.isDoubtful(s, fleet.Identity{}) {
			continue
		}
		if m.isInFlight(r.Service, p) {
			return true, false
		}
		if m.needsPermission(s, now) {
			_, asked := m.awaiting[s]
			m.awaiting[s] = struct{}{}
			return true, !asked
		}
	}
	return false, false
}

// needsPermission reports whether the holder suspects a part and has not permitted a
// request with it lately. While there is no holder, none is needed.
func (m *Monitor) needsPermission(s Subject, now time.Time) bool {
	if !slices.Contains(m.guarded, s) || now.Sub(m.heardAt) >= loneTime {
		return false
	}
	at, permitted := m.permitted[s]
	return !permitted || now.Sub(at) >= testTime
}

// isInFlight reports whether a request with a part is in flight whose target has not
// survived it yet.
func (m *Monitor) isInFlight(service string, p Part) bool {
	for f := range m.flights {
		if f.request.Service == service && f.beganAt.IsZero() && slices.Contains(f.request.Parts, p) {
			return true
		}
	}
	return false
}

// Admit is like Blocking, for a request that is sent at once: it uses up the permission
// for a trial, if there is one.
func (m *Monitor) Admit(r *Request) *Block {
	if b := m.Blocking(r); b != nil {
		return b
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.find(r); b != nil {
		delete(m.trials, b.BlockKey)
	}
	return nil
}

// Flight is a request at a target.
type Flight struct {
	monitor *Monitor
	request Request
	target  fleet.Identity
	sent    time.Time
	// stop cancels the request when it is blocked.
	stop func(Block)

	// beganAt is when the answer began, zero if it has not. proved means that the target
	// has survived that.
	beganAt time.Time
	proved  bool
	// isTrial means that the request is sent in spite of a block.
	isTrial bool
}

// Start registers a request that is sent to a target. stop is called, on another
// goroutine's time, if the request is blocked before it is proved. A request without parts
// has no Flight, and the methods of a nil Flight do nothing.
func (m *Monitor) Start(r Request, target fleet.Identity, stop func(Block)) *Flight {
	if len(r.Parts) == 0 {
		return nil
	}
	f := &Flight{monitor: m, request: r, target: target, sent: m.timer.Now(), stop: stop}
	m.mu.Lock()
	defer m.mu.Unlock()
	f.isTrial = m.find(&r) != nil
	for _, p := range r.Parts {
		delete(m.permitted, Subject{Service: r.Service, Part: p})
	}
	m.flights[f] = struct{}{}
	return f
}

// Progress records that an event of the answer has come.
func (f *Flight) Progress() {
	if f == nil || f.proved {
		return
	}
	now := f.monitor.timer.Now()
	switch {
	case f.beganAt.IsZero():
		f.begin(now)
	case now.Sub(f.beganAt) >= provedAfter:
		f.prove(f.beganAt)
	}
}

// begin records when the answer began.
func (f *Flight) begin(now time.Time) {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	f.beganAt = now
}

// Complete records that the answer is complete.
func (f *Flight) Complete() {
	if f == nil {
		return
	}
	if !f.proved {
		if f.beganAt.IsZero() {
			f.begin(f.monitor.timer.Now())
		}
		f.prove(f.beganAt)
	}
	f.End()
}

// End ends the flight.
func (f *Flight) End() {
	if f == nil {
		return
	}
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	delete(f.monitor.flights, f)
}

// prove records that the target has survived the answer that began at a time. It says nothing
// about what targets ended under later, while the answer went on.
func (f *Flight) prove(at time.Time) {
	f.proved = true
	m := f.monitor
	m.mu.Lock()
	m.proved++
	urgent := false
	for _, s := range f.request.subjects(f.request.Parts) {
		m.proofs.set(s, at)
		urgent = urgent || m.isAwaited(s)
	}
	m.mu.Unlock()
	if urgent {
		m.onUnreported()
	}
}

// isAwaited reports whether the holder waits for a proof of a subject and has none.
func (m *Monitor) isAwaited(s Subject) bool {
	_, suspected := m.suspects[s]
	return suspected && m.reported[s].IsZero()
}

// IsProved reports whether the target has survived the beginning of the answer.
func (f *Flight) IsProved() bool { return f == nil || f.proved }

// Broke records that the flight's target has ended before the flight was proved, and
// reports whether the request may be sent to another target. It may not if another target
// has ended under one of its parts, and none has survived it since.
func (f *Flight) Broke() bool {
	if f == nil || f.proved {
		return true
	}
	m := f.monitor
	now := m.timer.Now()
	m.mu.Lock()
	maySend := m.accuse(f, now)
	m.mu.Unlock()
	m.onUnreported()
	return maySend
}

func (m *Monitor) accuse(f *Flight, now time.Time) bool {
	parts := sample(f.request.Parts)
	r := f.request
	r.Parts = parts
	m.addAccused(&accusedRequest{Request: r, target: f.target, sent: f.sent, at: now})
	if len(m.marks) >= maxMarks {
		clear(m.marks)
	}
	maySend := true
	for _, s := range r.subjects(parts) {
		maySend = maySend && !m.isDoubtful(s, f.target)
		m.marks[s] = mark{f.target, now}
	}
	return maySend
}

// isDoubtful reports whether another target than the given one has ended under a subject,
// and none is known to have survived it since.
func (m *Monitor) isDoubtful(s Subject, target fleet.Identity) bool {
	proved := m.proofs.at(s)
	if had, marked := m.marks[s]; marked && had.target != target && proved.Before(had.at) {
		return true
	}
	since, suspected := m.suspects[s]
	return suspected && proved.Before(since)
}

// sample returns the parts of a request to accuse: all, or some of them if there are too
// many.
func sample(parts []Part) []Part {
	if len(parts) <= maxAccusedParts {
		return parts
	}
	out := slices.Clone(parts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:maxAccusedParts]
}
