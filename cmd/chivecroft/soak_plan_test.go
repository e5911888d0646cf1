package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// disturbance is a kind of fault or planned work that a soak brings about.
type disturbance string

// The disturbances. Those of an instance name one by a number, those of a target too.
const (
	killsInstance   disturbance = "kill instance"
	killsAll        disturbance = "kill all instances"
	freezesInstance disturbance = "freeze instance"
	stopsInstance   disturbance = "stop instance"
	reloadsInstance disturbance = "reload settings"
	// The link of one instance to the store: bytes held back, lost, cut, slow, or held
	// back one way.
	holdsStoreLink   disturbance = "hold link to store"
	losesStoreLink   disturbance = "lose bytes on link to store"
	cutsStoreLink    disturbance = "cut link to store"
	slowsStoreLink   disturbance = "slow link to store"
	deafensStoreLink disturbance = "hold answers of store"
	// The store as a whole.
	refusesStore disturbance = "store refuses"
	slowsStore   disturbance = "store slow"
	losesAnswers disturbance = "store loses answers"
	forgetsStore disturbance = "store forgets history"
	// returnsStore lets the store come back from a copy of up to mostCopyAge before.
	returnsStore disturbance = "store back from an older copy"
	// The link of one instance to one target, and silence on all open connections.
	holdsTargetLink disturbance = "hold link to target"
	cutsTargetLink  disturbance = "cut link to target"
	silences        disturbance = "silence open connections"
	// Targets.
	killsTarget   disturbance = "kill target"
	drainsTarget  disturbance = "drain target"
	losesTarget   disturbance = "target loses answers"
	failsTarget   disturbance = "target fails"
	breaksTarget  disturbance = "target breaks streams"
	garblesTarget disturbance = "target adds bytes"
	fillsTarget   disturbance = "target turns away"
	delaysOrders  disturbance = "target takes orders late"
	namesLimit    disturbance = "target names limit"
	// A part of prompts crashes the targets that begin to answer on it.
	crashesOnPart  disturbance = "part crashes targets"
	changesConfig  disturbance = "change configuration"
	leavesCallers  disturbance = "callers leave early"
	burstsOfCalls  disturbance = "burst of calls"
	burstsOfModels disturbance = "burst over rare models"
	revokesKey     disturbance = "revoke API key"
	pressesTeam    disturbance = "team sends ten times its load"
)

var disturbances = []disturbance{
	killsInstance, killsInstance, killsAll, freezesInstance, freezesInstance, stopsInstance, stopsInstance,
	reloadsInstance, holdsStoreLink, losesStoreLink, cutsStoreLink, slowsStoreLink, deafensStoreLink,
	refusesStore, slowsStore, losesAnswers, forgetsStore, holdsTargetLink, cutsTargetLink, silences,
	killsTarget, killsTarget, drainsTarget, drainsTarget, losesTarget, failsTarget, breaksTarget,
	garblesTarget, fillsTarget, delaysOrders, changesConfig, changesConfig, changesConfig, leavesCallers,
	burstsOfCalls, burstsOfModels,
}

// plannedWork are the disturbances of seeds in which nothing fails.
var plannedWork = []disturbance{
	stopsInstance, stopsInstance, reloadsInstance, drainsTarget, changesConfig, changesConfig, leavesCallers, burstsOfCalls,
}

// event is one disturbance of a plan.
type event struct {
	kind disturbance
	at   time.Duration
	// last is how long it lasts, where it does.
	last time.Duration
	// which chooses the instance or target, other the second end of a link; holder
	// chooses the instance that ordered last instead.
	which, other int
	holder       bool
	// share is the part of requests that it meets, where not all.
	share float64
	// perSecond is the rate limit that a target names.
	perSecond float64
}

// String returns the event as a line of the plan.
func (e event) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s (%d, %d, %t; %.2f, %.2f)",
		e.at.Seconds(), (e.at + e.last).Seconds(), e.kind, e.which, e.other, e.holder, e.share, e.perSecond)
}

// drawPlan draws the disturbances of a seed that begin within a time: some alone, some
// in series of up to three, so that they overlap. In a quarter of the seeds there is
// planned work alone, since most promises about it hold only there.
func drawPlan(random *rand.Rand, within time.Duration) []event {
	var plan []event
	kinds := disturbances
	if random.IntN(4) == 0 {
		kinds = plannedWork
	}
	for n := 6 + random.IntN(6); n > 0; n-- {
		e := event{
			kind: kinds[random.IntN(len(kinds))],
			at:   time.Duration(random.Int64N(int64(within))),
			last: 200*time.Millisecond + time.Duration(random.ExpFloat64()*float64(1500*time.Millisecond)),
		}
		for series := 1 + random.IntN(3); series > 0; series-- {
			e.which, e.other = random.IntN(64), random.IntN(64)
			e.holder = random.IntN(5) < 2
			e.share = 0.1 + 0.6*random.Float64()
			e.last = min(e.last, 6*time.Second)
			plan = append(plan, e)
			e.at += time.Duration(random.Int64N(int64(2 * time.Second)))
		}
	}
	// Limits are drawn last, so that the other disturbances of a seed are what they were
	// before there were limits.
	for n := 1 + random.IntN(3); n > 0; n-- {
		plan = append(plan, event{
			kind: namesLimit, at: time.Duration(random.Int64N(int64(within))), which: random.IntN(64),
			last:      contactTime + time.Duration(random.Int64N(int64(2*fake.LimitWindow))),
			perSecond: 0.5 + 5*random.Float64(),
		})
	}
	// So are parts that crash targets, in half of the seeds with faults.
	if len(kinds) == len(disturbances) && random.IntN(2) == 0 {
		plan = append(plan, event{
			kind: crashesOnPart, at: time.Duration(random.Int64N(int64(within / 2))), which: random.IntN(64),
			last: 2*contactTime + time.Duration(random.Int64N(int64(2*contactTime))), share: 0.02 + 0.2*random.Float64(),
		})
	}
	plan = append(plan, drawTeamPlan(random, within, len(kinds) == len(disturbances))...)
	// And returns of the store, in half of the seeds with faults; some follow each other.
	if len(kinds) == len(disturbances) && random.IntN(2) == 0 {
		for n := 1 + random.IntN(2); n > 0; n-- {
			plan = append(plan, event{
				kind: returnsStore, at: time.Duration(random.Int64N(int64(within))),
				last: time.Duration(random.Int64N(int64(mostCopyAge))), other: random.IntN(64), share: random.Float64(),
			})
		}
	}
	slices.SortStableFunc(plan, func(x, y event) int { return int(x.at - y.at) })
	return plan
}

// drawTeamPlan draws one or two revocations and a team that sends more than usual, in half
// of the seeds after the other disturbances. Of the revocations in seeds with faults, two in
// three meet instances that cannot hear of them until they must refuse the key.
func drawTeamPlan(random *rand.Rand, within time.Duration, withFaults bool) []event {
	var plan []event
	for n := 1 + random.IntN(2); n > 0; n-- {
		e := event{kind: revokesKey, which: random.IntN(64), at: contactTime + time.Duration(random.Int64N(int64(within-contactTime)))}
		plan = append(plan, e)
		// A read that is under way when the disturbance begins ends before the revocation.
		e.at -= time.Second
		e.last = time.Second + soakBounds.Revocation + soakBounds.Revocation/4
		e.kind = []disturbance{freezesInstance, refusesStore, revokesKey}[random.IntN(3)]
		if e.holder = random.IntN(2) == 0; withFaults && e.kind != revokesKey {
			plan = append(plan, e)
		}
	}
	e := event{kind: pressesTeam, which: random.IntN(64), at: within + 2*contactTime, last: 6*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))}
	if random.IntN(2) == 0 {
		e.at = time.Duration(random.Int64N(int64(within)))
	}
	return append(plan, e)
}
