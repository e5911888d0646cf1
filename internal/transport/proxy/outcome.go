package proxy

import (
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// ReasonAnswered is the reason of a request that got a target's complete response.
const ReasonAnswered = "answered"

// Ended describes a finished request.
type Ended struct {
	Route   string
	Service string
	Kind    fleet.Kind
	Status  int
	Reason  string
	// NotRun reports that the request cannot have run anywhere.
	NotRun bool
	Waited time.Duration
	// Took is the time until the end, Began until the first event or the complete
	// response.
	Took  time.Duration
	Began time.Duration
	// Goal is the route's goal for the time until the response begins, GapGoal that
	// between two events; 0 for none.
	Goal, GapGoal time.Duration
	Sends         int
}

// setOutcome sets how the request ends, for its last log line.
func (x *exchange) setOutcome(status int, reason string) {
	x.status = status
	x.reason = reason
	x.timeToFirst = x.s.timer.Now().Sub(x.arrived)
}

// logDecision logs whether a request is sent again.
func (x *exchange) logDecision(a *attempt, decision string) {
	e := x.s.log.Info().Str("request", x.call.ID).Str("decision", decision).
		Str("target", a.reservation.Target.ID).Int("sends", x.sends).Int("ran", x.possibleRuns).
		Bool("notRun", a.notRun).Dur("sent", x.sentAt.Sub(x.arrived)).Dur("took", x.s.timer.Now().Sub(x.arrived))
	if a.resp != nil {
		e = e.Int("status", a.resp.StatusCode)
	}
	if a.targetEnded {
		e = e.Bool("targetEnded", true).Strs("parts", x.loggedParts())
	}
	e.Err(a.err).Msg("retry decision")
}

// logEnd reports and logs how the request ended.
func (x *exchange) logEnd() {
	took := x.s.timer.Now().Sub(x.arrived)
	e := Ended{
		Service: x.service, Status: x.status, Reason: x.reason, Took: took, Began: x.timeToFirst, Sends: x.sends,
		NotRun: x.possibleRuns == 0, Waited: x.queueTime,
	}
	if x.route != nil {
		e.Route, e.Kind = x.route.Name, x.route.Kind
		e.Goal, e.GapGoal = x.route.Goal, x.route.GapGoal
	}
	x.s.onEnded(e)
	sent := time.Duration(0)
	if x.sends > 0 {
		sent = x.sentAt.Sub(x.arrived)
	}
	line := x.s.log.Info().Str("request", x.call.ID).Str("route", e.Route).Str("service", e.Service).Int64("version", x.version).Str("team", x.teamName()).
		Str("model", x.call.Model).Str("adapter", x.call.Adapter).Str("target", x.target).
		Int("status", x.status).Str("reason", x.reason).Int("sends", x.sends).Int("ran", x.possibleRuns).
		Dur("waited", x.queueTime).Dur("sent", sent).Dur("began", x.timeToFirst).Dur("took", took).Dur("within", x.timeout).
		Dur("goal", e.Goal).Dur("gapGoal", e.GapGoal).
		Dur("pause", x.maxEventGap).Float64("load", x.load).Int("prompt", x.call.PromptTokens)
	x.logQuota(x.logBlock(x.logLimit(line))).Msg("ended")
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 16

// loggedParts returns the parts of the prompt for a log line.
func (x *exchange) loggedParts() []string {
	var out []string
	for _, p := range x.call.Parts[:min(len(x.call.Parts), maxLoggedParts)] {
		out = append(out, string(p))
	}
	return out
}

// logBlock adds the block that a request was refused or stopped for to its last log line.
func (x *exchange) logBlock(line *log.Entry) *log.Entry {
	if x.block == nil {
		return line
	}
	return line.Str("blockedParts", x.block.Parts).Str("blockScope", string(x.block.Scope)).
		Dur("blockAge", x.s.timer.Now().Sub(x.block.Since())).Int("blockEnds", x.block.Ends)
}

// logLimit adds the rate limit that mattered for a request to its last log line: the
// limit of all instances, how long it has been known, and what this instance had of it.
func (x *exchange) logLimit(line *log.Entry) *log.Entry {
	if x.limit.PerSecond == 0 {
		return line
	}
	return line.Str("limitedTarget", x.limit.Target).Float64("limit", x.limit.PerSecond).Dur("limitAge", x.limit.Age).
		Int("permits", x.limit.Permits).Dur("permitWait", x.limit.Wait)
}
