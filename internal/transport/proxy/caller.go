package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

// writeTimeout is how long a caller may take to read one event or one piece of an answer,
// beyond what the buffers of its connection hold. It is several times the time that 256 KB
// take at the share of a link of 10 Mbit/s that a caller has among ten.
const writeTimeout = 10 * time.Second

// Reasons of answers that the caller did not read to their end.
const (
	reasonCallerLeft = "callerLeft"
	reasonSlowReader = "slowReader"
)

// callerError is an error of a write to the caller, for which the target is not to blame.
type callerError struct{ err error }

func (e *callerError) Error() string { return "write to the caller: " + e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

// reason returns why the caller did not get the whole answer.
func (e *callerError) reason() string {
	if errors.Is(e.err, os.ErrDeadlineExceeded) {
		return reasonSlowReader
	}
	return reasonCallerLeft
}

// asCallerError returns the error of the write to the caller that err is, nil if none.
func asCallerError(err error) *callerError {
	var e *callerError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// extendWrite gives the caller writeTimeout for the next write. To set a deadline for each
// event would cost more than the rest of its accounting, so it is set again when half of
// it is over; no write has less than half of the time.
func (x *exchange) extendWrite() {
	now := time.Now()
	if x.writeUntil.Sub(now) > writeTimeout/2 {
		return
	}
	x.writeUntil = now.Add(writeTimeout)
	_ = x.conn.SetWriteDeadline(x.writeUntil)
}

// write writes a piece of the answer.
func (x *exchange) write(b []byte) error {
	x.extendWrite()
	if _, err := x.w.Write(b); err != nil {
		return &callerError{err}
	}
	return nil
}

// flush sends what was written to the caller.
func (x *exchange) flush() error {
	x.extendWrite()
	if err := x.conn.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return &callerError{err}
	}
	return nil
}

// readAnswer reads an answer of less than maxBufferedBytes, or the beginning of a larger
// one. It reads less if no memory is left. The buffer is charged to memory.
func (x *exchange) readAnswer(resp *http.Response, memory *budget.Holding) (body []byte, whole bool, err error) {
	size := initialBufferBytes
	if resp.ContentLength > 0 {
		// One byte more is needed to see the end.
		size = int(min(resp.ContentLength+1, maxBufferedBytes))
	}
	if !x.awaitMemory(memory, int64(size)) {
		return nil, false, nil
	}
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) < maxBufferedBytes, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := min(2*cap(body), maxBufferedBytes)
		if size == cap(body) || memory.Reserve(int64(size)) != budget.Granted {
			return body, false, nil
		}
		memory.Release(int64(cap(body)))
		body = append(make([]byte, 0, size), body...)
	}
}

// copyAnswer relays the rest of an answer piece by piece.
func (x *exchange) copyAnswer(resp *http.Response, memory *budget.Holding) error {
	size := copyBufferBytes
	if memory.Reserve(int64(size)) != budget.Granted {
		// The smallest piece is not charged, so that a running answer always goes on.
		size = initialBufferBytes
	}
	b := make([]byte, size)
	left := int64(maxUnsizedBytes)
	for {
		n, readErr := resp.Body.Read(b)
		if err := x.write(b[:n]); err != nil {
			return err
		}
		left -= int64(n)
		switch {
		case errors.Is(readErr, io.EOF):
			// The end of the response is still to be written.
			x.extendWrite()
			return nil
		case readErr != nil:
			return readErr
		case left <= 0 && resp.ContentLength < 0:
			return errEndless
		}
	}
}
