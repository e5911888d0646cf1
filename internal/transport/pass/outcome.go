package pass

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// ReasonAnswered is the reason of a request that got a target's whole answer.
const ReasonAnswered = "answered"

// Ended tells how a request ended.
type Ended struct {
	Route   string
	Service string
	Kind    fleet.Kind
	Status  int
	Reason  string
	// NotRun tells that the request cannot have run anywhere.
	NotRun bool
	Waited time.Duration
	// Took is the time to the end, Began to the first event or the whole answer.
	Took  time.Duration
	Began time.Duration
	// Goal is what the route wants until the answer begins, GapGoal between two events;
	// 0 for no wish.
	Goal, GapGoal time.Duration
	Sends         int
}

// note remembers how the request ends, for its last log line.
func (x *exchange) note(status int, reason string) {
	x.status = status
	x.reason = reason
	x.began = x.s.timer.Now().Sub(x.arrived)
}

// decided logs why a request is sent again or not.
func (x *exchange) decided(a *sent, what string) {
	e := x.s.log.Info().Str("request", x.call.ID).Str("decision", what).
		Str("target", a.seat.Target.ID).Int("sends", x.sends).Int("ran", x.ran)
	if a.resp != nil {
		e = e.Int("status", a.resp.StatusCode)
	}
	e.Err(a.err).Msg("request")
}

// conclude logs how the request ended.
func (x *exchange) conclude() {
	took := x.s.timer.Now().Sub(x.arrived)
	e := Ended{
		Service: x.service, Status: x.status, Reason: x.reason, Took: took, Began: x.began, Sends: x.sends,
		NotRun: x.ran == 0, Waited: x.waited,
	}
	if x.route != nil {
		e.Route, e.Kind = x.route.Name, x.route.Kind
		e.Goal, e.GapGoal = x.route.Goal, x.route.GapGoal
	}
	x.s.ended(e)
	x.s.log.Info().Str("request", x.call.ID).Str("route", e.Route).Int64("version", x.version).
		Str("model", x.call.Model).Str("adapter", x.call.Adapter).Str("target", x.target).
		Int("status", x.status).Str("reason", x.reason).Int("sends", x.sends).Int("ran", x.ran).
		Dur("waited", x.waited).Dur("began", x.began).Dur("took", took).Dur("within", x.within).
		Dur("goal", e.Goal).Dur("gapGoal", e.GapGoal).
		Dur("pause", x.pause).Float64("load", x.load).Int("prompt", x.call.PromptTokens).Msg("ended")
}
