package quota

import "chivecroft.example/chivecroft/internal/state/fleet"

// Limits outside these bounds, in requests a second, are not taken literally.
const (
	// minPerSecond replaces lower limits, 0 included: without a request now and then
	// nobody would learn that a limit has ended.
	minPerSecond = 0.1
	// maxPerSecond is the rate above which a limit counts as none.
	maxPerSecond = 1e5
)

// Notice is what one response says about the rate limit of its target.
type Notice struct {
	// Text is the limit as the response names it, empty if it names none.
	Text string
	// PerSecond is the limit in requests a second; it is valid if Readable is set.
	PerSecond float64
	Readable  bool
}

// rate returns the limit in force after the notice, 0 for none.
func (n *Notice) rate() float64 {
	if !n.Readable || n.PerSecond > maxPerSecond {
		return 0
	}
	return max(n.PerSecond, minPerSecond)
}

// Report tells the lease holder what a target has said to one instance.
type Report struct {
	fleet.Identity
	// PerSecond is the limit in requests a second, 0 if the target names none any more.
	PerSecond float64 `json:"limit,omitempty"`
	// AgeMS is the time since the request was sent whose response said so, in
	// milliseconds.
	AgeMS int64 `json:"ageMs,omitempty"`
}

// Want asks the lease holder for permits.
type Want struct {
	fleet.Identity
	// Queued is the number of requests that wait for a permit.
	Queued int `json:"queued,omitempty"`
	// PatienceMS is the longest time that one of them can wait, in milliseconds.
	PatienceMS int64 `json:"patienceMs,omitempty"`
	// Spare is the number of requests that went to other targets for want of one.
	Spare int `json:"spare,omitempty"`
}

// Grant is the lease holder's answer to a Want.
type Grant struct {
	fleet.Identity
	Permits int `json:"permits,omitempty"`
	// WaitsMS are the expected times until the permits for the queued requests that got
	// none, in milliseconds and in order.
	WaitsMS []int64 `json:"waitsMs,omitempty"`
	// LineMS is the expected time for one request more, in milliseconds.
	LineMS int64 `json:"lineMs,omitempty"`
}

// Source is where an instance has learned of a limit.
type Source string

const (
	// SourceResponse is a response of the target itself.
	SourceResponse Source = "response"
	// SourceHolder is an update of the lease holder.
	SourceHolder Source = "holder"
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
