package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/plain"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

// serveRig serves a rig on loopback before one real instance of the plain
// service "tickets".
func serveRig(t *testing.T, change ...func(*rig)) (*rig, *httptest.Server, *plain.Server) {
	t.Helper()
	stand := plain.New(plain.WithService("tickets"))
	at, err := stand.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	services := probe.NewServices()
	r := newRig(t, append(change, func(r *rig) { r.services = services })...)
	r.table.ApplyInstances([]ports.Instance{{
		ID: "d1", Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan", Addr: at,
	}})
	r.rows(1, replicaRow("r1", "menu", 9001))
	server := httptest.NewServer(r.handler)
	t.Cleanup(func() {
		server.Close()
		services.Close()
		stand.Close()
		r.driver.Stop()
	})
	return r, server, stand
}

// bulk is an endless body.
type bulk struct{}

func (bulk) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// TestLargeBodies passes 100 MB each way without holding them.
func TestLargeBodies(t *testing.T) {
	const size, growth = 100 << 20, 16 << 20
	_, server, _ := serveRig(t)
	peak := watchHeap(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/services/tickets/upload", io.LimitReader(bulk{}, size))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n < size {
		t.Errorf("%d bytes came back: %v", n, err)
	}
	if grown := peak(); grown > growth {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
}

// watchHeap returns a function that tells by how much the heap has grown at most.
func watchHeap(t *testing.T) func() int64 {
	t.Helper()
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	stop := make(chan struct{})
	grown := make(chan int64, 1)
	go func() {
		most := int64(0)
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most = max(most, int64(now.HeapInuse)-int64(before.HeapInuse))
			select {
			case <-stop:
				grown <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(stop)
		return <-grown
	}
}

// TestGoroutinesReturn cancels thousands of callers at all moments.
func TestGoroutinesReturn(t *testing.T) {
	r, server, _ := serveRig(t)
	long := strings.Replace(tenTokens, `"max_tokens":10`, `"max_tokens":1000`, 1)
	client := server.Client()
	before := runtime.NumGoroutine()
	const callers, each = 50, 200
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := range each {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration((i*each+j)%12)*time.Millisecond)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(long))
				if err != nil {
					t.Error(err)
				}
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	client.CloseIdleConnections()
	deadline := time.Now().Add(10 * time.Second)
	for runtime.NumGoroutine() > before+5 || r.handler.InFlight() > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d goroutines after %d before, %d in flight", runtime.NumGoroutine(), before, r.handler.InFlight())
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := r.table.InFlight("menu"); n != 0 {
		t.Errorf("%d places were never given back", n)
	}
}

// TestRawRequests sends what no client library would.
func TestRawRequests(t *testing.T) {
	_, server, stand := serveRig(t)
	const chat = "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nConnection: close\r\n"
	const issue = "POST /services/tickets/issue HTTP/1.1\r\nHost: e\r\nConnection: close\r\nIdempotency-Key: k\r\n"
	table := []struct{ name, request, status, reason string }{
		{"half a chat body", chat + "Content-Length: 500\r\n\r\n{\"model\"", "400", "bodyCut"},
		{"chat body too large", chat + "Content-Length: 999999999\r\n\r\n", "413", "bodyTooLarge"},
		{"half a ticket", issue + "Content-Length: 500\r\n\r\nseat", "400", "bodyCut"},
		{"ticket too large", issue + "Content-Length: 99999999\r\n\r\n", "413", "bodyTooLarge"},
		{"dot segments", "POST /services/tickets/x/../issue HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", "400", "malformed"},
		{"escaped dot segments", "POST /services/tickets/x/%2e%2e/issue HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", "400", "malformed"},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, c.request)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body := text(t, resp)
			if fmt.Sprint(resp.StatusCode) != c.status || !strings.Contains(body, `"reason":"`+c.reason+`"`) || !strings.Contains(body, `"notRun":true`) {
				t.Errorf("got %d %s", resp.StatusCode, body)
			}
		})
	}
	if n := len(stand.Executions().Runs); n != 0 {
		t.Errorf("%d of the refused calls ran", n)
	}
}

// TestSlowCallers lets callers stop in the middle of their bodies and of their
// answers: they are let go, and others are served meanwhile.
func TestSlowCallers(t *testing.T) {
	r, server, _ := serveRig(t, func(r *rig) { r.idle = 300 * time.Millisecond })
	const stalled = 20
	for range stalled {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 500\r\n\r\n{")
		reader, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Close()
		fmt.Fprint(reader, "GET /services/tickets/big?size=50000000 HTTP/1.1\r\nHost: e\r\n\r\n")
	}
	for range 20 {
		resp, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(tenTokens))
		if err != nil {
			t.Fatal(err)
		}
		if body := text(t, resp); !strings.Contains(body, wantTen()) {
			t.Errorf("status %d: %s", resp.StatusCode, body)
		}
		resp.Body.Close()
	}
	deadline := time.Now().Add(10 * time.Second)
	for r.handler.InFlight() > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d callers still hold the entry", r.handler.InFlight())
		}
		time.Sleep(20 * time.Millisecond)
	}
	got := map[string]int{}
	for _, o := range r.outcomes {
		got[string(o.Status)+" "+string(o.Reason)]++
	}
	want := map[string]int{"served ": 20, "refused bodySlow": stalled, "failed callerStalled": stalled}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestHeldBodies lets callers owe more than the entry may hold: the one too many
// is refused at once, and the room comes back when the others are done.
func TestHeldBodies(t *testing.T) {
	r := newRig(t)
	defer r.driver.Stop()
	const size, callers = 4 << 20, 16
	var wg sync.WaitGroup
	var ends []*io.PipeWriter
	post := func(body io.Reader) *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body)
		req.ContentLength = size
		w := httptest.NewRecorder()
		r.handler.ServeHTTP(w, req)
		return w
	}
	for range callers {
		body, end := io.Pipe()
		ends = append(ends, end)
		wg.Go(func() { post(body) })
	}
	for r.handler.InFlight() < callers {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if w := post(strings.NewReader("{")); !strings.Contains(w.Body.String(), `"reason":"overload"`) {
		t.Errorf("with 64 MB owed: %s", w.Body)
	}
	for _, end := range ends {
		_ = end.Close()
	}
	wg.Wait()
	if w := post(strings.NewReader("{")); !strings.Contains(w.Body.String(), `"reason":"malformed"`) {
		t.Errorf("with nothing owed: %s", w.Body)
	}
}
