package accept

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

const (
	// lingerTime and lingerBytes limit how long a refused caller is read from, so that
	// the reset of the connection does not overtake the response.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// A head waits for bytes that are about to be released for at most reserveWait.
	reserveWait     = 300 * time.Millisecond
	reserveInterval = 5 * time.Millisecond
)

// phase is what a connection is doing.
type phase uint8

const (
	// phaseNew: nothing has arrived yet.
	phaseNew phase = iota
	// phaseHead: part of a head has arrived.
	phaseHead
	// phaseBusy: a head is complete, and its response is not.
	phaseBusy
	// phaseIdle: the last response is complete.
	phaseIdle
	// phaseClosed: the connection has been refused or closed.
	phaseClosed
)

// unknownBody is the rest of a body whose size only the library knows.
const unknownBody = -1

// errRefused ends the reads of a connection that was refused. net/http writes no response
// after an error that is a timeout.
type errRefused struct{}

func (errRefused) Error() string   { return "the connection was refused" }
func (errRefused) Timeout() bool   { return true }
func (errRefused) Temporary() bool { return false }

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	// revoked is set when the bytes of an incomplete head are needed.
	revoked atomic.Bool
	// known is set once a control port has received a valid message.
	known atomic.Bool
	// isEvicted and hasEnded are guarded by the listener's lock.
	isEvicted, hasEnded bool
	// slow is set when a write has timed out.
	slow atomic.Bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began; phaseBusy does not set it.
	since time.Time
	// deadline is the read deadline that the server has set.
	deadline time.Time
	scan     scanner
	head     budget.Holding
	// rest was received after the end of the head.
	rest []byte
	// bodyLeft is what is left of the body, early the first bytes of the next head that
	// the library has read during the response.
	bodyLeft int64
	early    []byte
	// begun reports whether the handler has been called. unseen reports whether the
	// library may hold bytes of the next head that were not scanned.
	begun, unseen bool
}

func newConn(l *Listener, raw net.Conn) *Conn {
	return &Conn{Conn: raw, listener: l, since: time.Now()}
}

// Read returns bytes of the request. Those of a head have been checked.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	now := c.phase
	c.mu.Unlock()
	switch now {
	case phaseClosed:
		return 0, errRefused{}
	case phaseBusy:
		return c.readBody(p)
	case phaseNew, phaseHead, phaseIdle:
	}
	return c.readHead(p)
}

// readHead returns bytes of a head up to its end.
func (c *Conn) readHead(p []byte) (int, error) {
	c.rearm()
	n, err := c.fetch(p)
	if n == 0 && err != nil {
		return 0, c.endHead(err)
	}
	used, fault := c.scanHead(p[:n])
	switch {
	case fault == faultSize:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonSize)
	case fault == faultLines:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonLines)
	case fault == faultEmpty:
		return 0, c.refuse(http.StatusBadRequest, ReasonEmptyLines)
	case !c.reserveHead():
		return 0, c.refuse(http.StatusServiceUnavailable, ReasonMemory)
	}
	return used, nil
}

// fetch reads from what was received before, else from the connection.
func (c *Conn) fetch(p []byte) (int, error) {
	if n := c.takeRest(p); n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

func (c *Conn) takeRest(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	if len(c.rest) == 0 {
		c.rest = nil
	}
	return n
}

// scanHead checks bytes of a head and keeps what comes after its end. It returns how many
// belong to the head.
func (c *Conn) scanHead(b []byte) (used int, f fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return 0, faultNone
	}
	c.startHead()
	used, ended, f := c.scan.scan(b, c.listener.limits.Load().HeaderBytes)
	if f != faultNone || !ended {
		return used, f
	}
	if used < len(b) {
		c.rest = append(append([]byte(nil), b[used:]...), c.rest...)
	}
	return used, faultNone
}

// startHead begins the next head unless it has begun, under the lock.
func (c *Conn) startHead() {
	if c.phase == phaseHead {
		return
	}
	c.phase, c.since = phaseHead, time.Now()
	c.revoked.Store(false)
	c.listener.account.Open(&c.head, budget.Heads, func(bool) {
		c.revoked.Store(true)
		_ = c.Conn.SetReadDeadline(longAgo)
	})
}

// reserveHead reserves what the head costs so far, and returns false if it gets no bytes.
// A complete head is handed to the library.
func (c *Conn) reserveHead() bool {
	if !c.reserve(c.headCost()) || c.revoked.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scan.ended || c.phase != phaseHead {
		return true
	}
	if !c.head.Complete() {
		return false
	}
	c.phase = phaseBusy
	c.begun, c.bodyLeft = false, unknownBody
	_ = c.Conn.SetReadDeadline(c.deadline)
	return true
}

func (c *Conn) headCost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.cost()
}

// reserve brings the bytes of the head to cost.
func (c *Conn) reserve(cost int64) bool {
	more := cost - c.head.Bytes()
	d := c.head.Reserve(more)
	if d != budget.Wait {
		return d == budget.Granted
	}
	for end := time.Now().Add(reserveWait); d == budget.Wait && time.Now().Before(end); d = c.head.Reserve(more) {
		time.Sleep(reserveInterval)
	}
	return d == budget.Granted
}

// endHead handles an error of a read. A head that took too long, or whose bytes are
// needed, is answered.
func (c *Conn) endHead(err error) error {
	c.mu.Lock()
	partial := c.phase == phaseHead
	server := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
	c.mu.Unlock()
	switch {
	case c.revoked.Load() && partial:
		return c.refuse(http.StatusServiceUnavailable, ReasonMemory)
	case !errors.Is(err, os.ErrDeadlineExceeded) || server:
		return err
	case partial:
		return c.refuse(http.StatusRequestTimeout, ReasonTimeout)
	}
	return errRefused{}
}

// refuse answers a head that is not handed to the library, and ends the connection.
func (c *Conn) refuse(status int, reason Reason) error {
	c.mu.Lock()
	closed := c.phase == phaseClosed
	c.phase = phaseClosed
	c.head.Close()
	c.rest = nil
	c.mu.Unlock()
	if closed {
		return errRefused{}
	}
	c.listener.observe(reason)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = connRetryAfter
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(refusal(status, retryAfter)); err == nil {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Close()
	return errRefused{}
}

// readBody returns bytes of a body, and no byte of what follows it but for the one that the
// library reads to notice the end of the connection.
func (c *Conn) readBody(p []byte) (int, error) {
	c.mu.Lock()
	bounded := c.begun && c.bodyLeft >= 0
	if bounded {
		p = p[:min(int64(len(p)), max(c.bodyLeft, 1))]
	}
	c.mu.Unlock()
	n, err := c.fetch(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !bounded || n == 0:
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
	default:
		c.early = append(c.early, p[:n]...)
	}
	return n, err
}

// begin records that the handler has been called. It returns false if the head has lines
// that were not seen and that get no bytes.
func (c *Conn) begin(r *http.Request) bool {
	c.mu.Lock()
	unseen := c.unseen || c.phase != phaseBusy
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.startHead()
	}
	hasBytes := true
	if c.phase == phaseHead {
		c.phase = phaseBusy
		hasBytes = c.head.Complete()
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.begun = true
	c.bodyLeft = r.ContentLength
	if unseen && !c.scan.ended {
		// The library found an end where the scanner did not, so that bytes of the body may
		// have been counted as part of the head.
		c.bodyLeft = unknownBody
	}
	c.unseen = c.bodyLeft == unknownBody
	c.mu.Unlock()
	return hasBytes && (!unseen || c.reserve(max(requestCost(r), c.headCost())))
}

// requestCost returns the cost of a head that the library has read.
func requestCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
		}
	}
	return headCost(size, lines)
}

// idle records that the response is complete.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return
	}
	c.head.Close()
	c.phase, c.since = phaseIdle, time.Now()
	c.scan = scanner{}
	if len(c.early) > 0 {
		c.startHead()
		_, _, _ = c.scan.scan(c.early, MaxHeaderBytes)
		c.early = c.early[:0]
	}
}

// rearm sets the read deadline of a connection that has no request.
func (c *Conn) rearm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arm()
}

func (c *Conn) arm() {
	limits := c.listener.limits.Load()
	var own time.Time
	switch c.phase {
	case phaseNew, phaseIdle:
		own = c.since.Add(limits.IdleTimeout)
	case phaseHead:
		own = c.since.Add(limits.HeaderTimeout)
	case phaseBusy, phaseClosed:
		return
	}
	if !c.deadline.IsZero() && c.deadline.Before(own) {
		own = c.deadline
	}
	_ = c.Conn.SetReadDeadline(own)
	if c.revoked.Load() {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// SetReadDeadline sets the deadline of the server, beside those of a head.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.phase == phaseBusy {
		return c.Conn.SetReadDeadline(t)
	}
	c.arm()
	return nil
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// evictionRank returns how readily the connection is closed for a new one, 0 for not at
// all, and since when it is in its state. At callers' ports one with an incomplete head is
// closed before one that has sent nothing, before one that callers no longer rely on.
func (c *Conn) evictionRank() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener.isControl {
		return c.controlRank(), c.since
	}
	switch c.phase {
	case phaseHead:
		return 3, c.since
	case phaseNew:
		return 2, c.since
	case phaseIdle:
		reusable := time.Duration(reusableShare * float64(c.listener.limits.Load().IdleTimeout))
		if time.Since(c.since) > reusable {
			return 1, c.since
		}
	case phaseBusy, phaseClosed:
	}
	return 0, c.since
}

// controlRank returns the rank at a control port, under the lock.
func (c *Conn) controlRank() int {
	known := c.known.Load()
	// A complete head may be waiting for bytes.
	busy := c.phase == phaseBusy || c.phase == phaseHead && c.scan.ended
	switch {
	case c.phase == phaseClosed:
		// A refused client is still read from.
		return 4
	case !busy && known:
		return 1
	case !busy:
		return 3
	case !known && time.Since(c.since) > c.listener.slowRequest:
		return 2
	}
	return 0
}

// evict closes the connection unless it has a request by now that may not be closed. With
// force, at control ports, it is closed all the same.
func (c *Conn) evict(force bool) bool {
	c.mu.Lock()
	keep := c.phase == phaseBusy
	switch {
	case force:
		keep = false
	case c.listener.isControl:
		// The server may not have had the time to read a message that has arrived.
		keep = c.controlRank() == 0 || (c.phase == phaseNew || c.phase == phaseIdle) && hasUnread(c.Conn)
	}
	if keep {
		c.mu.Unlock()
		return false
	}
	c.phase = phaseClosed
	c.mu.Unlock()
	c.listener.noteEviction(c)
	_ = c.Close()
	return true
}

// hasUnread reports whether bytes have arrived on a connection that were not read.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Write writes a part of a response. At control ports a reader that is too slow is
// counted; others' responses have their own deadlines.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && c.listener.isControl && errors.Is(err, os.ErrDeadlineExceeded) && !c.slow.Swap(true) {
		c.listener.observe(ReasonSlowReader)
	}
	return n, err
}

func (c *Conn) stateName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return [...]string{phaseNew: "new", phaseHead: "head", phaseBusy: "busy", phaseIdle: "idle", phaseClosed: ""}[c.phase]
}

// Close closes the connection and gives its bytes back.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.phase = phaseClosed
	c.head.Close()
	c.rest = nil
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the direction to the caller, which net/http asks for before it closes a
// connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data at Close, as for a net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
