package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// sendLine sends a request with the given request line to the server, whose routes are
// replaced by one for the whole host, and returns the status of the answer and the request
// line that a target was sent, empty for none.
func sendLine(t *testing.T, line string) (int, string) {
	t.Helper()
	r := newRig(t)
	r.config.Routes = []fleet.Route{{
		Name: "all", Host: "x.example", PathPrefix: "/", Kind: fleet.KindSafe, Timeout: routeTimeout, MaxAttempts: 1,
		Backends: []fleet.Backend{{Service: "s", Weight: 1}},
	}}
	if err := r.config.Index(); err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 1)
	r.listTarget("near", func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		got, _ := reader.ReadString('\n')
		seen <- strings.TrimSpace(got)
		_, err := readCall(bufio.NewReader(io.MultiReader(strings.NewReader("GET / HTTP/1.1\r\n"), reader)))
		if err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(conn, head("raw", "Content-Length: 0"))
	})
	status := r.statusOf(line)
	select {
	case got := <-seen:
		return status, got
	default:
		return status, ""
	}
}

// TestPathsPassUnchanged guards against request lines that differ from those of the caller,
// so that a target would run a request that nobody has sent.
func TestPathsPassUnchanged(t *testing.T) {
	same := func(target string) [2]string { return [2]string{target, target} }
	for _, c := range [][2]string{
		same("/"), same("/look/2f"), same("//look/2f"), same("///"), same("//"), same("//a%2Fb//c"), same("//x.example:80/a@b"),
		same("/look//2f/"), same("/..//"), same("//../a"), same("/./a/../b"), same("/%2e%2e/%2F"), same("/a%20b%3Fc"),
		same("/a?"), same("/a??"), same("//a?"), same("//a?b=//c?d"), same("/a?b=%zz&&=;"), same("/a;b=c,d:e"), same("/a|b\"<>`{}^"),
		same("/caf\xc3\xa9"), same("/a?caf\xc3\xa9#b"), same("/a#b"), same("/a://b"), same("/a?x=http://y/z"),
		{"http://x.example/a%2Fb?c", "/a%2Fb?c"},
		{"http://x.example", "/"},
		{"http://x.example?", "/?"},
		{"http://x.example?a=/b", "/?a=/b"},
		{"http://x.example//look/2f", "//look/2f"},
		{"http://x.example/a://b", "/a://b"},
		{"HTTPS://x.example/a", "/a"},
		// These are no valid paths, and net/http would escape them.
		{"//a|b", ""},
		{"//caf\xc3\xa9", ""},
		{"//a#b", ""},
		{"http:/a", ""},
	} {
		t.Run(c[0], func(t *testing.T) {
			t.Parallel()
			status, got := sendLine(t, "GET "+c[0]+" HTTP/1.1")
			wantStatus, want := http.StatusOK, "GET "+c[1]+" HTTP/1.1"
			if c[1] == "" {
				wantStatus, want = http.StatusBadRequest, ""
			}
			if diff := cmp.Diff(want, got); diff != "" || status != wantStatus {
				t.Errorf("status %d, want %d; request line (-want +got):\n%s", status, wantStatus, diff)
			}
		})
	}
}
