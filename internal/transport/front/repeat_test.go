package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// lingering sends answers whose end comes late, though their length is known.
type lingering struct {
	body string
	end  chan struct{}
}

// Send answers at once.
func (l *lingering) Send(*http.Request, bool) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusCreated, Header: http.Header{}, ContentLength: int64(len(l.body)),
		Body: &lingeringBody{Reader: strings.NewReader(l.body), end: l.end},
	}, nil
}

type lingeringBody struct {
	*strings.Reader
	end chan struct{}
}

// Read returns the body and waits before its end.
func (b *lingeringBody) Read(p []byte) (int, error) {
	if b.Len() == 0 {
		<-b.end
		return 0, io.EOF
	}
	return b.Reader.Read(p)
}

// Close does nothing.
func (b *lingeringBody) Close() error { return nil }

// TestRepeatAtOnce repeats a run-once call as soon as its caller has the whole
// answer, which is before the entry has seen the answer's end.
func TestRepeatAtOnce(t *testing.T) {
	services := &lingering{body: "ticket 7", end: make(chan struct{})}
	r := newRig(t, func(r *rig) { r.services = services })
	defer r.driver.Stop()
	r.table.ApplyInstances([]ports.Instance{{
		ID: "d1", Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan",
		Addr: netip.MustParseAddrPort("127.0.0.1:9"),
	}})
	server := httptest.NewServer(r.handler)
	defer server.Close()
	defer close(services.end)
	issue := func() (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/services/tickets/issue", strings.NewReader("two seats"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body := make([]byte, len(services.body))
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			t.Errorf("read: %v", err)
		}
		return resp.StatusCode, string(body)
	}
	for _, call := range []string{"first", "repeat"} {
		began := time.Now()
		if status, body := issue(); status != http.StatusCreated || body != services.body {
			t.Errorf("%s: %d %s after %v", call, status, body, time.Since(began))
		}
	}
}
