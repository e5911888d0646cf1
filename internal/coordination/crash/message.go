package crash

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Accusation names requests whose answer had not begun when their target ended. Times are
// ages in milliseconds as of the message, since clocks of instances differ.
type Accusation struct {
	Target   fleet.Identity `json:"target"`
	Service  string         `json:"service"`
	Requests []Accused      `json:"requests"`
}

// Accused is one request of an Accusation.
type Accused struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Parts   []Part `json:"parts"`
	// SentAgeMS is the time since the request was sent, EndAgeMS the time since its
	// target ended.
	SentAgeMS int64 `json:"sentMs"`
	EndAgeMS  int64 `json:"endMs"`
}

// Proof says that a target has survived the beginning of an answer on a part.
type Proof struct {
	Subject
	AgeMS int64 `json:"ageMs"`
}

// Report is what an instance tells the lease holder.
type Report struct {
	// Version identifies the blocks that the instance has from the holder's term.
	Version     uint64       `json:"version,omitempty"`
	Accusations []Accusation `json:"accusations,omitempty"`
	Proofs      []Proof      `json:"proofs,omitempty"`
	// Blocks lists those that the holder may not know: it may be a new one, or an
	// operator has lifted them at this instance.
	Blocks []Block `json:"blocks,omitempty"`
	// Wanted lists the blocks that may be tried and for which a request has come.
	Wanted []BlockKey `json:"wanted,omitempty"`
	// Tests lists the suspects of which no target has survived a request of this instance,
	// and for which a request has come.
	Tests []Subject `json:"tests,omitempty"`

	// accused are the requests in Accusations, for the instance that has made the report.
	accused []*accusedRequest
}

// Kept holds accusations that another instance is to keep, since the one that has made
// them ends.
type Kept struct {
	// Term is the holder's term that knows of them, 0 if none does.
	Term        int64        `json:"term,omitempty"`
	Accusations []Accusation `json:"accusations"`
}

// IsEmpty reports whether there is nothing to tell.
func (r *Report) IsEmpty() bool {
	return r.Version == 0 && len(r.Accusations)+len(r.Proofs)+len(r.Blocks)+len(r.Wanted)+len(r.Tests) == 0
}

// Reply is the holder's answer to a Report.
type Reply struct {
	Version uint64 `json:"version,omitempty"`
	// Blocks lists all of them if the instance's version differs.
	Blocks []Block `json:"blocks,omitempty"`
	// Suspects are the accused of which instances are to report proofs.
	Suspects []Subject `json:"suspects,omitempty"`
	// Guarded lists the suspects that one more end of a target blocks: requests with them need
	// a permission.
	Guarded []Subject `json:"guarded,omitempty"`
	// Trials lists the blocks that the instance may let one request through for.
	Trials []BlockKey `json:"trials,omitempty"`
	// Tests lists the suspects that the instance may send one request with.
	Tests []Subject `json:"tests,omitempty"`
}

// Block says that requests are not sent, or that an operator or a trial has lifted that.
type Block struct {
	BlockKey
	// Revision grows with each change, so that the latest state wins.
	Revision int  `json:"revision"`
	Lifted   bool `json:"lifted,omitempty"`
	// Ends is the number of targets that have ended under the parts, Trials the number of
	// trials that ended another one.
	Ends   int `json:"ends,omitempty"`
	Trials int `json:"trials,omitempty"`
	// AgeMS is the time since the block came into force.
	AgeMS int64 `json:"ageMs"`

	since time.Time
}

// Since returns when the block came into force, by the clock of the instance that has it.
func (b *Block) Since() time.Time { return b.since }

// IsActive reports whether requests are blocked.
func (b *Block) IsActive() bool { return !b.Lifted }

// TrialAt returns when one request may be let through to find out whether targets survive
// it now. It returns false if no further trial is allowed: an operator has to lift the
// block.
func (b *Block) TrialAt() (time.Time, bool) {
	if b.Trials >= len(trialDelays) {
		return time.Time{}, false
	}
	return b.since.Add(trialDelays[b.Trials]), true
}

// trialDelays are the times from the beginning of a block, or from a trial that ended a
// target, until the next trial. After the last one there is none, so that a part that
// stays deadly ends only so many targets more.
var trialDelays = [...]time.Duration{5 * time.Minute, 30 * time.Minute, 3 * time.Hour}
