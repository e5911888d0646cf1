package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/state/rank"
	"chivecroft.example/chivecroft/platform/fake"
)

// What callers do.
const (
	soakCallers = 24
	callPause   = 250 * time.Millisecond
	// leaveShare is the part of callers that leave early, pressedLeaveShare while
	// many do.
	leaveShare        = 0.03
	pressedLeaveShare = 0.4
	probeEvery        = 250 * time.Millisecond
	readyEvery        = 500 * time.Millisecond
)

// callKind is a kind of request.
type callKind struct {
	name   string
	within time.Duration
	share  float64
	// once tells that a request may run once, stream that events answer it.
	once, stream bool
}

var lookups = callKind{"lookup", 1500 * time.Millisecond, 0.2, false, false}

var callKinds = []callKind{
	{"issue", 1500 * time.Millisecond, 0.3, true, false},
	lookups,
	{"chat", 8 * time.Second, 0.35, false, true},
	{"settle", 10 * time.Second, 0.15, true, true},
}

func plainBody(id string) string { return "answer to " + id }

func eventCount(id string) int { return 3 + int(rank.Hash(id)%30) }

func eventOf(id string, i, count int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", i, id, i, count)
}

func (w *soakWorld) startCallers(ctx context.Context) {
	start := func(f func(context.Context)) {
		w.calling.Add(1)
		go func() {
			defer w.calling.Done()
			f(ctx)
		}()
	}
	for i := range soakCallers {
		start(func(ctx context.Context) { w.caller(ctx, fmt.Sprint("c", i), "") })
	}
	for _, in := range w.instances {
		start(func(ctx context.Context) { w.askReady(ctx, in) })
		start(func(ctx context.Context) { w.probe(ctx, in) })
		start(func(ctx context.Context) { w.askWithRevokedKey(ctx, in) })
	}
}

func (w *soakWorld) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, in := range w.instances {
		for !isReady(in.ready) {
			if time.Now().After(end) {
				w.t.Fatalf("%s is not ready", in.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// isReady tells whether the instance with a port for readiness checks is ready.
func isReady(at netip.AddrPort) bool {
	client := http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + at.String() + fake.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// askReady takes an instance out of rotation after two misses.
func (w *soakWorld) askReady(ctx context.Context, in *soakInstance) {
	missed := 0
	for ctx.Err() == nil {
		missed++
		if isReady(in.ready) {
			missed = 0
		}
		in.mu.Lock()
		in.rotated = missed < 2
		in.mu.Unlock()
		time.Sleep(readyEvery)
	}
}

// dial connects a caller to an instance in rotation, to any if none is.
func (w *soakWorld) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	var open []netip.AddrPort
	for _, in := range w.instances {
		if in.takesCallers() {
			open = append(open, in.callers)
		}
	}
	if len(open) == 0 {
		for _, in := range w.instances {
			open = append(open, in.callers)
		}
	}
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, "tcp", open[rand.IntN(len(open))].String())
}

func (w *soakWorld) instanceAt(addr net.Addr) *soakInstance {
	for _, in := range w.instances {
		if in.callers.String() == addr.String() {
			return in
		}
	}
	return nil
}

// caller sends one request after the other, with keys of all teams or of one, and keeps its
// connections.
func (w *soakWorld) caller(ctx context.Context, name, team string) {
	transport := &http.Transport{DialContext: w.dial, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		w.mu.Lock()
		eager, rare, leaving := w.eager > 0, w.rare > 0, w.leaving
		w.mu.Unlock()
		c := &soakCall{id: fmt.Sprintf("%s-%d", name, n), kind: drawKind(rare), began: time.Now()}
		share := leaveShare
		if leaving {
			share = pressedLeaveShare
		}
		patience := c.kind.within
		if rand.Float64() < share {
			patience = time.Duration(rand.Int64N(int64(300 * time.Millisecond)))
			c.leaves = true
		}
		w.call(transport, c, patience, drawModel(c.kind, rare), w.drawTeam(c, team))
		w.record.called(c)
		pause := time.Duration(rand.Int64N(int64(2 * callPause)))
		if eager {
			pause /= 8
		}
		time.Sleep(pause)
	}
}

func drawKind(rare bool) callKind {
	if rare {
		return callKinds[3]
	}
	point := rand.Float64()
	for _, k := range callKinds {
		if point -= k.share; point < 0 {
			return k
		}
	}
	return callKinds[0]
}

// drawModel gives chats the model that all engines hold, or one of a few, and
// settlements any.
func drawModel(k callKind, rare bool) string {
	switch {
	case !k.stream:
		return ""
	case k.once || rare:
		return fmt.Sprintf("m%d", 1+rand.IntN(soakModels-1))
	}
	return "m0"
}

// call sends one request and takes its answer.
func (w *soakWorld) call(transport *http.Transport, c *soakCall, patience time.Duration, model, claim string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if in := w.instanceAt(info.Conn.RemoteAddr()); in != nil {
			c.instance = in.id
			w.record.sentTo(c.id, in.id)
		}
	}}
	prompt := ""
	if c.kind.stream {
		prompt = w.drawPrompt(c)
	}
	call := fake.Call{
		ID: c.id, Host: soakHost, Path: "/" + c.kind.name + "/", Model: model, Prompt: prompt, Within: c.kind.within, Body: "body of " + c.id,
		Key: c.key, Team: claim, Usage: fmt.Sprintf("%d,20", c.tokens-20),
	}
	req, err := call.Request(httptrace.WithClientTrace(ctx, trace), netip.AddrPortFrom(netip.IPv4Unspecified(), 1))
	if err != nil {
		w.t.Error(err)
		return
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		c.status = resp.StatusCode
		c.signed = fake.SignedBy(resp)
		c.readAnswer(resp)
		_ = resp.Body.Close()
	}
	c.err = cmp.Or(err, c.err)
	c.left = ctx.Err() != nil
	c.ended = time.Now()
}

// readAnswer reads a body, or the events of a stream one by one.
func (c *soakCall) readAnswer(resp *http.Response) {
	if !c.kind.stream || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		c.body, c.err = string(body), err
		return
	}
	reader := bufio.NewReader(resp.Body)
	var event strings.Builder
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if line == "\n" {
			c.events = append(c.events, event.String())
			event.Reset()
		}
		if err != nil {
			if err != io.EOF {
				c.err = err
			}
			c.body = event.String()
			return
		}
	}
}

// probe asks an instance for the route that the newest version has brought.
func (w *soakWorld) probe(ctx context.Context, in *soakInstance) {
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		version, ackedAt := w.record.newest()
		incarnation, _ := in.life()
		p := soakProbe{instance: in.id, incarnation: incarnation, version: version, acked: ackedAt, began: time.Now()}
		call := fake.Call{ID: fmt.Sprintf("p-%s-%d", in.id, n), Host: soakHost, Path: fmt.Sprintf("/v%d/", version), Team: soakTeams[0], Within: time.Second}
		req, err := call.Request(ctx, in.callers)
		if err != nil {
			w.t.Error(err)
			return
		}
		if resp, err := client.Do(req); err == nil {
			p.status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		p.ended = time.Now()
		w.record.probed(p)
		time.Sleep(probeEvery)
	}
}
