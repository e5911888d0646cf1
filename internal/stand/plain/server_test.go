package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func start(t *testing.T) (*Server, string) {
	t.Helper()
	s := New()
	at, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, "http://" + at.String()
}

// post sends a body under a key on a client's kept connection, if it has one.
func post(client *http.Client, url, key string, body io.Reader) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return "", err
	}
	// The other spelling keeps the transport from sending the request again by itself.
	req.Header["idempotency-key"] = []string{key}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		fails  bool
		runs   int
	}{
		{"none", `{}`, false, 1},
		{"dropped after the effect", `{"dropNext":1}`, true, 1},
		{"every answer dropped", `{"dropRate":1}`, true, 1},
		{"refused before the effect", `{"outage":"refuse"}`, false, 0},
		{"hanging before the effect", `{"outage":"hang"}`, true, 0},
		{"reset before the effect", `{"outage":"reset"}`, true, 0},
		{"delayed", `{"delay":"20ms"}`, false, 1},
		{"delayed too long", `{"delay":"10s"}`, true, 0},
		{"frozen", `{"freeze":true}`, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, url := start(t)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			if _, err := post(client, url, "first", nil); err != nil {
				t.Fatal(err)
			}
			if status := control(t, http.MethodPost, url, tt.faults); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			_, err := post(client, url+"/issue", "k", strings.NewReader("seat 12"))
			if (err != nil) != tt.fails {
				t.Errorf("the call ended with %v", err)
			}
			if n := s.Executions().Runs["k"]; n != tt.runs {
				t.Errorf("%d runs, want %d", n, tt.runs)
			}
			if status := control(t, http.MethodDelete, url, ""); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			got, err := post(client, url+"/issue?x=1", "after", strings.NewReader("seat 13"))
			want := string(Echo("POST", "/issue?x=1", []byte("seat 13")))
			if err != nil || got != want {
				t.Errorf("after the fault: %q, %v", got, err)
			}
		})
	}
}

// control changes the faults on a connection of its own.
func control(t *testing.T, method, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url+"/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestWrongFaults(t *testing.T) {
	s, url := start(t)
	for _, body := range []string{`{"dropRate":2}`, `{"delay":5}`, `{"delay":"-1s"}`, `{"outage":"lunch"}`, `{"dorpNext":1}`, `{`, ``} {
		if status := control(t, http.MethodPost, url, body); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, status)
		}
	}
	if diff := cmp.Diff(Faults{}, s.Faults()); diff != "" {
		t.Errorf("a wrong change left something (-want +got):\n%s", diff)
	}
}

// TestCutBody does not count a request whose body broke off.
func TestCutBody(t *testing.T) {
	s, url := start(t)
	errCut := errors.New("cut")
	body := io.MultiReader(strings.NewReader("seat"), &failing{errCut})
	if _, err := post(http.DefaultClient, url, "k", body); err == nil {
		t.Fatal("no error")
	}
	if n := s.Executions().Runs["k"]; n != 0 {
		t.Errorf("%d runs", n)
	}
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// TestLongBody streams more than any buffer both ways.
func TestLongBody(t *testing.T) {
	_, url := start(t)
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	resp, err := http.Post(url+"/long", "text/plain", io.MultiReader(bytes.NewReader(long)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(got, Echo("POST", "/long", long)) {
		t.Errorf("%d bytes came back, %v", len(got), err)
	}
}
