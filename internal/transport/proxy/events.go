package proxy

import (
	"bytes"
	"errors"
	"io"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Limits of a stream from a target.
const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 256 << 10
	// initialBufferBytes is the size of a reader's buffer until an event needs more.
	initialBufferBytes = 4 << 10
	// keptBufferBytes is the size above which an empty buffer is released.
	keptBufferBytes = 16 << 10
	// The stall timeout, which limits how long a stream may send bytes without an event,
	// is the larger of stallGoalFactor times the route's goal for the first event and
	// stallGapFactor times its goal between events. Both are multiples because callers
	// wait for longer than the goals.
	stallGoalFactor = 4
	stallGapFactor  = 8
	// minStallTimeout is the lower limit of the stall timeout, before
	// resumableStallShare.
	minStallTimeout = 2 * time.Second
	// defaultStallTimeout applies to routes without goals.
	defaultStallTimeout = 30 * time.Second
	// resumableStallShare is the part of the timeout that applies to resumable streams,
	// which lose little if they are cut by mistake.
	resumableStallShare = 0.5
)

var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEventTooLong   = errors.New("event of the stream exceeds the size limit")
	errNotEvent       = errors.New("stream contains the head of another response")
	errNoEvents       = errors.New("stream ended with its connection before its first event")
	errTargetEnded    = errors.New("body ended with its connection, and its target has ended")
	errStalled        = errors.New("stream stalled: it sends bytes but no events")
)

// stallTimeout returns how long a stream of the route may send bytes without an event. A
// stream that sends nothing may be queued at the target and is limited only by its
// deadline.
func stallTimeout(r *fleet.Route) time.Duration {
	d := max(stallGoalFactor*r.Goal, stallGapFactor*r.GapGoal)
	if d == 0 {
		d = defaultStallTimeout
	}
	d = max(d, minStallTimeout)
	if r.Resumable {
		d = time.Duration(resumableStallShare * float64(d))
	}
	return d
}

// eventReader splits a target's response into events, in bounded memory.
type eventReader struct {
	body         io.Reader
	timer        timer.Service
	stallTimeout time.Duration
	// reserve and release account for the buffer beyond its initial size.
	reserve func(n int64) bool
	release func(n int64)

	// buf holds what was read. The next event begins at start, and its end is not before
	// scanned.
	buf     []byte
	start   int
	scanned int
	// waitingSince is when the first byte after the latest progress came, zero if none
	// has.
	waitingSince time.Time
}

func newEventReader(body io.Reader, t timer.Service, timeout time.Duration) *eventReader {
	return &eventReader{
		body: body, timer: t, stallTimeout: timeout, buf: make([]byte, 0, initialBufferBytes),
		reserve: func(int64) bool { return true }, release: func(int64) {},
	}
}

// next returns the next complete event, which is valid until the following call. It
// returns io.EOF at the end of a stream that ends between events.
func (r *eventReader) next() ([]byte, error) {
	for {
		if event := r.takeEvent(); event != nil {
			return event, nil
		}
		if r.stalled() {
			return nil, errStalled
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// markProgress records that the event just returned advances the response.
func (r *eventReader) markProgress() {
	r.waitingSince = time.Time{}
	if r.start < len(r.buf) {
		r.waitingSince = r.timer.Now()
	}
}

// hasNext reports whether the buffer contains a complete event.
func (r *eventReader) hasNext() bool {
	return eventEnd(r.buf[r.start:]) > 0
}

func (r *eventReader) stalled() bool {
	return !r.waitingSince.IsZero() && r.timer.Now().Sub(r.waitingSince) > r.stallTimeout
}

// takeEvent removes a complete event from the buffer and returns it, nil if there is
// none.
func (r *eventReader) takeEvent() []byte {
	n := eventEnd(r.buf[r.scanned:])
	if n == 0 {
		// The end of the event may lie across the boundary between two reads.
		r.scanned = max(r.start, len(r.buf)-len("\n\r"))
		return nil
	}
	event := r.buf[r.start : r.scanned+n]
	r.start = r.scanned + n
	r.scanned = r.start
	return event
}

// fill reads more of the response.
func (r *eventReader) fill() error {
	if err := r.ensureSpace(); err != nil {
		return err
	}
	n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	if n > 0 {
		if r.waitingSince.IsZero() {
			r.waitingSince = r.timer.Now()
		}
		// The next read returns the error again.
		return nil
	}
	if errors.Is(err, io.EOF) && len(r.buf) > r.start {
		return errTruncatedEvent
	}
	return err
}

// ensureSpace moves the rest to the front of the buffer, enlarges a full buffer and
// releases a large one that is empty.
func (r *eventReader) ensureSpace() error {
	kept := copy(r.buf, r.buf[r.start:])
	r.buf = r.buf[:kept]
	r.scanned -= r.start
	r.start = 0
	if kept == 0 && cap(r.buf) > keptBufferBytes {
		r.release(int64(cap(r.buf) - initialBufferBytes))
		r.buf = make([]byte, 0, initialBufferBytes)
	}
	if kept < cap(r.buf) {
		return nil
	}
	if kept >= maxEventBytes {
		return errEventTooLong
	}
	size := min(2*cap(r.buf), maxEventBytes)
	if !r.reserve(int64(size)) {
		return errNoMemory
	}
	larger := make([]byte, kept, size)
	copy(larger, r.buf)
	r.release(int64(cap(r.buf)))
	r.buf = larger
	return nil
}

// eventEnd returns the length of the first event including the empty line that ends it, 0
// if there is none.
func eventEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch {
		case bytes.HasPrefix(b[at:], []byte("\n")):
			return at + 1
		case bytes.HasPrefix(b[at:], []byte("\r\n")):
			return at + 2
		}
	}
}

// isResponseHead reports whether what stands where an event is due is the head of a
// response. A target may write one into a stream that ends with its connection.
func isResponseHead(event []byte) bool { return bytes.HasPrefix(event, []byte("HTTP/1.")) }

// hasData reports whether an event has a data line and is thus more than a comment.
func hasData(event []byte) bool {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, empty if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
