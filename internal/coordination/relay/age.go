package relay

import "time"

// Times of messages. They follow from each other: however a message of the holder comes
// to an instance, the next one must come before the instance takes it for lost.
const (
	// Interval is the interval of an instance's messages while no request waits for a
	// model.
	Interval = 350 * time.Millisecond
	// UrgentInterval is the interval while requests wait for models.
	UrgentInterval = 100 * time.Millisecond
	// ReportInterval is the interval of a relay's messages to the holder.
	ReportInterval = 150 * time.Millisecond
	// IntervalPerSender is added to the interval of messages to the holder for each
	// instance that sends them, up to MaxSpread, so that the holder's work grows less than
	// their number.
	IntervalPerSender = 2 * time.Millisecond
	MaxSpread         = 100 * time.Millisecond
	// MaxMessageDelay is the time that a message and its reply usually take at most.
	MaxMessageDelay = 150 * time.Millisecond
	// MaxRelayAge is the age of the updates of a relay that works as it should.
	MaxRelayAge = ReportInterval + MaxSpread + MaxMessageDelay
	// MaxAge is the age up to which updates are fresh.
	MaxAge = MaxRelayAge + Interval + MaxMessageDelay
)

// Spread returns what is added to the interval of messages to the holder.
func Spread(senders int) time.Duration {
	return min(time.Duration(senders)*IntervalPerSender, MaxSpread)
}
