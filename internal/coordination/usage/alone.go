package usage

import (
	"time"
)

const (
	// aloneAfter is how long an instance asks in vain until it decides without a holder.
	aloneAfter = 1500 * time.Millisecond
	// maxCutOff is how long an instance does so unless it has heard that there is no
	// holder. It may be cut off from one that keeps its part back only for that time.
	maxCutOff = 10 * time.Second
	// alonePart is the part of a rate that all instances together admit without a holder.
	alonePart = 0.6
	// aloneTime is how much of its part an instance can save up. All may do so, and then get
	// requests at the same time.
	aloneTime = 4 * time.Second
	// aloneRetryAfter limits the Retry-After of a refusal without a holder, which may be
	// back by then.
	aloneRetryAfter = 5 * time.Second
	// assumedMembers is the number of instances until a holder has told it, that of a large
	// fleet, since a smaller one would exceed the quotas there.
	assumedMembers = 300
)

// aloneBucket is an instance's part of a quota without a holder.
type aloneBucket struct {
	// level is what has been saved up at a time, as the time that it takes at the instance's
	// part of the rate.
	level time.Duration
	at    time.Time
}

// IsAlone reports whether the instance decides without a holder: it has asked in vain for
// aloneAfter, and has not heard of a holder since.
func (s *Share) IsAlone(now time.Time) bool {
	if s.failedAt.IsZero() || s.failedAt.Before(s.repliedAt) {
		return false
	}
	return now.Sub(s.failedAt) > aloneAfter
}

// decideAlone admits a request with the probability that what has been saved up serves it,
// and spends that in any case. So all instances together admit their part of the rate on
// average, even if the part of one is less than a request.
func (s *Share) decideAlone(now time.Time, t *teamShare, d Demand) Outcome {
	share := s.shareOf(t)
	rate := s.bounds.alonePart(t.limit, d.Amount) * t.limit.Rate * share
	out := Outcome{Status: OverQuota, Share: share, IsAlone: true, RetryAfter: aloneRetryAfter}
	if rate <= 0 || !s.isGone && now.Sub(s.failedAt) > maxCutOff {
		out.Status = NoHolder
		return out
	}
	b := &t.alone
	if b.at.IsZero() {
		b.at = s.failedAt.Add(aloneAfter)
	}
	needed := time.Duration(d.Amount / rate * float64(time.Second))
	saved := min(b.level+now.Sub(b.at), aloneTime)
	b.at = now
	if saved < needed && s.random()*float64(needed) >= float64(saved) {
		b.level = 0
		out.RetryAfter = min(needed, aloneRetryAfter)
		return out
	}
	b.level = max(saved-needed, 0)
	p := Permit{Team: d.Team, Amount: d.Amount, Start: now, Until: now.Add(permitLifetime), term: noTerm}
	return Outcome{Permit: p, Share: share, IsAlone: true}
}
