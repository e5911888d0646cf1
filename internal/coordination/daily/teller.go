package daily

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Bounds of a Teller.
const (
	// tellRate is the number of bytes a second that telling may cost, and
	// tellBurst how many of them may be saved up for a burst.
	tellRate  = 3000
	tellBurst = 60 * tellRate
	// tellResume is what has to be saved up before single outcomes are told again
	// after it ran out.
	tellResume = tellBurst / 10
	// messageBytes is the cost of a message and its answer without counters.
	messageBytes = 56
	// countBytes is the cost of a counter's total, and keyBytes that of its key.
	countBytes = 8
	keyBytes   = 64
	// tellsInFlight is the number of messages that may wait for their answers.
	tellsInFlight = 4
	// arrivalDelay is how long an arrival may wait for a message to go with when
	// half of the burst is spent.
	arrivalDelay = 100 * time.Millisecond
	// tellEvery is the time between two messages at rest, and between any two
	// while the bytes for single outcomes have run out.
	tellEvery = time.Second
	// lateAfter is how long a neighbour may take to answer before another one is
	// chosen, and avoidFor how long it is passed over then.
	lateAfter = 30 * time.Millisecond
	avoidFor  = 10 * time.Second
	// askAgain is how soon a neighbour that was passed over is tried again if
	// there is no other.
	askAgain = time.Second
	// keeperDuty ranks the neighbours for keeping an entry's counts.
	keeperDuty = "counts of "
)

// Counted tells a Teller that the Recorder has counted something. An Outcome has
// to be told before its caller has the end of the answer.
type Counted struct{ Outcome bool }

// Told notes how many of the Recorder's changes a neighbour keeps, and whether
// there is a neighbour who is told of every outcome at once.
type Told struct {
	Through uint64
	Exact   bool
}

// Left notes that a neighbour is no longer told, since it answered late or not at all. What
// is counted until another one answers may be kept by nobody.
type Left struct{ Neighbour string }

// IsEvent marks an event.
func (Counted) IsEvent() {}

// Teller tells one neighbour of the own zone what its instance counts, so that
// the counts outlive the instance.
//
// A message holds totals of counters, not changes. Outcomes are told at once,
// those that come while tellsInFlight messages wait for answers go together in
// the next one. What telling costs is taken from a budget of bytes that fills up
// at tellRate:
//
//	more than half left   arrivals and outcomes are told at once
//	some left             outcomes at once, arrivals with them or a moment later
//	nothing left          everything once in tellEvery, nobody waits for it
//
// A neighbour that answers late or not at all is replaced at once by the next in
// rank, which first gets all totals.
type Teller struct {
	self     ports.Member
	nonce    uint64
	recorder *Recorder
	members  []ports.Member

	// keeper is the neighbour that is told. It is trusted to answer unless it has
	// failed before and has not answered since.
	keeper  ports.Member
	trusted bool
	// avoided are the neighbours that failed, with the time of it.
	avoided  map[string]time.Time
	chooseAt time.Time
	// left are those that have not been noted yet.
	left []string

	seq uint64
	// whole means that the next message holds all totals.
	whole     bool
	wholeDate Date
	ids       map[dated]uint32

	flights  []tellFlight
	through  uint64
	reported Told
	// outcome and arrival say that something of the kind waits to be told.
	outcome, arrival bool
	bytes            float64
	filledAt         time.Time
	exact            bool
	sentAt           time.Time
	tag              ports.Tag
	timer            ports.Tag
	due              time.Time
}

// tellFlight is a message that waits for its answer.
type tellFlight struct {
	tag     ports.Tag
	through uint64
	at      time.Time
}

// NewTeller returns a part that tells neighbours of self what recorder counts;
// nonce is that of the rows of self's Writer.
func NewTeller(self ports.Member, nonce uint64, recorder *Recorder) *Teller {
	return &Teller{
		self:     self,
		nonce:    nonce,
		recorder: recorder,
		avoided:  make(map[string]time.Time),
		bytes:    tellBurst,
		exact:    true,
	}
}

// Step takes one event.
func (t *Teller) Step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case Start:
		t.filledAt = now
	case MembersChanged:
		t.members = e.Members
		t.chooseAt = time.Time{}
	case Counted:
		t.outcome = t.outcome || e.Outcome
		t.arrival = t.arrival || !e.Outcome
	case ports.PeerDone:
		t.answered(now, e)
	case ports.TimerFired:
		if e.Tag != t.timer {
			return nil
		}
		t.due = time.Time{}
	}
	return t.next(now)
}

// next sends what is to be told now and waits for the rest.
func (t *Teller) next(now time.Time) []ports.Effect {
	var effects []ports.Effect
	t.fill(now)
	if t.late(now) {
		effects = append(effects, t.leave(now))
	}
	t.choose(now)
	if t.keeper.ID != "" && len(t.flights) < tellsInFlight && !now.Before(t.dueAt()) {
		effects = append(effects, t.send(now))
	}
	effects = append(effects, t.report()...)
	return append(effects, t.arm(now)...)
}

// fill adds the bytes saved up since the last time, and decides whether they
// are enough to tell of single outcomes.
func (t *Teller) fill(now time.Time) {
	t.bytes = min(tellBurst, t.bytes+tellRate*now.Sub(t.filledAt).Seconds())
	t.filledAt = now
	switch {
	case t.bytes <= 0:
		t.exact = false
	case t.bytes >= tellResume:
		t.exact = true
	}
}

// dueAt is when the next message is to be sent.
func (t *Teller) dueAt() time.Time {
	switch {
	case t.whole, t.exact && t.outcome, t.exact && t.arrival && t.bytes > tellBurst/2:
		return time.Time{}
	case t.exact && t.arrival:
		return t.sentAt.Add(arrivalDelay)
	default:
		return t.sentAt.Add(tellEvery)
	}
}

// late tells whether the keeper has not answered for too long.
func (t *Teller) late(now time.Time) bool {
	return len(t.flights) > 0 && now.Sub(t.flights[0].at) >= lateAfter
}

// leave gives up the keeper. It may have kept what it did not confirm, and must
// not believe to hold all that will be counted.
func (t *Teller) leave(now time.Time) ports.Effect {
	t.tag++
	t.seq++
	last := ports.PeerCall{Tag: t.tag, To: t.keeper.Addr, Msg: ports.TellCounts{Origin: t.origin(), Seq: t.seq}}
	t.avoid(now)
	return last
}

func (t *Teller) avoid(now time.Time) {
	t.avoided[t.keeper.ID] = now
	t.left = append(t.left, t.keeper.ID)
	t.chooseAt = time.Time{}
	t.flights = nil
}

// choose takes the neighbour that ranks highest among those that answer, and if
// there is none now and then one that did not.
func (t *Teller) choose(now time.Time) {
	if now.Before(t.chooseAt) {
		return
	}
	t.chooseAt = now.Add(askAgain)
	ids := t.neighbours(now, avoidFor)
	if len(ids) == 0 {
		ids = t.neighbours(now, askAgain)
	}
	best := member.PickByHash(ids, keeperDuty+t.self.ID, 1)
	if len(best) == 0 {
		t.keeper, t.trusted, t.flights, t.whole = ports.Member{}, false, nil, false
		return
	}
	i := slices.IndexFunc(t.members, func(m ports.Member) bool { return m.ID == best[0] })
	m := t.members[i]
	if m.ID == t.keeper.ID && m.Incarnation == t.keeper.Incarnation && t.avoided[m.ID].IsZero() {
		return
	}
	t.keeper, t.trusted, t.flights, t.whole = m, t.avoided[m.ID].IsZero(), nil, true
	delete(t.avoided, m.ID)
}

// neighbours returns the entries of the zone that have not failed lately.
func (t *Teller) neighbours(now time.Time, lately time.Duration) []string {
	return slices.DeleteFunc(member.AliveIDs(t.members, t.self.Zone), func(id string) bool {
		return id == t.self.ID || now.Sub(t.avoided[id]) < lately
	})
}

func (t *Teller) origin() ports.CountOrigin {
	return ports.CountOrigin{Instance: t.self.ID, Incarnation: t.self.Incarnation, Zone: t.self.Zone, Nonce: t.nonce}
}

func (t *Teller) send(now time.Time) ports.Effect {
	if today := t.recorder.Today(); t.whole || today != t.wholeDate {
		// The keys of earlier dates are forgotten with the numbers given anew.
		t.whole, t.wholeDate, t.ids = true, today, make(map[dated]uint32)
	}
	msg := ports.TellCounts{Origin: t.origin(), Whole: t.whole, Exact: t.exact}
	all, through := t.totals()
	for _, one := range all {
		msg.Counts = append(msg.Counts, t.count(one))
	}
	t.bytes -= messageBytes
	t.tag++
	t.seq++
	msg.Seq = t.seq
	t.flights = append(t.flights, tellFlight{tag: t.tag, through: through, at: now})
	t.whole, t.outcome, t.arrival = false, false, false
	t.sentAt = now
	return ports.PeerCall{Tag: t.tag, To: t.keeper.Addr, Msg: msg}
}

func (t *Teller) totals() ([]total, uint64) {
	if t.whole {
		return t.recorder.totals()
	}
	return t.recorder.moved()
}

// count makes a counter's total as it travels and takes its cost off the budget.
func (t *Teller) count(one total) ports.ToldCount {
	t.bytes -= countBytes
	told := ports.ToldCount{ID: t.ids[one.dated], Total: one.count}
	if told.ID != 0 {
		return told
	}
	t.bytes -= keyBytes
	told.ID = uint32(len(t.ids) + 1)
	t.ids[one.dated] = told.ID
	told.Key = &ports.CountKey{
		Date: one.date.String(), Kind: string(one.key.Kind), Service: one.key.Service,
		Class: one.key.Class, Reason: one.key.Reason, NotRun: one.key.NotRun,
	}
	return told
}

// answered takes note of what the keeper has.
func (t *Teller) answered(now time.Time, e ports.PeerDone) {
	i := slices.IndexFunc(t.flights, func(f tellFlight) bool { return f.tag == e.Tag })
	if i < 0 {
		return
	}
	f := t.flights[i]
	t.flights = slices.Delete(t.flights, i, i+1)
	reply, ok := e.Reply.Msg.(ports.TellReply)
	switch {
	case e.Reply.Err != nil || !ok:
		t.avoid(now)
	case reply.Resend:
		t.whole = true
		t.flights = nil
	default:
		t.trusted = true
		t.through = max(t.through, f.through)
	}
}

// report notes the neighbours that were left, and what is told if that has changed.
func (t *Teller) report() []ports.Effect {
	var effects []ports.Effect
	for _, id := range t.left {
		effects = append(effects, ports.Note{Value: Left{Neighbour: id}})
	}
	t.left = nil
	told := Told{Through: t.through, Exact: t.exact && t.trusted}
	if told == t.reported {
		return effects
	}
	t.reported = told
	return append(effects, ports.Note{Value: told})
}

// arm waits for what is due next: a message, or an answer that is late.
func (t *Teller) arm(now time.Time) []ports.Effect {
	due := now.Add(tellEvery)
	if t.keeper.ID != "" && len(t.flights) < tellsInFlight {
		due = t.dueAt()
	}
	if len(t.flights) > 0 {
		due = timeMin(due, t.flights[0].at.Add(lateAfter))
	}
	if !t.due.IsZero() && !t.due.After(due) && t.due.After(now) {
		return nil
	}
	t.tag++
	t.timer = t.tag
	t.due = due
	return []ports.Effect{ports.ArmTimer{Tag: t.timer, After: due.Sub(now)}}
}

func timeMin(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
