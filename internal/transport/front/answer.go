package front

import (
	"net/http"
	"time"
)

// answerWriter bounds how long a caller may accept nothing, and notes when and
// how much was written.
type answerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	out     *Outcome
	idle    time.Duration
	begun   bool
}

func newAnswer(w http.ResponseWriter, out *Outcome, idle time.Duration) *answerWriter {
	return &answerWriter{ResponseWriter: w, control: http.NewResponseController(w), out: out, idle: idle}
}

// WriteHeader sends the status.
func (a *answerWriter) WriteHeader(code int) {
	if code >= http.StatusOK {
		a.begun = true
		a.out.Code = code
	}
	a.ResponseWriter.WriteHeader(code)
}

// Write sends a part of the body within the time allowed.
func (a *answerWriter) Write(b []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	a.extend()
	n, err := a.ResponseWriter.Write(b)
	a.out.BytesOut += int64(n)
	return n, err
}

// Unwrap lets an http.ResponseController reach the connection.
func (a *answerWriter) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}

// flush sends what is buffered within the time allowed.
func (a *answerWriter) flush() error {
	a.extend()
	return a.control.Flush()
}

// extend gives the caller its time from now. A writer without deadlines, as
// in tests of handlers, is not bounded.
func (a *answerWriter) extend() {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.idle))
}
