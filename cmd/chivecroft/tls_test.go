package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
	"chivecroft.example/chivecroft/internal/stand/certs"
)

// renewal bounds how long a running entry may take to use renewed files: it
// reads them every 10 s, and once more if it met them half written.
const renewal = 25 * time.Second

// issue writes a certificate of a new authority into a folder.
func issue(t *testing.T, authority, dir string) {
	t.Helper()
	a, err := certs.NewAuthority(authority)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Issue(dir); err != nil {
		t.Fatal(err)
	}
}

// trusting is the configuration of a client that trusts what is in a folder;
// own tells whether it shows the folder's certificate.
func trusting(t *testing.T, roots, own string) *tls.Config {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(roots, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	c := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	c.RootCAs.AppendCertsFromPEM(data)
	if own == "" {
		return c
	}
	cert, err := tls.LoadX509KeyPair(filepath.Join(own, "cert.pem"), filepath.Join(own, "key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	// Without this the client would hold back a certificate that the server's
	// authorities have not signed.
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }
	return c
}

// reach tells what a client of the peers' listener gets.
func reach(t *testing.T, url string, config *tls.Config) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/chivecroft.peer.v1.PeerService/Nothing", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "refused"
	}
	defer resp.Body.Close()
	return fmt.Sprint(resp.StatusCode)
}

// startSecure starts an entry whose three listeners speak TLS, the peers' with
// certificates on both sides.
func (s *system) startSecure(id, dir string) {
	s.t.Helper()
	path := filepath.Join(s.files, id+".ini")
	if _, err := os.Stat(path); err != nil {
		files := fmt.Sprintf("tlsCert = %[1]s/cert.pem\ntlsKey = %[1]s/key.pem\n", dir)
		settings := fmt.Sprintf(`
[entry]
id = %s
zone = bul-a
region = bulacan
[callers]
listen = %s
%s
[operators]
listen = %s
keyHashes = %s
%s
[peers]
listen = %s
%stlsCA = %s/ca.pem
[platform]
url = %s
listEvery = 500ms
leaseTTL = 6s
`, id, freeAddr(s.t), files, freeAddr(s.t), demo.KeyHash(demo.OperatorKey), files, freeAddr(s.t), files, dir, s.platform)
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	s.startEntry(id, "bul-a", "bulacan")
	s.callers[id] = strings.Replace(s.callers[id], "http:", "https:", 1)
	s.ops[id] = strings.Replace(s.ops[id], "http:", "https:", 1)
}

// secureChat asks an entry over TLS and returns the verdict.
func (s *system) secureChat(t *testing.T, id, dir, question string) string {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: trusting(t, dir, "")}
	defer transport.CloseIdleConnections()
	caller := bench.NewCaller(s.callers[id], demo.CallerKey, &http.Client{Transport: transport})
	answer := caller.Chat(t.Context(), bench.Chat{Model: "menu-7b", Content: question, Seed: 7, Tokens: 5, Deadline: 10 * time.Second})
	return strings.TrimSpace(string(answer.Verdict) + " " + answer.Reason)
}

// TestTLS walks the whole path over TLS, shows strangers the door, and renews
// the files under another authority while the entries run.
func TestTLS(t *testing.T) {
	t.Parallel()
	dir, others := t.TempDir(), t.TempDir()
	issue(t, "first", dir)
	issue(t, "stranger", others)
	s := newSystem(t)
	s.ca = filepath.Join(dir, "ca.pem")
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	s.startSecure("bul-a-e1", dir)
	s.startSecure("bul-a-e2", dir)
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1", "bul-a-e2")
	s.bothMembers()
	peers := "https://" + s.entries["bul-a-e1"].ready["peers"].(string)
	got := []string{
		"chat at e1: " + s.secureChat(t, "bul-a-e1", dir, "first"),
		"chat at e2: " + s.secureChat(t, "bul-a-e2", dir, "second"),
		"caller who trusts others: " + s.secureChat(t, "bul-a-e1", others, "third")[:len("lost")],
		"peer of the authority: " + reach(t, peers, trusting(t, dir, dir)),
		"peer without a certificate: " + reach(t, peers, trusting(t, dir, "")),
		"peer with a stranger's: " + reach(t, peers, trusting(t, dir, others)),
		"plain peer: " + reach(t, strings.Replace(peers, "https", "http", 1), nil),
	}
	s.ca = filepath.Join(others, "ca.pem")
	code, _ := s.command("bul-a-e1", "", "status")
	got = append(got, fmt.Sprintf("operator who trusts others: exit %d", code))
	want := []string{
		"chat at e1: served",
		"chat at e2: served",
		"caller who trusts others: lost",
		"peer of the authority: 404",
		"peer without a certificate: refused",
		"peer with a stranger's: refused",
		"plain peer: 400",
		"operator who trusts others: exit 3",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("over TLS (-want +got):\n%s", diff)
	}
	s.ca = filepath.Join(dir, "ca.pem")
	s.renew(t, dir)
}

// renew puts files of another authority in place and expects every listener,
// and the connections between the entries, to follow.
func (s *system) renew(t *testing.T, dir string) {
	t.Helper()
	issue(t, "second", dir)
	for _, id := range []string{"bul-a-e1", "bul-a-e2"} {
		s.eventually(renewal, func() string {
			if code, out := s.command(id, "", "status"); code != 0 {
				return fmt.Sprintf("operators' listener of %s: exit %d %s", id, code, out)
			}
			if got := s.secureChat(t, id, dir, "renewed"); got != "served" {
				return fmt.Sprintf("callers' listener of %s: %s", id, got)
			}
			peers := "https://" + s.entries[id].ready["peers"].(string)
			if got := reach(t, peers, trusting(t, dir, dir)); got != "404" {
				return fmt.Sprintf("peers' listener of %s: %s", id, got)
			}
			return ""
		})
	}
	// A new instance knows the new authority alone, and the other one has to dial
	// it with its new certificate.
	if code := s.entries["bul-a-e2"].stop(t); code != 0 {
		t.Errorf("stop: exit %d", code)
	}
	s.startSecure("bul-a-e2", dir)
	s.settled(1, "bul-a-e1", "bul-a-e2")
	s.bothMembers()
	if got := s.secureChat(t, "bul-a-e2", dir, "after"); got != "served" {
		t.Errorf("chat after the renewal: %s", got)
	}
}

// bothMembers waits until the two entries have heard of each other by the peer
// protocol, which alone tells which configuration a member has.
func (s *system) bothMembers() {
	s.t.Helper()
	for _, id := range []string{"bul-a-e1", "bul-a-e2"} {
		s.eventually(19*time.Second, func() string {
			heard := 0
			for _, m := range s.status(id).Members {
				if m.Phase == "alive" && m.Config >= 1 {
					heard++
				}
			}
			if heard < 2 {
				return fmt.Sprintf("%s has heard of %d members", id, heard)
			}
			return ""
		})
	}
}
