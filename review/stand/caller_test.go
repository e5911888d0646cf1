package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a caller's request.
type call struct {
	to, method, path, id, model string
	within                      time.Duration
	body                        string
	// pace is the time for each chunk of the body, 0 to send it at once.
	pace time.Duration
}

const chunkBytes = 32 << 10

// result is what a caller got. A complete answer ended as its framing says.
type result struct {
	status    int
	signature string
	body      string
	complete  bool
	took      time.Duration
	err       error
}

// send sends a request on a connection of its own and reads the answer.
func (w *world) send(c call) result {
	began := time.Now()
	r := c.do()
	r.took = time.Since(began)
	w.note("caller: %s %s id %s to %s: status %d, signature %q, %d bytes, complete %t, after %v, error %v",
		c.method, c.path, c.id, c.to, r.status, r.signature, len(r.body), r.complete, r.took.Round(time.Millisecond), r.err)
	return r
}

func (c *call) do() result {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(context.Background(), "tcp", c.to)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.within + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nChivecroft-Attempt-Id: %s\r\nChivecroft-Deadline-Ms: %d\r\n",
		c.method, c.path, host, c.id, c.within.Milliseconds())
	if c.model != "" {
		fmt.Fprintf(&b, "Chivecroft-Model: %s\r\nChivecroft-Token-Usage: 100,40\r\nChivecroft-Prompt-Prefix: %s:100\r\n", c.model, c.id)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	if err := c.write(conn, b.String()); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, signature: resp.Header.Get("Chivecroft-Response-Signature"),
		body: string(text), complete: err == nil, err: err,
	}
}

// write writes the head of a request and its body.
func (c *call) write(conn net.Conn, head string) error {
	if c.pace == 0 {
		_, err := io.WriteString(conn, head+c.body)
		return err
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for rest := c.body; rest != ""; {
		n := min(len(rest), chunkBytes)
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(c.pace)
	}
	return nil
}
