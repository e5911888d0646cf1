package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

// Sizes of the pieces that a body is read in.
const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

const (
	// A request waits for bytes that others are about to release for at most memoryWait.
	memoryWait         = time.Second
	memoryWaitInterval = 5 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a request for which there are no bytes.
	memoryRetryAfter = time.Second
	// discardTimeout and maxDiscardBytes limit what is read of a body that is not needed.
	// A caller that sends its whole body before it reads would else get a reset connection
	// instead of the response that tells it that the request has not run.
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 16 << 20
)

// Reasons of requests that were refused because of their bytes.
const (
	reasonMemory      = "memory"
	reasonBodyStalled = "bodyStalled"
	reasonBodyTimeout = "bodyTimeout"
)

var errNoMemory = errors.New("no memory is left for this request")

// payload is a request's body in pieces.
type payload struct {
	pieces [][]byte
	size   int64
}

// add appends a piece. The payload keeps it.
func (p *payload) add(piece []byte) {
	if len(piece) > 0 {
		p.pieces = append(p.pieces, piece)
		p.size += int64(len(piece))
	}
}

// reader returns a reader of the whole payload, which keeps the pieces by itself.
func (p *payload) reader() io.ReadCloser { return &payloadReader{pieces: p.pieces} }

// payloadReader reads a payload.
type payloadReader struct {
	pieces [][]byte
	offset int
}

// Read reads from the next piece.
func (r *payloadReader) Read(b []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, r.pieces[0][r.offset:])
	r.offset += n
	if r.offset == len(r.pieces[0]) {
		r.pieces, r.offset = r.pieces[1:], 0
	}
	return n, nil
}

// Close does nothing.
func (r *payloadReader) Close() error { return nil }

// readBody reads the caller's body. If there is nothing to send, it responds and returns
// false.
func (x *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	switch {
	case x.r.ContentLength > limit:
		x.respond(http.StatusRequestEntityTooLarge, "tooLarge")
		return false
	case x.r.ContentLength == 0:
		x.bodyRead = true
		return true
	}
	x.s.account.Open(&x.bodyMemory, budget.Bodies, x.revokeBody)
	_ = x.conn.SetReadDeadline(time.Now().Add(x.deadline.Sub(x.s.timer.Now())))
	err := x.receive(limit)
	if err == nil && !x.bodyMemory.Complete() {
		err = errNoMemory
	}
	if err != nil {
		x.refuseBody(err)
		return false
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	x.bodyRead = x.body.size <= limit
	if !x.bodyRead {
		x.dropBody()
		x.respond(http.StatusRequestEntityTooLarge, "tooLarge")
		return false
	}
	return true
}

// revokeBody ends the read of the body, whose bytes others need.
func (x *exchange) revokeBody(stalled bool) {
	x.revoked.Store(true)
	x.stalled.Store(stalled)
	_ = x.conn.SetReadDeadline(time.Unix(1, 0))
}

// refuseBody responds to a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	x.dropBody()
	switch {
	case x.revoked.Load() && x.stalled.Load():
		// Nothing more comes that would be worth reading.
		x.w.Header().Set("Connection", "close")
		x.bodyRead = true
		x.respond(http.StatusRequestTimeout, reasonBodyStalled)
	case x.revoked.Load(), errors.Is(err, errNoMemory):
		x.refuse(http.StatusServiceUnavailable, reasonMemory, memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.respond(http.StatusRequestTimeout, reasonBodyTimeout)
	default:
		// A request that was cut off cannot be responded to.
		x.setOutcome(0, "bodyCut")
		panic(http.ErrAbortHandler)
	}
}

// receive reads the body, at most one byte more than the limit. Memory is reserved for each
// piece before it is read.
func (x *exchange) receive(limit int64) error {
	for size := int64(firstPieceBytes); x.body.size <= limit; size = min(2*size, maxPieceBytes) {
		next := min(size, limit+1-x.body.size)
		if x.r.ContentLength > 0 {
			next = min(next, max(x.r.ContentLength-x.body.size, 1))
		}
		if !x.awaitMemory(&x.bodyMemory, next) {
			return errNoMemory
		}
		piece, err := x.readPiece(make([]byte, next))
		x.body.add(piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readPiece fills b. At the end of the body it returns io.EOF.
func (x *exchange) readPiece(b []byte) ([]byte, error) {
	for n := 0; n < len(b); {
		k, err := x.r.Body.Read(b[n:])
		n += k
		if err != nil {
			return b[:n], err
		}
		x.bodyMemory.Progress()
	}
	return b, nil
}

// awaitMemory reserves n bytes, and waits for a while if others are about to release some.
func (x *exchange) awaitMemory(h *budget.Holding, n int64) bool {
	d := h.Reserve(n)
	for end := time.Now().Add(memoryWait); d == budget.Wait && time.Now().Before(end); d = h.Reserve(n) {
		select {
		case <-x.r.Context().Done():
			return false
		case <-time.After(memoryWaitInterval):
		}
	}
	return d == budget.Granted
}

// dropBody releases the body, which is not sent again.
func (x *exchange) dropBody() {
	x.body = payload{}
	x.bodyMemory.Close()
}

// discardRest reads the rest of the body of a request that has its response.
func (x *exchange) discardRest() {
	if x.r.ContentLength == 0 || x.bodyRead || x.r.Header.Get("Expect") != "" {
		return
	}
	_ = x.flush()
	_ = x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if n, err := io.CopyN(io.Discard, x.r.Body, maxDiscardBytes); err == nil && n == maxDiscardBytes {
		// The library would go on to read.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// mayRepeat reports whether a request with a response from a target may be sent again.
func (x *exchange) mayRepeat() bool {
	return !x.mustNotSend && x.route.Repeatable() && x.possibleRuns < x.route.MaxAttempts
}
