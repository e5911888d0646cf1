package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
)

// caught is a body whose faults are told apart: a caller's that stops sending
// is not a target that fails.
type caught struct {
	io.ReadCloser
	control *http.ResponseController
	out     *Outcome
	idle    time.Duration
	// until is when the whole body has to be there.
	until time.Time
	fault error
}

func (c *call) body(until time.Time) *caught {
	return &caught{
		ReadCloser: c.r.Body, control: http.NewResponseController(c.w), out: &c.out,
		idle: c.h.ReadIdle, until: until,
	}
}

// Read gives the caller its time for the next part.
func (b *caught) Read(p []byte) (int, error) {
	due := time.Now().Add(b.idle)
	if b.until.Before(due) {
		due = b.until
	}
	_ = b.control.SetReadDeadline(due)
	n, err := b.ReadCloser.Read(p)
	b.out.BytesIn += int64(n)
	if err == nil {
		return n, nil
	}
	// The server goes on reading to notice that the caller leaves, which must
	// not run into the deadline of the body.
	_ = b.control.SetReadDeadline(time.Time{})
	if !errors.Is(err, io.EOF) {
		b.fault = err
	}
	return n, err
}

// readAll reads a body of at most limit bytes into memory, if there is room.
func (c *call) readAll(limit int64) ([]byte, *Problem) {
	if c.r.ContentLength > limit {
		return nil, tooLarge()
	}
	if !c.hold(limit) {
		return nil, refuse(http.StatusServiceUnavailable, admit.ReasonOverload, "too many bodies are held").after(heldRetryAfter)
	}
	until := c.start.Add(bodyMost)
	data, err := io.ReadAll(io.LimitReader(c.body(until), limit+1))
	if err != nil {
		return nil, bodyProblem(err)
	}
	if int64(len(data)) > limit {
		return nil, tooLarge()
	}
	return data, nil
}

// hold takes room for the body, of which at most limit bytes are read.
func (c *call) hold(limit int64) bool {
	size := c.r.ContentLength
	if size < 0 {
		size = limit
	}
	c.held = size
	return c.h.held.Add(size) <= heldBytes
}

func tooLarge() *Problem {
	return refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is too large")
}

// bodyProblem tells a caller what was wrong with sending its body, of which
// nothing had been passed on.
func bodyProblem(err error) *Problem {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, reasonBodySlow, "the body came too slowly")
	case errors.Is(err, context.Canceled):
		return refuse(http.StatusBadRequest, admit.ReasonCancelled, "the caller left")
	}
	return refuse(http.StatusBadRequest, reasonBodyCut, "the body ended before its length")
}
