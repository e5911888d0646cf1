package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/usage"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	pathLedger = "/permits/ledger"
	// ledgerTimeout limits how long a successor waits for the ledger of its predecessor. It
	// issues no permits until then.
	ledgerTimeout = 200 * time.Millisecond
	// maxDeadAge is how long after the death of the last holder its successor relies on that it
	// has issued nothing since. The address may belong to another process by then.
	maxDeadAge = 10 * time.Second
	// maxLoggedSilent limits the instances in a log line.
	maxLoggedSilent = 8
)

// teamQuotas is the holder's Ledger for the present term, and that of this instance's last
// term until the successor has it.
type teamQuotas struct {
	mu     sync.Mutex
	ledger *usage.Ledger
	term   int64
	bounds usage.Bounds
	limits []usage.Limit
	// answeredAt is when this instance last issued permits.
	answeredAt time.Time
	// hasAnswered tells whether it was in the present term.
	hasAnswered bool
	// deadAt is when the last holder before this instance was found dead, zero if it was not.
	deadAt time.Time
	// awaitedUntil is the time until which the ledger of the last holder is awaited, zero if it
	// is not.
	awaitedUntil time.Time
	// former is the ledger of this instance's last term, which ended at endedAt; nil if it
	// cannot be handed over. takenBy is the term of the successor that has it.
	former  *usage.Ledger
	endedAt time.Time
	takenBy int64
	// hasSuccessor means that another instance has been the holder since this one's last term.
	hasSuccessor bool
}

func newTeamQuotas() *teamQuotas { return &teamQuotas{ledger: usage.NewLedger(0, time.Time{})} }

// startTerm replaces the Ledger. If this instance was itself the last holder, it continues with
// its own; otherwise it starts with an empty one, and awaits that of the last holder if
// isAwaited. Another instance waits for longer than HolderGap before it takes the place of the
// last holder, but not the last holder itself.
func (q *teamQuotas) startTerm(term int64, now time.Time, isOwn, isAwaited bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.term, q.awaitedUntil = term, time.Time{}
	var h *usage.Handover
	switch {
	case isOwn && !q.hasSuccessor:
		h = q.handOverFormer(term, now)
	case isAwaited:
		q.awaitedUntil = now.Add(ledgerTimeout)
	}
	q.former, q.takenBy, q.hasAnswered, q.hasSuccessor = nil, 0, false, false
	q.newLedger(now, h)
}

// newLedger makes the Ledger of the present term, which takes over another one if h is not nil.
func (q *teamQuotas) newLedger(now time.Time, h *usage.Handover) {
	q.ledger = usage.NewLedger(q.term, timer.Later(now, q.answeredAt.Add(usage.HolderGap)))
	if now.Sub(q.deadAt) < maxDeadAge {
		q.ledger.SetDead(q.deadAt)
	}
	if h != nil {
		q.ledger.TakeOver(now, h)
	}
	q.ledger.SetTeams(now, q.bounds, q.limits)
}

// endTerm keeps the Ledger for a successor. steadyUntil is when this instance stopped being
// certain of its term, and thus issuing permits, at the latest.
func (q *teamQuotas) endTerm(now, steadyUntil time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.awaitedUntil, q.former, q.endedAt = time.Time{}, nil, now
	if q.takenBy == 0 {
		q.former = q.ledger
	}
	if steadyUntil.Before(now) {
		q.endedAt = steadyUntil
	}
	q.term = 0
	q.newLedger(now, nil)
}

// finish ends the wait for the ledger of the last holder, which is nil if there is none. It
// returns false if the term has begun without it.
func (q *teamQuotas) finish(term int64, now time.Time, h *usage.Handover) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if term != q.term || q.awaitedUntil.IsZero() || now.After(q.awaitedUntil) {
		return false
	}
	q.awaitedUntil = time.Time{}
	if h == nil || h.IdleMS > usage.MaxHandoverAge.Milliseconds() {
		return false
	}
	q.newLedger(now, h)
	return true
}

// handOverFormer returns the state of this instance's last term, or nil if it is not available:
// another successor has it, or may have issued permits since.
func (q *teamQuotas) handOverFormer(term int64, now time.Time) *usage.Handover {
	if q.former == nil || now.Sub(q.endedAt) > usage.MaxHandoverAge {
		return nil
	}
	h := q.former.HandOver(now, q.endedAt)
	q.former, q.takenBy = nil, term
	return &h
}

// dropFormer notes that another instance has issued permits since this instance's last term.
func (q *teamQuotas) dropFormer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.former = nil
}

// noteSuccessor notes that another instance is the holder. It may still ask for the ledger of this
// instance's last term.
func (q *teamQuotas) noteSuccessor() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hasSuccessor = true
}

// setDead sets when the last holder before this instance was found dead.
func (q *teamQuotas) setDead(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadAt = at
}

func (q *teamQuotas) setTeams(now time.Time, b usage.Bounds, limits []usage.Limit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bounds, q.limits = b, limits
	q.ledger.SetTeams(now, b, limits)
}

func (q *teamQuotas) levels(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Levels(now)
}

// stop returns the error of a message to an instance that issues no permits: a stopError if that is
// because its lease has been in doubt since steadyUntil or its term has ended, and nobody has got its
// ledger since.
func (q *teamQuotas) stop(now, steadyUntil time.Time, m usage.Message) error {
	ledger, since := q.former, q.endedAt
	if q.term != 0 {
		ledger, since = q.ledger, timer.Later(steadyUntil, q.answeredAt)
		if !q.hasAnswered {
			ledger = nil
		}
	}
	if ledger == nil || q.takenBy != 0 || since.After(now) {
		return errNoPermits
	}
	return stopError{ledger.Stop(now, since, m)}
}

// answerPermits answers an instance's message. It returns an error if this instance is not the
// holder, is not sure that it still is, has no configuration, or awaits the ledger of the last
// holder.
func (k *coordinator) answerPermits(m usage.Message) (usage.Reply, error) {
	k.mu.Lock()
	isSteady := k.status.IsSteady(k.clock.Now()) && k.config != nil
	steadyUntil := k.status.SteadyUntil()
	members := len(k.members)
	k.mu.Unlock()
	q := k.teamQuotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := k.clock.Now()
	if !isSteady || q.term == 0 || q.takenBy != 0 || now.Before(q.awaitedUntil) {
		return usage.Reply{}, q.stop(now, steadyUntil, m)
	}
	q.answeredAt, q.hasAnswered = now, true
	before := q.ledger.Silent()
	out := q.ledger.Answer(q.answeredAt, members, m)
	if silent := q.ledger.Silent(); !slices.Equal(before, silent) {
		k.log.Info().Int("instances", len(silent)).Strs("names", silent[:min(len(silent), maxLoggedSilent)]).
			Msg("quotas kept back for silent instances")
	}
	return out, nil
}

// ledgerRequest asks for the ledger of the last holder for a term.
type ledgerRequest struct {
	From string `json:"from"`
	Term int64  `json:"term"`
	// TermNumber orders the term among those of all instances.
	TermNumber uint64 `json:"termNumber,omitempty"`
}

// ledgerRefusal is the body of a response without a ledger. TakenBy is the term of the
// successor that has got it, 0 if none has.
type ledgerRefusal struct {
	TakenBy int64 `json:"takenBy,omitempty"`
}

// handOver returns the ledger of this instance's last term for a successor's, and nil if it is
// not available. A holder that is no longer certain of its term ends issuing permits with it, and
// so does one whose successor asks before it has learned that it has lost the key. Otherwise one
// that is certain hands nothing over.
func (k *coordinator) handOver(m ledgerRequest) (h *usage.Handover, takenBy int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, q := k.clock.Now(), k.teamQuotas
	isSuperseded := k.status.IsHolder && m.TermNumber > k.status.TermNumber
	if k.status.IsSteady(now) && !isSuperseded {
		return nil, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if k.status.IsHolder && q.takenBy == 0 && q.awaitedUntil.IsZero() {
		q.former, q.endedAt = q.ledger, timer.Earlier(now, k.status.SteadyUntil())
	}
	h = q.handOverFormer(m.Term, now)
	if isSuperseded {
		q.takenBy = m.Term
	}
	return h, q.takenBy
}

// errNoTerm is the error of a request for the ledger that does not say for which term.
var errNoTerm = errors.New("the request names no term")

// serveLedger answers the request of a successor.
func (e *Edge) serveLedger(w http.ResponseWriter, r *http.Request) {
	var m ledgerRequest
	err := json.NewDecoder(r.Body).Decode(&m)
	if err == nil && m.Term == 0 {
		err = errNoTerm
	}
	if err != nil {
		rejectMessage(w, r, err)
		return
	}
	acceptMessage(r)
	h, takenBy := e.coordinator.handOver(m)
	if h != nil {
		e.log.Info().Str("to", m.From).Int64("term", m.Term).Int("teams", len(h.Accounts)).Int64("idleMs", h.IdleMS).
			Msg("quota ledger handed over")
		e.writeJSON(w, r, h)
		return
	}
	e.log.Info().Str("to", m.From).Int64("term", m.Term).Int64("takenBy", takenBy).Msg("quota ledger not available")
	data, err := json.Marshal(ledgerRefusal{TakenBy: takenBy})
	if err != nil {
		e.log.Error().Err(err).Msg("cannot encode the refusal")
	}
	w.WriteHeader(http.StatusGone)
	_, _ = w.Write(data)
}

// takeOverLedger asks the last holder for its ledger at the beginning of a term.
func (e *Edge) takeOverLedger(ctx context.Context, s elect.Status, term int64) {
	began := e.clock.Now()
	h, err := e.peerClient.ledger(ctx, s.Former, ledgerRequest{From: e.boot.Instance, Term: term, TermNumber: s.TermNumber})
	now := e.clock.Now()
	if isTaken := e.coordinator.teamQuotas.finish(term, now, h); !isTaken {
		e.log.Warn().Str("from", s.Former.String()).Err(err).Dur("took", now.Sub(began)).Msg("quota ledger not taken over")
		return
	}
	e.log.Info().Str("from", s.Former.String()).Int("teams", len(h.Accounts)).Int64("idleMs", h.IdleMS).
		Dur("took", now.Sub(began)).Msg("quota ledger taken over")
}

// ledger asks another instance for the ledger of its last term.
func (p *peerClient) ledger(ctx context.Context, to netip.AddrPort, m ledgerRequest) (*usage.Handover, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	a, err := p.postJSON(ctx, to, pathLedger, m)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, trace.NotFound("HTTP status %d: %.100s", a.status, a.body)
	}
	var h usage.Handover
	if err := json.Unmarshal(a.body, &h); err != nil {
		return nil, trace.BadParameter("ledger: %v", err)
	}
	return &h, nil
}
