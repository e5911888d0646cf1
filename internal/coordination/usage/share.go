package usage

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// heartbeatInterval is the longest time between messages of an instance that uses
	// quotas, idleAfter how long after its last request it sends them.
	heartbeatInterval = 700 * time.Millisecond
	idleAfter         = 10 * time.Second
	// prefetchTime is how much of a team's recent demand is prefetched.
	prefetchTime = 300 * time.Millisecond
	// demandMemory is the time constant of the average of a team's demand.
	demandMemory = 2 * time.Second
	// returnBefore is how long before their expiry prefetched permits are returned, so that
	// the holder can still issue them to others.
	returnBefore = 200 * time.Millisecond
	// maxRefusalTime limits how long an instance refuses by itself what the holder has
	// refused, since returned permits may make room earlier.
	maxRefusalTime = 100 * time.Millisecond
	// maxReturns limits the returns of one message.
	maxReturns = 256
)

// Status is the outcome of a request for a permit.
type Status uint8

// The outcomes.
const (
	// Granted requests have a permit.
	Granted Status = iota
	// OverQuota requests are over the quota for the time RetryAfter.
	OverQuota
	// OverBurst requests are larger than the bucket.
	OverBurst
	// NoHolder requests got no reply in time.
	NoHolder
)

// String returns the name that logs and metrics use.
func (s Status) String() string {
	return [...]string{"granted", "overQuota", "overBurst", "noHolder"}[s]
}

// Permit permits one request to be sent between Start and Until.
type Permit struct {
	Team         string
	Amount       float64
	Start, Until time.Time
	term, slot   int64
}

// Outcome is the decision on a request. Share is the instance's part of the quota as last
// told, IsAlone means that it was decided without a holder.
type Outcome struct {
	Status     Status
	Permit     Permit
	RetryAfter time.Duration
	Share      float64
	IsAlone    bool
}

// Demand describes a request that needs a permit. Until is when the permit must start at
// the latest.
type Demand struct {
	Team     string
	Amount   float64
	Priority int
	Until    time.Time
}

// Pending is a request whose permit has been asked for.
type Pending struct {
	Demand
	done   func(Outcome)
	isDone bool
	// refusal is the decision without a holder, while the request still waits for a successor.
	refusal *Outcome
}

// Share holds an instance's permits and asks for further ones. It is not safe for
// concurrent use.
type Share struct {
	name   string
	bounds Bounds
	random func() float64
	teams  map[string]*teamShare
	// queue holds the requests whose asks are to be sent.
	queue   []*Pending
	returns []Returned
	// isPoolLow means that prefetched permits are about to run out.
	isPoolLow bool
	// term is that of the last reply, former the one before it if its permits can be returned.
	term, former int64
	members      int
	// repliedAt is when the last message was sent that a holder has replied to, sentAt when
	// the last was sent, usedAt when the last request came, zero once the holder was told
	// that none came for idleAfter.
	repliedAt, sentAt, usedAt time.Time
	// failedAt is when the first message was sent without a reply since the last one,
	// isGone means that an instance has since said that it is no longer the holder.
	failedAt time.Time
	isGone   bool
	// deadAt is when the holder was found dead, zero after the first reply to a later message,
	// and deadTerm the term of the last one that was.
	deadAt   time.Time
	deadTerm int64
	// stoppedAt is when the ledger of the present term has stopped, zero if it has not; toldStopAt is
	// when the last message was sent whose answer said so.
	stoppedAt, toldStopAt time.Time
}

// teamShare is what an instance knows of a team's quota.
type teamShare struct {
	limit    Limit
	capacity float64
	share    float64
	isFilled bool
	// level is the level of the holder's bucket at levelAt or later.
	level   float64
	levelAt time.Time
	// demand and requests are the recent amounts and numbers of requests.
	demand, requests average
	// usedAt is when the last request came, zero after idleAfter, askedAt when the holder
	// was last asked for this team.
	usedAt, askedAt time.Time
	pool            []Permit
	isPrefetching   bool
	refused         refusal
	alone           aloneBucket
	// admitted is what was admitted while the ledger had stopped, until a holder replies.
	admitted float64
	// toldStopAt is when the last message with a request of the team was sent to a stopped ledger.
	toldStopAt time.Time
}

// refusal is the last refusal of the holder. Until a time, it would refuse any request that
// is as large and no more urgent; the bucket could serve it at readyAt.
type refusal struct {
	amount         float64
	priority       int
	until, readyAt time.Time
}

func (r *refusal) covers(now time.Time, d Demand) bool {
	return now.Before(r.until) && d.Amount >= r.amount && d.Priority >= r.priority
}

// NewShare returns the Share of an instance. random returns numbers in [0, 1) and may be
// nil.
func NewShare(name string, random func() float64) *Share {
	if random == nil {
		random = rand.Float64
	}
	return &Share{
		name: name, random: random, teams: make(map[string]*teamShare), members: assumedMembers, former: noTerm, deadTerm: noTerm,
	}
}

// SetTeams sets the bounds and the quotas in force.
func (s *Share) SetTeams(bounds Bounds, limits []Limit) {
	s.bounds = bounds
	teams := make(map[string]*teamShare, len(limits))
	for _, limit := range limits {
		t := s.teams[limit.Team]
		if t == nil {
			t = &teamShare{share: -1}
		}
		t.limit = limit
		_, t.capacity = s.bounds.bucket(limit)
		teams[limit.Team] = t
	}
	s.teams = teams
}

// Request asks for a permit. If it can be decided at once, it returns the outcome and nil;
// otherwise done is called with it later, unless the returned Pending is cancelled. It must
// not block.
func (s *Share) Request(now time.Time, d Demand, done func(Outcome)) (Outcome, *Pending) {
	t := s.teams[d.Team]
	switch {
	case t == nil || d.Amount <= 0:
		return unlimited(now, d.Team), nil
	case !t.fits(d.Amount):
		return Outcome{Status: OverBurst, Share: s.shareOf(t)}, nil
	}
	s.usedAt, t.usedAt = now, now
	t.demand.add(now, d.Amount)
	t.requests.add(now, 1)
	if p, ok := s.takeFromPool(t, d.Amount, now); ok {
		return Outcome{Permit: p, Share: s.shareOf(t)}, nil
	}
	if s.IsAlone(now) || s.isStopped(now, t) {
		out := s.decideAlone(now, t, d)
		if !s.canAwaitSuccessor(out, t, now) {
			return out, nil
		}
		q := &Pending{Demand: d, done: done, refusal: &out}
		s.queue = append(s.queue, q)
		return Outcome{}, q
	}
	if t.refused.covers(now, d) {
		return Outcome{Status: OverQuota, RetryAfter: t.refused.readyAt.Sub(now), Share: s.shareOf(t)}, nil
	}
	q := &Pending{Demand: d, done: done}
	s.queue = append(s.queue, q)
	return Outcome{}, q
}

// Fits reports whether a team's bucket can ever hold an amount.
func (s *Share) Fits(team string, amount float64) bool {
	t := s.teams[team]
	return t == nil || t.fits(amount)
}

func (t *teamShare) fits(amount float64) bool { return amount <= t.capacity }

// unlimited returns the outcome of a request that needs no permit, which lasts for longer
// than any request.
func unlimited(now time.Time, team string) Outcome {
	return Outcome{Permit: Permit{Team: team, Start: now, Until: now.Add(24 * time.Hour), term: noTerm}}
}

// noTerm is the term of permits that no holder issued, so that they are not returned to one.
const noTerm = -1

// Cancel ends a request that no longer needs a permit. One that it still gets is returned.
func (s *Share) Cancel(q *Pending) { q.isDone = true }

// shareOf returns the instance's part of a team's quota, an even one if it is unknown.
func (s *Share) shareOf(t *teamShare) float64 {
	if t.share < 0 {
		return 1 / float64(s.members)
	}
	return t.share
}

// takeFromPool takes an amount from prefetched permits if one is large enough.
func (s *Share) takeFromPool(t *teamShare, amount float64, now time.Time) (Permit, bool) {
	for i := range t.pool {
		p := &t.pool[i]
		if p.Amount < amount || !now.Before(p.Until.Add(-returnBefore)) {
			continue
		}
		out := *p
		out.Amount = amount
		p.Amount -= amount
		s.isPoolLow = s.isPoolLow || !t.isPrefetching && t.pooled() < s.prefetchAmount(t, now)/2
		return out, true
	}
	return Permit{}, false
}

func (t *teamShare) pooled() float64 {
	sum := 0.0
	for i := range t.pool {
		sum += t.pool[i].Amount
	}
	return sum
}

// Return takes back a permit whose request has not run and will not.
func (s *Share) Return(p Permit) {
	if p.Amount > 0 && p.term != noTerm && (p.term == s.term || p.term == s.former) && len(s.returns) < maxReturns {
		s.returns = append(s.returns, Returned{Team: p.Team, Amount: p.Amount, Slot: p.slot})
	}
}

// IsMessageDue reports whether requests wait for a message, or soon would.
func (s *Share) IsMessageDue() bool { return len(s.queue) > 0 || s.isPoolLow }

// NextHeartbeat returns the time until the next message if no request comes, and false if
// there is none.
func (s *Share) NextHeartbeat(now time.Time) (time.Duration, bool) {
	if s.usedAt.IsZero() {
		return 0, false
	}
	interval := heartbeatInterval
	if !s.stoppedAt.IsZero() && now.Sub(s.stoppedAt) < MaxHandoverAge {
		// Until the ledger knows what was admitted, it keeps back more.
		interval = stopTime / 2
	}
	return max(interval-now.Sub(s.sentAt), 0), true
}

// Sent is a message with the requests that it asks for.
type Sent struct {
	Message  Message
	at       time.Time
	pending  []*Pending
	prefetch []string
	isDone   bool
}

// Message returns the message with all that is to be asked and returned now.
func (s *Share) Message(now time.Time) *Sent {
	out := &Sent{at: now, pending: s.queue, Message: Message{From: s.name, Term: s.term}}
	for _, q := range s.queue {
		out.Message.Asks = append(out.Message.Asks, Ask{
			Team: q.Team, Amount: q.Amount, Priority: q.Priority, MaxDelayMS: max(q.Until.Sub(now).Milliseconds(), 0),
		})
	}
	for _, q := range s.queue {
		if t := s.teams[q.Team]; t != nil {
			t.askedAt = now
		}
	}
	s.queue, s.sentAt, s.isPoolLow = nil, now, false
	for name, t := range s.teams {
		if !t.usedAt.IsZero() {
			s.addTeam(out, name, t, now)
		}
	}
	out.Message.Returns, s.returns = s.returns, nil
	for name, t := range s.teams {
		if t.admitted > 0 {
			if out.Message.Admitted == nil {
				out.Message.Admitted = make(map[string]float64)
			}
			out.Message.Admitted[name] = t.admitted
		}
	}
	if !s.usedAt.IsZero() && now.Sub(s.usedAt) > idleAfter {
		out.Message.IsIdle, s.usedAt, s.failedAt = true, time.Time{}, time.Time{}
		s.deadAt, s.stoppedAt = time.Time{}, time.Time{}
	}
	return out
}

// addTeam adds to a message what is prefetched and returned of a team, and asks for the
// instance's share.
func (s *Share) addTeam(out *Sent, name string, t *teamShare, now time.Time) {
	s.dropExpiring(t, now)
	if now.Sub(t.usedAt) > idleAfter {
		t.usedAt, t.share = time.Time{}, -1
		return
	}
	ask, pooled := Ask{Team: name}, t.pooled()
	if want := s.prefetchAmount(t, now); pooled < want/2 && !t.isPrefetching {
		ask.Amount, ask.IsPrefetch, t.isPrefetching = want-pooled, true, true
	}
	if ask.Amount == 0 && now.Sub(t.askedAt) < heartbeatInterval/2 {
		return
	}
	t.askedAt = now
	out.Message.Asks = append(out.Message.Asks, ask)
	out.prefetch = append(out.prefetch, name)
}

// dropExpiring returns the prefetched permits that are about to expire.
func (s *Share) dropExpiring(t *teamShare, now time.Time) {
	kept := t.pool[:0]
	for _, p := range t.pool {
		switch {
		case p.Amount <= 0:
		case now.Before(p.Until.Add(-returnBefore)):
			kept = append(kept, p)
		default:
			s.Return(p)
		}
	}
	t.pool = kept
}

// prefetchAmount returns how much of a team's quota to hold ready: nothing if less than one
// request comes within a permit's lifetime, or if the bucket is not well filled.
func (s *Share) prefetchAmount(t *teamShare, now time.Time) float64 {
	since := demandMemory.Seconds()
	requests := t.requests.value(now) / since
	if !t.isFilled || requests*permitLifetime.Seconds() < 1 || now.Sub(t.usedAt) > permitLifetime {
		return 0
	}
	// The sum of amounts is at least one average request.
	size := t.demand.value(now) / max(t.requests.value(now), 1)
	return math.Floor(max(t.demand.value(now)/since*prefetchTime.Seconds(), size))
}

// Apply applies the reply to a message and completes its requests.
func (s *Share) Apply(now time.Time, sent *Sent, r Reply) {
	if sent.isDone || len(r.Answers) != len(sent.Message.Asks) {
		s.Fail(now, sent, NoReply)
		return
	}
	sent.isDone = true
	for name, amount := range sent.Message.Admitted {
		if t := s.teams[name]; t != nil {
			t.admitted = max(t.admitted-amount, 0)
		}
	}
	if !s.isLate(sent, r) {
		s.noteReply(now, sent, r)
	}
	for i, q := range sent.pending {
		s.applyAnswer(now, sent, q, r.Answers[i])
	}
	for i, name := range sent.prefetch {
		t := s.teams[name]
		if t == nil {
			continue
		}
		if sent.Message.Asks[len(sent.pending)+i].IsPrefetch {
			t.isPrefetching = false
		}
		if a := r.Answers[len(sent.pending)+i]; a.Granted > 0 {
			t.pool = append(t.pool, s.permit(now, sent, name, a))
		}
	}
}

func (s *Share) noteReply(now time.Time, sent *Sent, r Reply) {
	if r.Term != s.term {
		if s.former = noTerm; r.Former != 0 && r.Former == s.term {
			s.former = s.term
		} else {
			s.returns = nil
		}
		s.term = r.Term
	}
	if s.IsAlone(now) || !s.stoppedAt.IsZero() {
		for _, t := range s.teams {
			t.alone = aloneBucket{}
		}
	}
	s.members = max(r.Members, 1)
	s.failedAt, s.deadAt, s.stoppedAt, s.isGone = time.Time{}, time.Time{}, time.Time{}, false
	if sent.at.After(s.repliedAt) {
		s.repliedAt = sent.at
	}
	for name, share := range r.Shares {
		if t := s.teams[name]; t != nil {
			t.share, t.isFilled = share, false
		}
	}
	for name, level := range r.Levels {
		if t := s.teams[name]; t != nil && !sent.at.Before(t.levelAt) {
			t.level, t.levelAt = level, sent.at
		}
	}
	for _, name := range r.Filled {
		if t := s.teams[name]; t != nil {
			t.isFilled = true
		}
	}
}

// permit returns the permit of an answer. It starts a delay after the reply, by when the
// holder's slot has begun, and expires counted from the sending of the ask.
func (s *Share) permit(now time.Time, sent *Sent, team string, a Answer) Permit {
	delay := time.Duration(a.DelayMS) * time.Millisecond
	p := Permit{Team: team, Amount: a.Granted, Start: now, term: s.term, slot: a.Slot}
	if delay > 0 {
		p.Start = now.Add(delay)
	}
	p.Until = sent.at.Add(delay + permitLifetime)
	return p
}

func (s *Share) applyAnswer(now time.Time, sent *Sent, q *Pending, a Answer) {
	out := Outcome{Status: OverQuota, RetryAfter: time.Duration(a.DelayMS) * time.Millisecond}
	if a.Granted > 0 {
		p := s.permit(now, sent, q.Team, a)
		switch {
		case q.isDone:
			s.Return(p)
			return
		case !p.Start.Before(p.Until):
			// The reply came too late.
			s.Return(p)
			s.queue = append(s.queue, q)
			return
		}
		out = Outcome{Permit: p}
	} else if t := s.teams[q.Team]; t != nil {
		again := min(time.Duration(a.AgainMS)*time.Millisecond, maxRefusalTime)
		t.refused = refusal{q.Amount, q.Priority, now.Add(again), now.Add(out.RetryAfter)}
	}
	s.finish(q, out)
}

// finish completes a request.
func (s *Share) finish(q *Pending, out Outcome) {
	if q.isDone {
		return
	}
	q.isDone = true
	if t := s.teams[q.Team]; t != nil {
		out.Share = s.shareOf(t)
	}
	q.done(out)
}

// Fail notes that a message has got no reply. Its requests are asked for again, or decided
// without a holder.
func (s *Share) Fail(now time.Time, sent *Sent, why Failure) {
	if sent.isDone {
		return
	}
	sent.isDone = true
	for i, name := range sent.prefetch {
		if t := s.teams[name]; t != nil && sent.Message.Asks[len(sent.pending)+i].IsPrefetch {
			t.isPrefetching = false
		}
	}
	s.noteFailure(now, sent.at, why)
	if sent.Message.IsIdle && s.usedAt.IsZero() {
		// A holder that has not been told keeps the instance's part back.
		s.usedAt = sent.at.Add(-idleAfter - 1)
	}
	if why == NotHolder && sent.Message.Term == s.term {
		// The message was certainly not taken.
		s.returns = append(s.returns, sent.Message.Returns[:min(len(sent.Message.Returns), maxReturns-len(s.returns))]...)
	}
	s.queue = append(sent.pending, s.queue...)
	s.Expire(now)
}

// Expire completes the requests that have waited for as long as they may and, without a
// holder, all others.
func (s *Share) Expire(now time.Time) {
	alone := s.IsAlone(now)
	kept := s.queue[:0]
	for _, q := range s.queue {
		t := s.teams[q.Team]
		switch {
		case q.isDone:
		case t == nil:
			s.finish(q, unlimited(now, q.Team))
		case !now.Before(q.Until) && q.refusal != nil:
			s.finish(q, *q.refusal)
		case q.refusal == nil && (alone || s.isStopped(now, t)):
			out := s.decideAlone(now, t, q.Demand)
			if !s.canAwaitSuccessor(out, t, now) {
				s.finish(q, out)
				continue
			}
			q.refusal = &out
			kept = append(kept, q)
		case !now.Before(q.Until):
			s.finish(q, Outcome{Status: NoHolder})
		default:
			kept = append(kept, q)
		}
	}
	s.queue = kept
}
