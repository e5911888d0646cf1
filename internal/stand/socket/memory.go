package socket

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Endless is an answer that does not end: Text, and then Piece again and again.
type Endless struct{ Name, Text, Piece string }

// EndlessAnswers returns answers that do not end, in their head or in their body.
func EndlessAnswers() []Endless {
	const head = "HTTP/1.1 200 OK\r\n"
	text := strings.Repeat("x", 4<<10)
	return []Endless{
		{"before any head", "", text},
		{"interim heads", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 150)},
		{"a line of the head", head + "X-Own: ", text},
		{"lines of the head", head, strings.Repeat("X-Own: 1\r\n", 400)},
		{"body", head + "\r\n", text},
		{"body of JSON", head + "\r\n{\"models\":[\"", text},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + text + "\r\n"},
		{"length of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4<<10)},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Own: 1\r\n", 400)},
	}
}

// HeldBytes returns how many bytes a number of calls hold in the heap of this process while the
// server that connect gets the address of has sent each of them size bytes of the answer. The
// calls are to end with their context.
func (e Endless) HeldBytes(t testing.TB, calls, size int, connect func(netip.AddrPort) func(context.Context)) int64 {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var sent, ended sync.WaitGroup
	sent.Add(calls)
	call := connect(Listen(t, func(conn *net.TCPConn) { e.stall(conn, size, sent.Done) }))
	before := heapBytes()
	for range calls {
		ended.Go(func() { call(ctx) })
	}
	if !isDoneBefore(&sent, &ended) {
		t.Errorf("some of %d calls ended before they had connected", calls)
	}
	held := heapBytes() - before
	cancel()
	ended.Wait()
	return held
}

// closeTime is how long a server takes at most to notice that its clients have gone.
const closeTime = time.Second

// isDoneBefore waits until first is done, and reports whether it is within closeTime of the end of
// last.
func isDoneBefore(first, last *sync.WaitGroup) bool {
	firstDone, lastDone := make(chan struct{}), make(chan struct{})
	go func() {
		first.Wait()
		close(firstDone)
	}()
	go func() {
		last.Wait()
		close(lastDone)
	}()
	select {
	case <-firstDone:
		return true
	case <-lastDone:
	}
	select {
	case <-firstDone:
		return true
	case <-time.After(closeTime):
		return false
	}
}

// stall reads a request, writes size bytes of the answer, calls full and keeps the connection
// until the client closes it. If the client closes it before, full is called then.
func (e Endless) stall(conn *net.TCPConn, size int, full func()) {
	err := e.write(conn, size)
	full()
	for b := make([]byte, 1); err == nil; {
		_, err = conn.Read(b)
	}
}

// write reads a request and writes size bytes of the answer.
func (e Endless) write(conn *net.TCPConn, size int) error {
	_, err := ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.WriteString(conn, e.Text)
	}
	for n := 0; n < size && err == nil; n += len(e.Piece) {
		_, err = io.WriteString(conn, e.Piece)
	}
	return err
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
