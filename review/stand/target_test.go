package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a replica in a process of its own. It speaks the protocol of the users' pages,
// and tells on its standard output, one JSON object a line, what it was sent and ran.
type target struct {
	id, service, zone string
	slots, memory     int
	born              int64
	load              time.Duration
	events            int
	pause             time.Duration
	plain             int
	unframedEvery     int

	out sync.Mutex

	mu       sync.Mutex
	answers  int
	running  int
	models   []string
	busy     bool
	sequence int64
}

// told is one line of a target's record.
type told struct {
	AtMS   int64  `json:"at_ms"`
	Target string `json:"target"`
	What   string `json:"what"`
	ID     string `json:"id,omitempty"`
	Line   string `json:"line,omitempty"`
	Model  string `json:"model,omitempty"`
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token,omitempty"`
	N      int    `json:"n,omitempty"`
	Framed *bool  `json:"framed,omitempty"`
}

// description is a target's own entry in the store.
type description struct {
	Service   string           `json:"service"`
	Address   string           `json:"address"`
	Zone      string           `json:"zone"`
	Version   string           `json:"version"`
	Slots     int              `json:"slots"`
	State     string           `json:"state"`
	Cold      int              `json:"cold_remaining_ms"`
	Born      int64            `json:"born"`
	Sequence  int64            `json:"sequence"`
	Models    []map[string]any `json:"models,omitempty"`
	Remaining int64            `json:"remaining_ms,omitempty"`
}

func runTarget(args []string) error {
	t := &target{born: time.Now().UnixMilli()}
	var ip, models string
	f := flag.NewFlagSet("target", flag.ContinueOnError)
	f.StringVar(&ip, "ip", "", "address to listen on")
	f.StringVar(&t.id, "id", "", "id of the replica")
	f.StringVar(&t.service, "service", "", "its service")
	f.StringVar(&t.zone, "zone", "", "its zone")
	f.StringVar(&models, "models", "", "models that it has loaded, for an engine")
	f.IntVar(&t.slots, "slots", 6, "slots")
	f.IntVar(&t.memory, "memory", 0, "models that fit, 0 for a plain service")
	f.DurationVar(&t.load, "load", 0, "time of a load")
	f.IntVar(&t.events, "events", 43, "events of a stream")
	f.IntVar(&t.plain, "bytes", 800, "bytes of a plain answer")
	f.DurationVar(&t.pause, "pause", 0, "time between two events, or the halves of a plain answer")
	f.IntVar(&t.unframedEvery, "unframed-every", 0, "each such answer has no length; 0 for none")
	if err := f.Parse(args); err != nil {
		return err
	}
	if models != "" {
		t.models = strings.Split(models, ",")
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	t.tell(told{What: "listening", Line: l.Addr().String(), N: int(t.born / 1000)})
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go t.serveConn(conn)
	}
}

func (t *target) tell(v told) {
	t.out.Lock()
	defer t.out.Unlock()
	v.AtMS, v.Target = time.Now().UnixMilli(), t.id
	_ = json.NewEncoder(os.Stdout).Encode(v)
}

// serveConn serves one request after the other, reading the request line itself so that it
// can be told as it came.
func (t *target) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		// The request is parsed with a plain target, the true one is in line.
		parts := strings.Fields(line)
		if len(parts) != 3 {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(parts[0]+" /x "+parts[2]+"\r\n"), headOf(r))))
		if err != nil {
			return
		}
		size, _ := strconv.Atoi(req.Header.Get("Content-Length"))
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if !t.answer(conn, parts[1], strings.TrimSpace(line), req, body) {
			return
		}
	}
}

// headOf reads a request's headers and the empty line after them.
func headOf(r *bufio.Reader) io.Reader {
	var b strings.Builder
	for {
		line, err := r.ReadString('\n')
		b.WriteString(line)
		if err != nil || strings.TrimSpace(line) == "" {
			return strings.NewReader(b.String())
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (t *target) answer(conn net.Conn, path, line string, req *http.Request, body []byte) bool {
	if expect := req.Header.Get("Chivecroft-Expect-Instance"); expect != "" && expect != t.id {
		return t.reply(conn, 421, "Chivecroft-Not-Executed: 1\r\nChivecroft-Instance-Id: "+t.id, "")
	}
	switch path {
	case "/api/report":
		return t.replyJSON(conn, 200, t.report())
	case "/api/order":
		return t.order(conn, body)
	case "/health":
		return t.reply(conn, 200, "Chivecroft-Instance-Id: "+t.id, "")
	}
	return t.run(conn, line, req)
}

func (t *target) reply(conn net.Conn, status int, more, body string) bool {
	if more != "" {
		more += "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), more, len(body), body)
	return err == nil
}

func (t *target) replyJSON(conn net.Conn, status int, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	return t.reply(conn, status, "Content-Type: application/json", string(data))
}

func (t *target) rows() []map[string]any {
	rows := []map[string]any{}
	for _, m := range t.models {
		rows = append(rows, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return rows
}

func (t *target) report() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]any{
		"id": t.id, "born": t.born, "stage": "both", "models": t.rows(), "busy": t.busy, "sequence": t.sequence,
		"queued": 0, "running": t.running, "kv_used": 0, "kv_total": 100000, "handles": 0,
	}
}

func (t *target) order(conn net.Conn, body []byte) bool {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Token     uint64 `json:"fencing_token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Token == 0 {
		return t.reply(conn, 400, "", "")
	}
	status := t.take(o.Operation, o.Model, o.Expected)
	t.tell(told{What: "order", Line: o.Operation, Model: o.Model, Holder: o.Holder, Token: o.Token, N: status})
	return t.reply(conn, status, "", "")
}

// take begins to carry out an order and returns the status of its answer.
func (t *target) take(operation, model string, expected *int64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	loaded := slices.Contains(t.models, model)
	switch {
	case t.busy, expected != nil && *expected != t.sequence:
		return http.StatusConflict
	case loaded == (operation == "load"):
		return http.StatusOK
	}
	t.sequence++
	if operation == "unload" {
		t.models = slices.DeleteFunc(t.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	}
	if len(t.models) >= t.memory {
		t.tell(told{What: "overfull", Model: model})
		os.Exit(3)
	}
	t.busy = true
	time.AfterFunc(t.load, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.busy = false
		t.models = append(t.models, model)
	})
	return http.StatusAccepted
}

// run runs a caller's request and reports whether the connection stays open.
func (t *target) run(conn net.Conn, line string, req *http.Request) bool {
	id, model := req.Header.Get("Chivecroft-Attempt-Id"), req.Header.Get("Chivecroft-Model")
	t.mu.Lock()
	if t.memory > 0 && !slices.Contains(t.models, model) {
		t.mu.Unlock()
		return t.reply(conn, 421, "Chivecroft-Not-Executed: 1\r\nChivecroft-Attempt-Id: "+id, "")
	}
	t.answers++
	t.running++
	framed := t.unframedEvery == 0 || t.answers%t.unframedEvery != 0
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	t.tell(told{What: "run", ID: id, Line: line, Model: model, Framed: &framed})
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nChivecroft-Attempt-Id: %s\r\nChivecroft-Response-Signature: sig-%s-%s\r\n", id, t.id, id)
	var err error
	if t.memory > 0 {
		err = t.stream(conn, head, id, framed)
	} else {
		err = t.page(conn, head, id, framed)
	}
	what := "whole"
	if err != nil {
		what = "cut"
	}
	t.tell(told{What: what, ID: id})
	return err == nil && framed
}

var errUnsent = errors.New("the connection has ended")

// page sends a plain answer in two halves.
func (t *target) page(conn net.Conn, head, id string, framed bool) error {
	if framed {
		head += fmt.Sprintf("Content-Length: %d\r\n", t.plain)
	} else {
		head += "Connection: close\r\n"
	}
	body := strings.Repeat("x", t.plain-1) + "."
	half := len(body) / 2
	if _, err := io.WriteString(conn, head+"\r\n"+body[:half]); err != nil {
		return errUnsent
	}
	t.tell(told{What: "half", ID: id, N: half, Framed: &framed})
	time.Sleep(t.pause)
	if _, err := io.WriteString(conn, body[half:]); err != nil {
		return errUnsent
	}
	return nil
}

// stream sends a stream of events.
func (t *target) stream(conn net.Conn, head, id string, framed bool) error {
	head += "Content-Type: text/event-stream\r\n"
	if framed {
		head += "Transfer-Encoding: chunked\r\n"
	} else {
		head += "Connection: close\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return errUnsent
	}
	for n := 1; n <= t.events; n++ {
		time.Sleep(t.pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, t.events)
		if framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return errUnsent
		}
		t.tell(told{What: "event", ID: id, N: n, Framed: &framed})
	}
	if framed {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return errUnsent
		}
	}
	return nil
}
