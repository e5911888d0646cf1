package usage

import (
	"math"
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
	// deadTime is how long the instances use the full refill of a dead holder's bucket. A
	// successor begins at about its end, with an empty bucket.
	deadTime = 1500 * time.Millisecond
	// stopTime is how long an instance decides without a holder, from the sending of a message, after
	// the holder has told it that its ledger has stopped. An instance with waiting requests is told
	// again before that; a ledger that goes on is charged for this time.
	stopTime = 350 * time.Millisecond
	// longStop is the length of a stop after which what the ledger had reserved has certainly started.
	longStop = 2 * time.Second
	// stopSpare is the part of a stopped ledger's bucket that the instances may use.
	stopSpare = 0.5
	// spareDeviations is the number of standard deviations of the use that are kept back of
	// what a dead holder's bucket had left.
	spareDeviations = 1
	// assumedMembers is the number of instances until a holder has told it, that of a large
	// fleet, since a smaller one would exceed the quotas there.
	assumedMembers = 300
)

// Failure is why a message has got no reply.
type Failure uint8

const (
	// NoReply means that nothing is known of the holder: it may be alive.
	NoReply Failure = iota
	// NotHolder means that the instance asked knows no holder and is none itself.
	NotHolder
	// HolderDead means that the holder's process has ended: its address refuses new
	// connections.
	HolderDead
)

// aloneBucket is an instance's part of a quota without a holder.
type aloneBucket struct {
	// spare is the instance's part of what a dead holder's bucket had left, in units, with its
	// refill up to filledAt. It is negative as long as that is below the reserve.
	spare    float64
	filledAt time.Time
	// level is what has been saved up at a time, as the time that it takes at the instance's
	// part of the rate.
	level time.Duration
	at    time.Time
}

// IsAlone reports whether the instance decides without a holder: the holder is dead, or the
// instance has asked in vain for aloneAfter, and it has not heard of a holder since.
func (s *Share) IsAlone(now time.Time) bool {
	if !s.deadAt.IsZero() {
		return true
	}
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
		*b = s.openAlone(t, d.Amount)
	}
	b.fill(now, s.deadAt, t.limit.Rate*share)
	spare := max(b.spare, 0)
	needed := time.Duration(max(d.Amount-spare, 0) / rate * float64(time.Second))
	saved := b.level
	if now.After(b.at) {
		saved, b.at = min(b.level+now.Sub(b.at), aloneTime), now
	}
	if have := spare + saved.Seconds()*rate; have < d.Amount && s.random()*d.Amount >= have {
		b.spare, b.level = min(b.spare, 0), 0
		out.RetryAfter = min(needed, aloneRetryAfter)
		return out
	}
	b.spare, b.level = min(b.spare, max(b.spare-d.Amount, 0)), max(saved-needed, 0)
	if s.isStopped(now, t) {
		t.admitted += d.Amount
	}
	p := Permit{Team: d.Team, Amount: d.Amount, Start: now, Until: now.Add(permitLifetime), term: noTerm}
	return Outcome{Permit: p, Share: share, IsAlone: true}
}

// openAlone returns the bucket at the beginning of a time without a holder. After one that did
// not reply, nothing is known of what it has issued since. A dead one has issued nothing more:
// the instances share what its bucket had left and its refill of deadTime. What it had reserved
// ahead may start for up to maxDelay.
func (s *Share) openAlone(t *teamShare, amount float64) aloneBucket {
	switch {
	case s.deadAt.IsZero() && s.stoppedAt.IsZero():
		return aloneBucket{at: s.failedAt.Add(aloneAfter)}
	case s.deadAt.IsZero():
		return aloneBucket{at: s.stoppedAt, spare: stopSpare * t.levelAsOf(s.stoppedAt) * s.shareOf(t)}
	}
	out := aloneBucket{at: s.deadAt.Add(deadTime), filledAt: s.deadAt.Add(maxDelay)}
	if level := t.levelAsOf(s.deadAt); level > 0 {
		out.spare, out.filledAt = level, s.deadAt
	}
	// All instances may be asked for their parts at once, and each decides at random.
	total := out.spare + t.limit.Rate*out.at.Sub(out.filledAt).Seconds()
	out.spare = (out.spare - spareDeviations*math.Sqrt(total*amount)) * s.shareOf(t)
	return out
}

// levelAsOf returns the level of the team's bucket that was last told, 0 if that was too long
// before a time or is unknown.
func (t *teamShare) levelAsOf(at time.Time) float64 {
	if t.levelAt.IsZero() || at.Sub(t.levelAt) >= silentAfter {
		return 0
	}
	return max(t.level, 0)
}

// fill adds the refill of a dead holder's bucket, at the instance's part of the rate.
func (b *aloneBucket) fill(now, deadAt time.Time, rate float64) {
	if end := deadAt.Add(deadTime); now.After(end) {
		now = end
	}
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.spare += rate * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
}

// noteFailure notes why the message that was sent at a time has got no reply.
func (s *Share) noteFailure(now, sentAt time.Time, why Failure) {
	s.isGone = s.isGone || why == NotHolder
	if s.failedAt.IsZero() || sentAt.Before(s.failedAt) {
		s.failedAt = sentAt
	}
	// An instance that is no longer the holder may end while another one issues permits. A term
	// whose holder has replied after it was taken for dead is not ended a second time, since
	// what the dead holder had left can be used only once.
	if why == HolderDead && !s.isGone && s.deadAt.IsZero() && s.term != s.deadTerm {
		s.deadAt, s.deadTerm = now, s.term
	}
}

// DeadAt returns when the holder was found dead, zero if it was not.
func (s *Share) DeadAt() time.Time { return s.deadAt }

// Stopped notes that the instance asked has refused a message because its ledger has stopped. Only
// that of the present term counts.
func (s *Share) Stopped(now time.Time, sent *Sent, stop Stop) {
	if !sent.isDone && stop.Term == s.term && s.term != 0 {
		at := now.Add(-time.Duration(stop.ForMS) * time.Millisecond)
		// The time on the way differs between messages. A ledger that has gone on in the meantime
		// was charged only for its last stop, so that nothing is left of the time before.
		if s.stoppedAt.IsZero() || at.Sub(s.stoppedAt) > stopTime {
			s.stoppedAt = at
			for _, t := range s.teams {
				t.alone = aloneBucket{}
			}
		}
		for _, ask := range sent.Message.Asks {
			if t := s.teams[ask.Team]; t != nil && ask.isForRequest() && sent.at.After(t.toldStopAt) {
				t.toldStopAt = sent.at
			}
		}
		if sent.at.After(s.toldStopAt) {
			// The time without a holder that is not heard begins only now.
			s.toldStopAt, s.failedAt = sent.at, sent.at
		}
	}
	s.Fail(now, sent, NotHolder)
}

// HasStopped reports whether the holder has told that its ledger has stopped, and no holder has replied
// since.
func (s *Share) HasStopped() bool { return !s.stoppedAt.IsZero() }

// isStopped reports whether the holder has told lately that it issues no permits for a team because its
// ledger has stopped.
func (s *Share) isStopped(now time.Time, t *teamShare) bool {
	return !s.stoppedAt.IsZero() && now.Sub(t.toldStopAt) < stopTime
}

// isLate reports whether a reply was under way when the holder died or its ledger stopped.
func (s *Share) isLate(sent *Sent, r Reply) bool {
	return !s.deadAt.IsZero() && r.Term == s.deadTerm && sent.at.Before(s.deadAt) ||
		!s.stoppedAt.IsZero() && r.Term == s.term && sent.at.Before(s.toldStopAt)
}

// canAwaitSuccessor reports whether a request that was refused without a holder may wait for a
// successor for the rest of its time: after the holder's death, one is about to begin. A ledger that has
// stopped may also go on.
func (s *Share) canAwaitSuccessor(o Outcome, t *teamShare, now time.Time) bool {
	return o.Status == OverQuota && (!s.deadAt.IsZero() || s.isStopped(now, t))
}
