package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds.
const (
	headCallers  = 250
	emptyCallers = 100
	bodyCallers  = 60
	slowCallers  = 200
	// shortCallers is more than the process has descriptors for.
	shortCallers = 800
	// answerBytes is the size of a target's large answer, eventBytes that of one event.
	answerBytes = 8 << 20
	eventBytes  = 200 << 10
	chunkBytes  = 16 << 10
)

// noBody ends the head of a request without a body.
const noBody = "Content-Length: 0\r\n\r\n"

// crowd opens connections side by side and has each played by one caller until crowdTime
// is over.
func (s *crowdSystem) crowd(callers int, caller func(n int, c net.Conn)) func() {
	return s.crowdFor(crowdTime, callers, caller)
}

// crowdFor does the same for another time.
func (s *crowdSystem) crowdFor(d time.Duration, callers int, caller func(n int, c net.Conn)) func() {
	return func() {
		end := time.Now().Add(d)
		var all sync.WaitGroup
		for n := range callers {
			all.Go(func() { s.connect(new(net.Dialer), s.callers.String(), end, func(c net.Conn) { caller(n, c) }) })
		}
		all.Wait()
	}
}

// connect opens a connection and has it played until the given time.
func (s *crowdSystem) connect(d *net.Dialer, addr string, end time.Time, play func(c net.Conn)) {
	c, err := d.DialContext(s.t.Context(), "tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	play(c)
}

// awaitEnd reads what comes until the connection ends or the crowd's time is over.
func awaitEnd(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// writeWithoutEnd writes the same text again and again until the connection ends or the
// crowd's time is over.
func writeWithoutEnd(c net.Conn, text string) {
	for err := error(nil); err == nil; {
		_, err = io.WriteString(c, text)
	}
}

// holdRequests makes the target keep requests open while the crowd plays.
func (s *crowdSystem) holdRequests() {
	s.target.Behave(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(crowdAnswerTime):
		case <-r.Context().Done():
		}
		s.target.Sign(w, r)
	})
}

// head returns the first lines of a request, without the empty line that ends a head.
func head(n int, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nChivecroft-Attempt-Id: h%d\r\n", path, crowdHost, n)
}

// shortLines returns as many different header lines as fit into a head of legal size.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < crowdHeaderBytes-400; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strings.ToUpper(fmt.Sprintf("%x", i+4096*(n%2))))
	}
	return b.String()
}

// oddLines returns header lines of legal size that an ordinary caller does not send: the
// same name again and again, folded lines, names of one character and of many.
func oddLines(n int) string {
	odd := []string{"x:\r\n", "x: a\r\n b\r\n", "\t\r\n", "!#$%&'*+-.^_`|~:\n", "Cookie:;;;;\r\n", "Y:\n", strings.Repeat("z", 500) + ":\r\n", "noColon\r\n"}
	var b strings.Builder
	for i := n; b.Len() < crowdHeaderBytes-1000; i++ {
		b.WriteString(odd[(i*i+n)%(len(odd)-n%2)])
	}
	return b.String()
}

// playHeads plays a crowd whose requests have the given header lines and no body.
func playHeads(t *testing.T, lines func(n int) string) {
	t.Helper()
	s := startCrowdSystem(t)
	s.holdRequests()
	s.play(s.crowd(headCallers, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(n, "/plain/x")+lines(n)+noBody)
		awaitEnd(c)
	}))
}

// TestShortHeaderLines guards against heads of legal size whose lines cost many times
// their bytes once they are objects.
func TestShortHeaderLines(t *testing.T) { playHeads(t, shortLines) }

// TestOddHeaderLines guards against irregular header lines.
func TestOddHeaderLines(t *testing.T) { playHeads(t, oddLines) }

// TestLargeHeads guards against heads over the limit that stop short of their end.
func TestLargeHeads(t *testing.T) {
	s := startCrowdSystem(t)
	s.play(s.crowd(headCallers, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(n, "/plain/x")+shortLines(0)+shortLines(1)+shortLines(0)+strings.Repeat("x:\r\n", 2000))
		awaitEnd(c)
	}))
}

// TestEndlessHeads guards against heads that never end.
func TestEndlessHeads(t *testing.T) {
	s := startCrowdSystem(t)
	s.play(s.crowd(headCallers, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(n, "/plain/x"))
		writeWithoutEnd(c, shortLines(n))
	}))
}

// TestEndlessEmptyLines guards against empty lines without end before a request, on new
// connections and after a request.
func TestEndlessEmptyLines(t *testing.T) {
	s := startCrowdSystem(t)
	s.play(s.crowd(emptyCallers, func(n int, c net.Conn) {
		if n%2 == 0 {
			_, _ = io.WriteString(c, head(n, "/plain/x")+noBody)
		}
		writeWithoutEnd(c, strings.Repeat("\r\n", 1000))
	}))
}

// TestLargeBodies guards against many bodies of legal size, most of which stop just short
// of their end.
func TestLargeBodies(t *testing.T) {
	s := startCrowdSystem(t)
	s.holdRequests()
	body := bytes.Repeat([]byte("b"), crowdBodyBytes)
	s.play(s.crowd(bodyCallers, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(n, "/plain/x")+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes))
		size := crowdBodyBytes - 1
		if n%5 == 0 {
			size = crowdBodyBytes
		}
		_, _ = c.Write(body[:size])
		awaitEnd(c)
	}))
}

// TestShortBodies guards against small bodies that stop just short of their end on so many
// connections that an ordinary caller finds none while they stay open.
func TestShortBodies(t *testing.T) {
	s := startCrowdSystem(t)
	// The crowd outlasts the ordinary request, with all its repeats.
	crowd := s.crowdFor(3*crowdTime, shortCallers, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(n, "/plain/x")+"Content-Length: 100\r\n\r\n"+strings.Repeat("b", 99))
		awaitEnd(c)
	})
	ended := make(chan struct{})
	s.play(func() {
		go func() {
			crowd()
			close(ended)
		}()
		time.Sleep(crowdTime / 4)
	})
	_ = s.cmd.Process.Kill()
	<-ended
}

// TestChunkedBodies guards against large bodies in chunks, with extensions of chunks and
// with trailers without end.
func TestChunkedBodies(t *testing.T) {
	s := startCrowdSystem(t)
	s.holdRequests()
	piece := fmt.Sprintf("%x;%s\r\n%s\r\n", chunkBytes, strings.Repeat("e=1;", 200), strings.Repeat("b", chunkBytes))
	s.play(s.crowd(bodyCallers, func(n int, c net.Conn) {
		_, err := io.WriteString(c, head(n, "/plain/x")+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent+chunkBytes < crowdBodyBytes && err == nil; sent += chunkBytes {
			_, err = io.WriteString(c, piece)
		}
		switch n % 3 {
		case 1:
			_, _ = io.WriteString(c, "0\r\n")
			writeWithoutEnd(c, strings.Repeat("x: y\r\n", 500))
		case 2:
			_, _ = io.WriteString(c, "1;")
			writeWithoutEnd(c, strings.Repeat("e=1;", 500))
		}
		awaitEnd(c)
	}))
}

// TestSlowReaders guards against callers that do not read the large answers and streams of
// their targets.
func TestSlowReaders(t *testing.T) {
	s := startCrowdSystem(t)
	large := bytes.Repeat([]byte("a"), answerBytes)
	s.target.Behave(func(w http.ResponseWriter, r *http.Request) {
		s.target.Sign(w, r)
		if strings.HasPrefix(r.URL.Path, "/plain/") {
			_, _ = w.Write(large)
			return
		}
		for id := 1; r.Context().Err() == nil; id++ {
			if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: %s\n\n", id, large[:eventBytes])); err != nil {
				return
			}
		}
	})
	stopped := make(chan struct{})
	time.AfterFunc(crowdTime, func() { close(stopped) })
	s.play(s.crowd(slowCallers, func(n int, c net.Conn) {
		path := "/plain/x"
		if n%2 == 1 {
			path = "/stream/x"
		}
		_ = c.(*net.TCPConn).SetReadBuffer(chunkBytes)
		_, _ = io.WriteString(c, head(n, path)+noBody)
		<-stopped
	}))
}

// TestManyConnections guards against more connections than the process may have
// descriptors for.
func TestManyConnections(t *testing.T) {
	s := startCrowdSystem(t)
	s.play(s.crowd(2*crowdMaxFDs, func(n int, c net.Conn) {
		if n%2 == 0 {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
		}
		awaitEnd(c)
	}))
}

// TestLimitsOnOpenConnections guards against a limit of the configuration that does not
// apply to connections that were open when it changed.
func TestLimitsOnOpenConnections(t *testing.T) {
	s := startCrowdSystem(t)
	c, err := net.Dial("tcp", s.callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status := func(lines string) string {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, head(1, "/plain/x")+lines+noBody)
		b := make([]byte, 4<<10)
		n, _ := c.Read(b)
		line, _, _ := strings.Cut(string(b[:n]), "\r\n")
		return line
	}
	long := "X-Long: " + strings.Repeat("l", 12<<10) + "\r\n"
	if got := status(long); got != "HTTP/1.1 200 OK" {
		t.Fatalf("a head within the limit: %q", got)
	}
	s.store.Write(t, "op/config", crowdConfig(2, 4<<10))
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		if got := status(long); got == "HTTP/1.1 431 Request Header Fields Too Large" {
			return
		} else if got != "HTTP/1.1 200 OK" {
			t.Fatalf("a head over the new limit: %q", got)
		}
	}
	t.Error("the new limit did not apply to the open connection")
}
