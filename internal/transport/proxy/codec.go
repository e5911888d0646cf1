package proxy

import (
	"net/http"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/quota"
)

// Codec translates the headers of requests and responses.
type Codec interface {
	// Decode reads a caller's request headers.
	Decode(r *http.Request) (Call, error)
	// Key returns the API key in a caller's request headers, empty if there is none.
	Key(in http.Header) string
	// Challenge returns the header of a response to a caller without a valid key.
	Challenge() (name, value string)
	// Outgoing returns the headers of a request to a target, made from the caller's.
	Outgoing(in http.Header, s Send) http.Header
	// Incoming reads the headers of a target's response.
	Incoming(resp *http.Response) Reply
	// RetryAfter returns the header that tells a caller when to retry.
	RetryAfter(d time.Duration) (name, value string)
}

// Call holds what the headers of a caller's request say.
type Call struct {
	// ID identifies the request. Each retry by the caller has its own.
	ID string
	// Within is how long the caller waits, 0 if it does not say.
	Within time.Duration
	// LastEvent is the ID of the last event of a stream that the caller has.
	LastEvent    string
	Model        string
	Adapter      string
	PromptTokens int
	// MaxTokens is the maximum number of tokens of the response, 0 if the request does not
	// name it.
	MaxTokens int
	// Parts are the IDs of the parts of the prompt that other requests may share: all but
	// the last, each once.
	Parts []crash.Part
}

// Send holds what the headers of a request to a target are to say.
type Send struct {
	Target string
	// Within is the time left for the response.
	Within   time.Duration
	Engine   bool
	Priority int
	// LastEvent is the ID of the event after which a stream is to continue, empty for the
	// beginning.
	LastEvent string
	// HasTeams reports whether credentials are for this system alone, so that no target
	// gets them. Team is the caller's team then, empty if it has none.
	HasTeams bool
	Team     string
}

// Reply holds what the headers of a target's response say.
type Reply struct {
	ID     string
	Signed bool
	// NotRun reports that the target has not run the request and will not.
	NotRun bool
	// Elsewhere reports that another target now uses the address.
	Elsewhere bool
	// Leaving reports that the target is shutting down and wants no more requests.
	Leaving bool
	// Rest is how long the target wants no requests from this instance, 0 if it does not
	// say.
	Rest time.Duration
	// Limit is the rate limit that the target names for all instances together.
	Limit quota.Notice
	// Running and Waiting are the target's reported load; valid if LoadKnown.
	LoadKnown bool
	Running   int
	Waiting   int
	// Pace is how long work takes at the target now, as a multiple of the usual time; 0 if
	// the response does not say.
	Pace float64
}

// outcome adds the load reported in the response to the outcome of its request.
func (r *Reply) outcome(out picker.Outcome) picker.Outcome {
	out.LoadKnown, out.Running, out.Waiting = r.LoadKnown, r.Running, r.Waiting
	out.Pace = r.Pace
	return out
}
