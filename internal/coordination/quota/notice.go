package quota

import "chivecroft.example/chivecroft/internal/state/fleet"

// Notice is what one response says about the rate limit of its target.
type Notice struct {
	// Text is the limit as the response names it, empty if it names none.
	Text string
	// PerSecond is the limit in requests a second; it is valid if Readable is set.
	PerSecond float64
	Readable  bool
}

// Source is where an instance has learned of a limit.
type Source string

const (
	// SourceResponse is a response of the target itself.
	SourceResponse Source = "response"
)

// Change is a change of the limit that is in force for a target at this instance.
type Change struct {
	Target fleet.Identity
	Source Source
	// PerSecond is the limit in requests a second, 0 if there is none any more.
	PerSecond float64
	// Unreadable is the text of a limit that was ignored because it is not a number.
	Unreadable string
	// InForce is the number of targets with a limit.
	InForce int
}
