package once

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// silentAfter is how long calls must have failed, from the first to the last,
	// without an answer between them before new claims are refused at once: one
	// answer that was lost says nothing, however long ago that was.
	silentAfter = time.Second
	// silentFor is how long the last failure counts: one that is older says nothing
	// of the KV service any more.
	silentFor = 5 * time.Second
	// probeEvery is how often a claim is tried all the same, to find out whether the
	// KV service is back.
	probeEvery = 500 * time.Millisecond
)

// silence is what is known of a KV service that does not answer.
//
// A claim waits for as long as its patience lets it, since an answer may be
// lost or late. Once nothing has been answered for a while, waiting is of no use
// to most callers: they hear at once when to come back, and one claim each
// probeEvery goes on to try the service.
type silence struct {
	// since is the first failure after the last answer, zero if there is none, last
	// the newest one.
	since, last time.Time
	probeAt     time.Time
}

// heard takes the end of a call.
func (s *silence) heard(now time.Time, status ports.KVStatus) {
	switch status {
	case ports.KVUnknown, ports.KVUnavailable:
		if s.since.IsZero() {
			s.since = now
		}
		s.last = now
	default:
		s.since = time.Time{}
	}
}

// refuses tells whether a new claim is to be refused without a try.
func (s *silence) refuses(now time.Time) bool {
	if s.since.IsZero() || s.last.Sub(s.since) < silentAfter || now.Sub(s.last) > silentFor {
		return false
	}
	if !now.Before(s.probeAt) {
		s.probeAt = now.Add(probeEvery)
		return false
	}
	return true
}
