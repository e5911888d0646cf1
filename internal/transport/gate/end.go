package gate

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// arrivalTimeout limits how long the end of a connection waits until the rest of the
	// request has arrived.
	arrivalTimeout  = time.Second
	arrivalInterval = time.Millisecond
	// tcpClosed is the state of a TCP connection that was reset.
	tcpClosed = 7
)

// errEarlyEnd is the error of a connection that has ended before the request had arrived.
var errEarlyEnd = errors.New("connection ended before the request had arrived")

// endConn is a connection whose reads return io.EOF only once the request has arrived
// completely, and otherwise errEarlyEnd.
//
// A server that ends its direction before it has the whole request may have ended its
// response properly, or be about to reset the connection. Even a reset looks like an end to a
// read if a write has met it first. A response without a length would then seem complete.
//
// It also ends reads at a folded line in the head of a response, which net/http hides.
type endConn struct {
	net.Conn
	// socket gives access to the socket, nil if there is none.
	socket syscall.RawConn

	mu      sync.Mutex
	request requestState
	// hasFailed is set once a write has failed.
	hasFailed bool
	// fold scans the head of the response to the request.
	fold foldScan
}

// requestState is how far a request has been written to its connection.
type requestState uint8

const (
	// requestNone: there is no request, or nothing of it has been written.
	requestNone requestState = iota
	// requestBegun: a part has been written.
	requestBegun
	// requestSent: all of it has been written.
	requestSent
)

func newEndConn(raw net.Conn) *endConn {
	c := &endConn{Conn: raw, fold: foldScan{isOver: true}}
	if tcp := find[*net.TCPConn](raw); tcp != nil {
		// Without a socket, nothing is known of what the kernel holds.
		c.socket, _ = tcp.SyscallConn()
	}
	return c
}

// NetConn returns the connection that was wrapped.
func (c *endConn) NetConn() net.Conn { return c.Conn }

// beginRequest records that the next write begins a request. isPlain reports whether the bytes of
// the connection are those of HTTP.
func (c *endConn) beginRequest(isPlain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestNone
	c.fold = foldScan{isOver: !isPlain}
}

// endRequest records that the request has been written completely.
func (c *endConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestSent
}

// Write writes to the connection.
func (c *endConn) Write(b []byte) (int, error) {
	c.noteWrite()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hasFailed = true
	}
	return n, err
}

func (c *endConn) noteWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == requestNone {
		c.request = requestBegun
	}
}

// Read reads from the connection.
func (c *endConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for end := time.Now().Add(arrivalTimeout); ; time.Sleep(arrivalInterval) {
		switch a := c.arrival(); {
		case a == arrivalDone:
			return n, err
		case a == arrivalFailed, time.Now().After(end):
			return n, errEarlyEnd
		}
	}
}

func (c *endConn) scan(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.scan(b)
}

// arrival is what is known of the way of a request to the other side.
type arrival uint8

const (
	// arrivalPending: a part has not been written or acknowledged.
	arrivalPending arrival = iota
	// arrivalDone: the other side's kernel has acknowledged all of it, or nothing was sent.
	arrivalDone
	// arrivalFailed: a write has failed, or the connection was reset.
	arrivalFailed
)

func (c *endConn) arrival() arrival {
	c.mu.Lock()
	request, hasFailed := c.request, c.hasFailed
	c.mu.Unlock()
	switch {
	case hasFailed:
		return arrivalFailed
	case request == requestNone:
		return arrivalDone
	}
	kernel := c.askKernel()
	if request == requestBegun && kernel == arrivalDone {
		return arrivalPending
	}
	return kernel
}

// askKernel returns what the other side has of the bytes written so far. Where the kernel does
// not tell, all have arrived.
func (c *endConn) askKernel() arrival {
	if c.socket == nil {
		return arrivalDone
	}
	out := arrivalDone
	err := c.socket.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpClosed:
			out = arrivalFailed
		case info.Unacked > 0 || info.Notsent_bytes > 0:
			out = arrivalPending
		}
	})
	if err != nil {
		// This side has closed the connection.
		return arrivalFailed
	}
	return out
}
