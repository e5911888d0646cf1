package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/transport/accept"
	"chivecroft.example/chivecroft/platform"
)

// Limits of the ports for others than callers.
const (
	// controlHeaderBytes limits their heads.
	controlHeaderBytes  = 16 << 10
	maxReadyBodyBytes   = 1 << 10
	maxMetricsBodyBytes = 64 << 10
	// maxPeerConns is for one connection of each of 1,000 instances to the holder, on which
	// they ask for permits, three of each relay, and as many again as are not known.
	maxPeerConns = 1250
	// maxReadyConns and maxMetricsConns are many times what the platform and the operators'
	// tools open.
	maxReadyConns   = 32
	maxMetricsConns = 32
	minControlConns = 8
	// peerSocketBytes lets a list of all targets pass in two round trips.
	peerSocketBytes    = 256 << 10
	controlSocketBytes = 64 << 10
	// Parts of the memory for the heads, bodies and answers of each port.
	peerMemoryShare    = 0.1
	controlMemoryShare = 0.01
	// messageCost is what a byte of a message costs with the growth of its buffer and the
	// objects that it is decoded into.
	messageCost = 3
	// metricsAnswerCost is charged for all metrics, which exist as objects while they are
	// written: estimated, not measured.
	metricsAnswerCost = 256 << 10
	// messageWait is how long a message waits for bytes that are about to be released.
	messageWait         = 300 * time.Millisecond
	messageWaitInterval = 5 * time.Millisecond
)

// Reasons of messages that are refused after their head.
const (
	reasonInvalidMessage accept.Reason = "invalidMessage"
	reasonMessageMemory  accept.Reason = "messageMemory"
	reasonMessageTimeout accept.Reason = "messageTimeout"
	reasonAnswerMemory   accept.Reason = "answerMemory"
)

// errMessageMemory is the error of a read of a message that gets no bytes.
var errMessageMemory = errors.New("no memory is left for the message")

// controlLimits are the limits of one port for others than callers.
type controlLimits struct {
	port                      string
	conns                     int
	memory                    int64
	bodyBytes                 int64
	socketBytes               int
	header, body, write, idle time.Duration
	// slow is the time after which a request may be closed for a new connection.
	slow time.Duration
}

// readyLimits returns the limits of the port for the platform's readiness checks.
func readyLimits(boot *platform.Boot) controlLimits {
	return controlLimits{
		port: "ready", conns: controlConns(boot, maxReadyConns, smallPortShare),
		memory: controlMemory(boot, controlMemoryShare), bodyBytes: maxReadyBodyBytes, socketBytes: controlSocketBytes,
		header: 2 * time.Second, body: 2 * time.Second, write: 5 * time.Second, idle: 30 * time.Second,
		slow: 100 * time.Millisecond,
	}
}

// peerLimits returns the limits of the port for other instances. These wait up to 3 s for a
// reply, and close a connection themselves that has been idle for 15 s.
func peerLimits(boot *platform.Boot) controlLimits {
	return controlLimits{
		port: "peer", conns: controlConns(boot, maxPeerConns, peerPortShare),
		memory: controlMemory(boot, peerMemoryShare), bodyBytes: maxMessageBytes, socketBytes: peerSocketBytes,
		header: 2 * time.Second, body: 5 * time.Second, write: 10 * time.Second, idle: 30 * time.Second,
		slow: configTimeout,
	}
}

// metricsLimits returns the limits of the port for operators, whose tools ask once a minute.
func metricsLimits(boot *platform.Boot) controlLimits {
	return controlLimits{
		port: "metrics", conns: controlConns(boot, maxMetricsConns, smallPortShare),
		memory: controlMemory(boot, controlMemoryShare), bodyBytes: maxMetricsBodyBytes, socketBytes: controlSocketBytes,
		header: 2 * time.Second, body: 5 * time.Second, write: 10 * time.Second, idle: 2 * time.Minute,
		slow: time.Second,
	}
}

// controlConns returns the connections of a port: most of them, and no more than a share of
// the descriptors of all ports.
func controlConns(boot *platform.Boot, most int, share float64) int {
	if pool := sharedDescriptors(boot); pool > 0 {
		return max(min(most, int(share*float64(pool))), minControlConns)
	}
	return most
}

func controlMemory(boot *platform.Boot, share float64) int64 {
	return int64(share * float64(boot.MemoryBytes))
}

// controlServer serves one port for others than callers.
type controlServer struct {
	http.Server
	port     string
	listener *accept.Listener
	account  *budget.Account
	refusals *refusalLog
	// bodyBytes limits the body of a request, bodyTime the time until it is complete.
	bodyBytes int64
	bodyTime  time.Duration
}

// newControlServer returns a server that does not listen yet and whose connections use the
// descriptors of the pool. Its handler is set before it starts.
func newControlServer(limits controlLimits, pool *accept.Pool, l *log.Logger) *controlServer {
	s := &controlServer{
		port: limits.port, bodyBytes: limits.bodyBytes, bodyTime: limits.body,
		account: budget.NewAccount(limits.memory, time.Now),
	}
	s.refusals = newRefusalLog(l, limits.port)
	s.listener = accept.NewListener(s.account, accept.WithMaxConns(limits.conns), accept.WithPool(pool, 1),
		accept.WithSocketBytes(limits.socketBytes), accept.WithControlRules(limits.slow), accept.WithObserver(s.refusals.add))
	s.listener.SetLimits(accept.Limits{
		HeaderBytes: controlHeaderBytes, HeaderTimeout: limits.header, IdleTimeout: limits.idle,
	})
	// A ReadTimeout would also close connections on which nothing has been sent yet, of which
	// Go's client keeps some: the idle timeout is for these.
	s.Server = http.Server{
		MaxHeaderBytes: 2 * controlHeaderBytes, WriteTimeout: limits.write, IdleTimeout: limits.idle,
		ConnState: s.listener.OnState, ConnContext: s.listener.Context,
	}
	return s
}

// start serves requests at addr until the server is closed.
func (s *controlServer) start(ctx context.Context, addr string, handler http.Handler, l *log.Logger) error {
	s.Handler = s.listener.Handler(s.charged(handler))
	_, err := listenThrough(ctx, &s.Server, addr, l, func(inner net.Listener) net.Listener { return s.listener.Wrap(inner) })
	return err
}

// charged returns a handler whose bodies are limited and charged to the account.
func (s *controlServer) charged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := &chargedMessage{ReadCloser: http.MaxBytesReader(w, r.Body, s.bodyBytes), server: s}
		control := http.NewResponseController(w)
		s.account.Open(&m.body, budget.Bodies, func(bool) {
			m.revoked.Store(true)
			_ = control.SetReadDeadline(time.Unix(1, 0))
		})
		s.account.Open(&m.answer, budget.Answers, nil)
		defer m.body.Close()
		defer m.answer.Close()
		if r.ContentLength == 0 {
			m.body.Complete()
		} else {
			_ = control.SetReadDeadline(time.Now().Add(s.bodyTime))
		}
		r.Body = m
		next.ServeHTTP(w, r)
	})
}

// observe logs and returns what the port holds, its connections by state and its refusals
// by reason since the last call.
func (s *controlServer) observe() (held int64, conns map[string]int, refused map[string]int64) {
	byUse := heldBytes(s.account)
	for _, n := range byUse {
		held += n
	}
	conns = s.listener.Counts()
	return held, conns, s.refusals.flush(byUse, conns)
}

// chargedMessage is the body of a request at a port for others than callers. What is read
// of it is charged.
type chargedMessage struct {
	io.ReadCloser
	server       *controlServer
	body, answer budget.Holding
	revoked      atomic.Bool
}

// Read reads a part of the body.
func (m *chargedMessage) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	n, err = m.charge(n, err)
	if errors.Is(err, io.EOF) && !m.body.Complete() {
		return 0, errMessageMemory
	}
	return n, err
}

// charge charges n bytes that were read with an error.
func (m *chargedMessage) charge(n int, err error) (int, error) {
	if m.revoked.Load() || reserve(&m.body, messageCost*int64(n)) != budget.Granted {
		return 0, errMessageMemory
	}
	return n, err
}

// reserve adds n bytes to a holding, and waits for bytes that are about to be released.
func reserve(h *budget.Holding, n int64) budget.Decision {
	d := h.Reserve(n)
	for end := time.Now().Add(messageWait); d == budget.Wait && time.Now().Before(end); d = h.Reserve(n) {
		time.Sleep(messageWaitInterval)
	}
	return d
}

// uncompressed returns a reader that charges what comes from r to the message too.
func (m *chargedMessage) uncompressed(r io.Reader) io.Reader { return &chargedReader{r, m} }

type chargedReader struct {
	io.Reader
	message *chargedMessage
}

// Read reads a part of the uncompressed body.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	return c.message.charge(n, err)
}

// acceptMessage records that a message could be read, so that its connection is kept when
// others have to be closed.
func acceptMessage(r *http.Request) { accept.MarkKnown(r.Context()) }

// rejectMessage responds to a message that could not be read.
func rejectMessage(w http.ResponseWriter, r *http.Request, err error) {
	reason, status := reasonInvalidMessage, http.StatusBadRequest
	switch {
	case errors.Is(err, errMessageMemory):
		reason, status = reasonMessageMemory, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason, status = reasonMessageTimeout, http.StatusRequestTimeout
	}
	if m, ok := r.Body.(*chargedMessage); ok {
		m.server.refusals.addFrom(reason, r.RemoteAddr, err)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// chargeAnswer reserves the bytes of a response to r until the handler returns. If there
// are none, it responds and returns false.
func chargeAnswer(w http.ResponseWriter, r *http.Request, bytes int) bool {
	m, ok := r.Body.(*chargedMessage)
	if !ok || reserve(&m.answer, int64(bytes)) == budget.Granted {
		return true
	}
	m.server.refusals.addFrom(reasonAnswerMemory, r.RemoteAddr, nil)
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}
