package proxy

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// PlanRequest returns what the picker would be asked for if a call of a team, which may be
// nil, arrived now on a route and went to a service.
func PlanRequest(now time.Time, cfg *fleet.Config, route *fleet.Route, service string, team *fleet.Team, call Call) picker.Request {
	timeout := timeoutOf(route, call.Within)
	q := picker.Request{
		Service: service, Priority: priorityOf(team, route), Goal: route.Goal, Arrived: now,
		Deadline: queueDeadline(now.Add(timeout), timeout),
	}
	if team != nil {
		q.Team = team.Name
	}
	if namesModel(cfg, service, call.Model) {
		q.Model, q.Adapter = call.Model, call.Adapter
	}
	return q
}

// timeoutOf returns the timeout of a request whose caller waits for within, 0 if it does
// not say.
func timeoutOf(route *fleet.Route, within time.Duration) time.Duration {
	timeout := defaultTimeout
	if within > 0 {
		timeout = within
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// queueDeadline returns until when a request may be queued.
func queueDeadline(deadline time.Time, timeout time.Duration) time.Time {
	return deadline.Add(-min(time.Duration(responseReserveShare*float64(timeout)), maxResponseReserve))
}

// priorityOf returns the priority of the team, else that of the route.
func priorityOf(team *fleet.Team, route *fleet.Route) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}

// namesModel reports whether a request that names a model needs a target that serves it.
func namesModel(cfg *fleet.Config, service, model string) bool {
	return cfg.Services[service].Engine != nil && model != ""
}
