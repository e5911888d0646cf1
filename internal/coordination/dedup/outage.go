package dedup

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// outageAfter is how long calls must have failed, from the first failure to the last
	// without an answer in between, before new claims are refused at once. A single lost
	// answer does not indicate an outage, however long ago it was.
	outageAfter = time.Second
	// outageExpiry is the age of the last failure from which it no longer says anything
	// about the KV service.
	outageExpiry = 5 * time.Second
	// probeInterval is how often one claim is tried during an outage, to find out whether
	// the KV service is back.
	probeInterval = 500 * time.Millisecond
)

// outageDetector detects that the KV service does not answer.
//
// A claim normally waits until its deadline, since an answer may be lost or late. Once
// nothing has been answered for outageAfter, waiting is of no use to most callers: their
// claims are refused at once with a RetryAfter, and one claim every probeInterval still
// tries the service.
type outageDetector struct {
	// firstFailure is the time of the first failure after the last answer, zero if there
	// is none, and lastFailure the time of the newest one.
	firstFailure, lastFailure time.Time
	nextProbe                 time.Time
}

// recordReply records the status of a finished KV call.
func (s *outageDetector) recordReply(now time.Time, status ports.KVStatus) {
	switch status {
	case ports.KVUnknown, ports.KVUnavailable:
		if s.firstFailure.IsZero() {
			s.firstFailure = now
		}
		s.lastFailure = now
	default:
		s.firstFailure = time.Time{}
	}
}

// shouldRefuse reports whether a new claim is to be refused without a KV call.
func (s *outageDetector) shouldRefuse(now time.Time) bool {
	if s.firstFailure.IsZero() || s.lastFailure.Sub(s.firstFailure) < outageAfter || now.Sub(s.lastFailure) > outageExpiry {
		return false
	}
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(probeInterval)
		return false
	}
	return true
}
