package load

import (
	"time"
)

const (
	// rampPeriod is the time between two changes of a limit. It exceeds the age of most
	// snapshots, so that the outcomes are those of the limit in force.
	rampPeriod = 600 * time.Millisecond
	// MinStartLimit is the least number of requests in flight that a target may have at
	// its start. Limits below it are for targets that reject or fail requests. startShare
	// is the same as a share of its slots.
	MinStartLimit = 2
	startShare    = 1.0 / 16
	// maxBadShare is the share of late and rejected requests in a period from which on the
	// limit is halved, maxGoodShare that up to which it is doubled. Some answers are late at
	// any target of a busy service.
	maxBadShare  = 0.5
	maxGoodShare = 0.25
	// maxRamp is how long a target has a limit at most.
	maxRamp = 8 * time.Second
	// troubleWindow is the period in which a target that rejects everything is detected,
	// minTrouble the number of rejections that this takes.
	troubleWindow = time.Second
	minTrouble    = 5
	// fullShare is the share of the slots from which on a target may reject requests
	// because it is full.
	fullShare = 0.75
)

// Outcomes counts the requests at a target that were answered in time, too late, or not at
// all because the target rejected them, failed or could not be reached.
type Outcomes struct{ InTime, Late, Rejected int }

func (o *Outcomes) add(n Outcomes) {
	o.InTime += n.InTime
	o.Late += n.Late
	o.Rejected += n.Rejected
}

// Ramps limits the requests in flight at targets that have just started or recovered
// ("slow start"), by target index.
//
// A limit starts small. It doubles after each period in which the target's answers arrive
// in time, and halves after one in which they are late or rejected. Once it reaches the
// target's slots it ends.
type Ramps struct {
	ramps map[int]*ramp
	// trouble holds the outcomes at targets without a limit that have rejected requests.
	trouble map[int]*trouble
	// onChange is told of each change of a limit.
	onChange func(RampChange)
	// isOff means that no target gets a limit. Starts and rejections are still reported.
	isOff bool
}

// RampChange is a change of a target's limit.
type RampChange struct {
	// Target is the target's id.
	Target string
	// Limit is the new limit of all instances' requests in flight, 0 if it has ended or if
	// targets get no limits.
	Limit, Slots int
	// Cause is why it has changed.
	Cause string
	// Outcomes are what the change follows from; they are zero for a target that has
	// started.
	Outcomes Outcomes

	index int
}

// The causes of a change of a limit.
const (
	// CauseStarted means that the target has started.
	CauseStarted = "started"
	// CauseRejecting means that the target had no limit and has rejected or failed all
	// requests for a while.
	CauseRejecting = "rejecting"
	// CauseAnswers means the answers of a period.
	CauseAnswers = "answers"
	// CauseTime means that the target has had a limit for the longest time.
	CauseTime = "time"
)

type ramp struct {
	slots, limit int
	startedAt    time.Time
	steppedAt    time.Time
	outcomes     Outcomes
}

type trouble struct {
	since    time.Time
	outcomes Outcomes
}

// NewRamps returns Ramps without limits, which call onChange for each change.
func NewRamps(onChange func(RampChange)) *Ramps {
	return &Ramps{ramps: make(map[int]*ramp), trouble: make(map[int]*trouble), onChange: onChange}
}

// Start sets the first limit of a target that has started.
func (r *Ramps) Start(now time.Time, index, slots int) {
	r.start(now, index, slots, max(MinStartLimit, int(startShare*float64(slots))), CauseStarted, Outcomes{})
}

func (r *Ramps) start(now time.Time, index, slots, limit int, cause string, o Outcomes) {
	delete(r.trouble, index)
	if r.isOff {
		limit = 0
	}
	if limit >= slots {
		delete(r.ramps, index)
		if cause == CauseStarted {
			r.onChange(RampChange{index: index, Slots: slots, Cause: cause})
		}
		return
	}
	r.ramps[index] = &ramp{slots: slots, limit: limit, startedAt: now, steppedAt: now}
	r.onChange(RampChange{index: index, Limit: limit, Slots: slots, Cause: cause, Outcomes: o})
}

// Stop forgets a target that is gone.
func (r *Ramps) Stop(index int) {
	delete(r.ramps, index)
	delete(r.trouble, index)
}

// Record adds the outcomes that an instance reports of a target that has inFlight requests
// of all instances. A target without a limit gets one if it rejects everything: it serves
// a few requests first when it recovers.
func (r *Ramps) Record(now time.Time, index, slots, inFlight int, o Outcomes) {
	if p := r.ramps[index]; p != nil {
		p.outcomes.add(o)
		return
	}
	t := r.trouble[index]
	if t == nil || now.Sub(t.since) > troubleWindow {
		t = &trouble{since: now}
		r.trouble[index] = t
	}
	t.outcomes.add(o)
	answered := t.outcomes.InTime + t.outcomes.Late
	if t.outcomes.Rejected >= minTrouble && answered == 0 && float64(inFlight) < fullShare*float64(slots) {
		r.start(now, index, slots, 1, CauseRejecting, t.outcomes)
	}
}

// Step changes the limits whose period is over. inFlight returns the requests in flight of
// all instances at a target.
func (r *Ramps) Step(now time.Time, inFlight func(index int) int) {
	for index, p := range r.ramps {
		if now.Sub(p.steppedAt) < rampPeriod {
			continue
		}
		was, outcomes, cause := p.limit, p.outcomes, CauseAnswers
		if !r.isOff {
			p.step(now, inFlight(index))
		}
		if isOver := now.Sub(p.startedAt) > maxRamp; isOver || p.limit >= p.slots {
			delete(r.ramps, index)
			if isOver {
				cause = CauseTime
			}
			p.limit = 0
		}
		if p.limit != was {
			r.onChange(RampChange{index: index, Limit: p.limit, Slots: p.slots, Cause: cause, Outcomes: outcomes})
		}
	}
	for index, t := range r.trouble {
		if now.Sub(t.since) > troubleWindow {
			delete(r.trouble, index)
		}
	}
}

// step changes the limit after a period. It stays as it is without any outcome, and if
// less than half of it was used. Requests in flight beyond the limit were sent before the
// instances knew it; the target is to get new ones before all of them have ended.
func (p *ramp) step(now time.Time, inFlight int) {
	bad := p.outcomes.Late + p.outcomes.Rejected
	isUsed := 2*inFlight >= p.limit || p.outcomes.InTime >= p.limit
	switch all := bad + p.outcomes.InTime; {
	case all == 0, !isUsed && bad == 0:
	case p.outcomes.Rejected == all:
		// What is in flight from before says little about what the target takes now.
		p.limit = max(max(p.limit, min(inFlight, p.slots)/2)/2, 1)
	case float64(bad) > maxBadShare*float64(all):
		p.limit = max(max(p.limit, min(inFlight, p.slots))/2, 1)
	case float64(bad) <= maxGoodShare*float64(all):
		p.limit = 2 * max(p.limit, min(inFlight, p.slots))
	}
	p.outcomes = Outcomes{}
	p.steppedAt = now
}

// limits returns the limits by index.
func (r *Ramps) limits() Counts {
	if len(r.ramps) == 0 {
		return nil
	}
	highest := 0
	for index := range r.ramps {
		highest = max(highest, index)
	}
	dense := make([]int, highest+1)
	for index, p := range r.ramps {
		dense[index] = p.limit
	}
	return newCounts(dense)
}
