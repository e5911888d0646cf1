package proxy

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// headTimeout limits the rest of a response's head after its first byte.
	headTimeout = 2 * time.Second
	// maxInterimResponses limits the interim (1xx) responses before the final one.
	maxInterimResponses = 5
)

var errInterim = errors.New("too many interim responses")

// headWatch aborts a send if the head of its response begins but does not end.
type headWatch struct {
	timer timer.Service
	abort func()

	mu        sync.Mutex
	stopTimer timer.Cancel
	interim   int
	closed    bool
}

// watchHead returns a context that ties a send to a headWatch.
func watchHead(ctx context.Context, t timer.Service, abort func()) (context.Context, *headWatch) {
	h := &headWatch{timer: t, abort: abort}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: h.startTimer,
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { return h.onInterim() },
	}), h
}

func (h *headWatch) startTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.stopTimer = h.timer.After(headTimeout, h.abort)
	}
}

// onInterim stops the timer, so that the final response may take its time, and fails if
// there are too many interim responses.
func (h *headWatch) onInterim() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop()
	h.interim++
	if h.interim > maxInterimResponses {
		return errInterim
	}
	return nil
}

// close ends the watch.
func (h *headWatch) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.stop()
}

func (h *headWatch) stop() {
	if h.stopTimer != nil {
		h.stopTimer()
		h.stopTimer = nil
	}
}
