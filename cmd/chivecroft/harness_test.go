package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/demo"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/platform/fake"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chivecroft")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "chivecroft")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running process of the program.
type process struct {
	cmd *exec.Cmd
	// ready is the line that it printed once it listened.
	ready map[string]any
	log   *output
	ended chan struct{}
}

// output is what a process has written so far; it may go on writing while a
// test reads it.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write takes more.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns all of it.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// start runs the program and waits for its ready line.
func start(t testing.TB, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), log: new(output), ended: make(chan struct{})}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n')
	if err != nil {
		_ = p.cmd.Wait()
		t.Fatalf("%v printed no ready line: %v\n%s", args, err, p.log)
	}
	if err := json.Unmarshal([]byte(line), &p.ready); err != nil {
		t.Fatalf("%v printed %q: %v", args, line, err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// stop sends SIGTERM and returns the exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.ended:
	case <-time.After(30 * time.Second):
		t.Fatalf("did not stop; log:\n%s", p.log)
	}
	return p.cmd.ProcessState.ExitCode()
}

// system is a deployment of separate processes.
type system struct {
	t        testing.TB
	platform string
	entries  map[string]*process
	targets  map[string]*process
	services map[string]*process
	files    string
	// ca is the file of the authorities that operators' commands trust, if any.
	ca      string
	callers map[string]string
	ops     map[string]string
	// net carries the connections between processes, nil where they are direct.
	net *network
	// toPlatform is the platform's address for entries, advertised the entries'
	// addresses for each other.
	toPlatform string
	advertised map[string]string
}

func newSystem(t testing.TB) *system {
	t.Helper()
	platform := start(t, "standin", "platform")
	url := platform.ready["url"].(string)
	return &system{
		t: t, platform: url, toPlatform: url, files: t.TempDir(),
		entries: make(map[string]*process), targets: make(map[string]*process), services: make(map[string]*process),
		callers: make(map[string]string), ops: make(map[string]string), advertised: make(map[string]string),
	}
}

// newNetworked returns a system whose entries reach each other, targets and the
// platform by way of a network. Targets reach the platform directly: what they
// want of it is the weight store, which is not what the tests cut off.
func newNetworked(t testing.TB) *system {
	t.Helper()
	s := newSystem(t)
	s.net = newNetwork(t)
	s.toPlatform = "http://" + s.net.relay(strings.TrimPrefix(s.platform, "http://"), platformEnd)
	return s
}

func (s *system) startTarget(id, zone, region string, more ...string) {
	args := append([]string{
		"standin", "target", "--id", id, "--zone", zone, "--region", region,
		"--platform", s.platform, "--service", "supper-assist", "--load-time", "500ms",
	}, more...)
	s.targets[id] = start(s.t, args...)
	s.relist(s.targets[id], ports.Instance{ID: id, Zone: zone, Region: region})
}

func (s *system) startService(id, zone, region string) {
	s.services[id] = start(s.t, "standin", "service", "--id", id, "--zone", zone, "--region", region,
		"--platform", s.platform, "--service", "ticket-desk")
	s.relist(s.services[id], ports.Instance{ID: id, Zone: zone, Region: region})
}

// relist makes the instance list show a stand-in at an address on the network,
// once it shows the one at which the stand-in registered itself.
func (s *system) relist(p *process, row ports.Instance) {
	s.t.Helper()
	if s.net == nil {
		return
	}
	s.eventually(10*time.Second, func() string {
		_, out := s.request(http.MethodGet, s.platform+"/instances", "", nil)
		var rows []ports.Instance
		decode(s.t, out, &rows)
		for _, r := range rows {
			if r.ID == row.ID {
				row = r
				return ""
			}
		}
		return row.ID + " is not listed"
	})
	row.Addr = netip.MustParseAddrPort(s.net.relay(p.ready["addr"].(string), end{row.ID, row.Zone}))
	s.list(row)
}

// list puts a row on the instance list.
func (s *system) list(row ports.Instance) {
	s.t.Helper()
	data, err := json.Marshal(row)
	if err != nil {
		s.t.Fatal(err)
	}
	s.request(http.MethodPut, s.platform+"/instances/"+row.ID, string(data), nil)
}

// settings returns the file of an entry's settings, which it writes unless there
// is one.
func (s *system) settings(id, zone, region string) string {
	s.t.Helper()
	path := filepath.Join(s.files, id+".ini")
	if _, err := os.Stat(path); err != nil {
		listen := freeAddr(s.t)
		peers := "listen = " + listen
		if s.net != nil {
			s.advertised[id] = s.net.relay(listen, end{id, zone})
			peers += "\nadvertise = " + s.advertised[id]
		}
		s.writeSettings(path, id, zone, region, peers)
	}
	return path
}

// writeSettings writes an entry's settings; peers are the lines of that section.
func (s *system) writeSettings(path, id, zone, region, peers string) {
	s.t.Helper()
	settings := fmt.Sprintf(`
[entry]
id = %s
zone = %s
region = %s
[callers]
listen = %s
[operators]
listen = %s
keyHashes = %s
[peers]
%s
[platform]
url = %s
listEvery = 500ms
leaseTTL = 6s
`, id, zone, region, freeAddr(s.t), freeAddr(s.t), demo.KeyHash(demo.OperatorKey), peers, s.toPlatform)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startUnlisted starts an entry that the instance list does not show, at its
// earlier addresses if it had any.
func (s *system) startUnlisted(id, zone, region string) *process {
	s.t.Helper()
	p := start(s.t, "entry", "--config", s.settings(id, zone, region))
	s.entries[id] = p
	if s.net != nil {
		s.net.join(p, end{id, zone})
	}
	s.callers[id] = "http://" + p.ready["callers"].(string)
	s.ops[id] = "http://" + p.ready["operators"].(string)
	return p
}

// startEntry starts an entry, at its earlier addresses if it had any.
func (s *system) startEntry(id, zone, region string) {
	s.t.Helper()
	p := s.startUnlisted(id, zone, region)
	addr := s.advertised[id]
	if addr == "" {
		addr = p.ready["peers"].(string)
	}
	s.list(ports.Instance{ID: id, Kind: ports.InstanceEntry, Zone: zone, Region: region, Addr: netip.MustParseAddrPort(addr)})
}

// freeAddr returns an address that nobody listens on and that it has not returned before.
func freeAddr(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", fake.FreePorts(t, 1))
}

// request sends one request and returns the status and the body.
func (s *system) request(method, url, body string, header http.Header) (int, string) {
	s.t.Helper()
	status, text, err := send(method, url, body, header)
	if err != nil {
		s.t.Fatalf("%s %s: %v", method, url, err)
	}
	return status, text
}

func send(method, url, body string, header http.Header) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// command runs an operator's command and returns its exit code and output.
func (s *system) command(entry, stdin string, args ...string) (int, string) {
	s.t.Helper()
	args = append(args, "--entry", s.ops[entry], "--key", demo.OperatorKey)
	if s.ca != "" {
		args = append(args, "--ca", s.ca)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdin = strings.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		s.t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// eventually polls until check returns an empty text, which else says what is
// still missing.
func (s *system) eventually(within time.Duration, check func() string) {
	s.t.Helper()
	deadline := time.Now().Add(within)
	for {
		missing := check()
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			for id, p := range s.entries {
				s.t.Logf("log of %s:\n%s", id, p.log)
			}
			s.t.Fatalf("after %v: %s", within, missing)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// statusOf is the part of the status that the tests look at.
type statusOf struct {
	ConfigVersion uint64 `json:"configVersion"`
	Members       []struct {
		ID     string `json:"id"`
		Zone   string `json:"zone"`
		Phase  string `json:"phase"`
		Shards []int  `json:"shards"`
		Config uint64 `json:"configVersion"`
	} `json:"members"`
	Shards []struct {
		Mode string `json:"mode"`
	} `json:"shards"`
	Replicas []struct {
		Model string `json:"model"`
		Zone  string `json:"zone"`
		Shard int    `json:"shard"`
		Phase string `json:"phase"`
	} `json:"replicas"`
}

func (s *system) status(entry string) statusOf {
	s.t.Helper()
	code, out := s.command(entry, "", "status", "--json")
	var status statusOf
	if err := json.Unmarshal([]byte(out), &status); code != 0 || err != nil {
		s.t.Fatalf("status of %s: exit code %d, %v\n%s", entry, code, err, out)
	}
	return status
}

// settled waits until the entries have a version and every shard of their zones
// has an owner.
func (s *system) settled(version uint64, entries ...string) {
	s.t.Helper()
	for _, id := range entries {
		s.eventually(19*time.Second, func() string {
			status := s.status(id)
			if status.ConfigVersion < version {
				return fmt.Sprintf("%s is at version %d of %d", id, status.ConfigVersion, version)
			}
			owned := 0
			for _, m := range status.Members {
				if m.Phase == "alive" && strings.HasPrefix(id, m.Zone) {
					owned += len(m.Shards)
				}
			}
			if owned < len(status.Shards) {
				return fmt.Sprintf("%s sees %d of %d shards owned", id, owned, len(status.Shards))
			}
			return ""
		})
	}
}

// patch makes version 1 of every test.
var patch = fmt.Sprintf(`{
  "id": "test-1", "base": 0,
  "set": {
    "services": {
      "supper-assist": {"kind": "model", "class": "interactive", "deadline": "20s"},
      "ticket-desk": {"kind": "plain", "class": "lookup", "deadline": "10s",
        "routes": [{"method": "POST", "prefix": "/tickets", "class": "runOnce"}]}
    },
    "models": {"menu-7b": {"service": "supper-assist", "checkpoint": "c", "memoryBytes": 17179869184, "loadTime": "500ms"}},
    "adapters": {"menu-tagalog": {"model": "menu-7b", "checkpoint": "a", "memoryBytes": 104857600}},
    "rules": {"menu-7b": {"maxReplicas": 2}},
    "tenants": {"residents": {"keyHashes": [%q]}}
  }
}`, demo.KeyHash(demo.CallerKey))

// chat asks for a streamed answer and returns the text, whole or not.
func chat(url, model, question string, tokens int) (text string, whole bool, status int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"seed":7,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, question)
	status, out, err := send(http.MethodPost, url+"/v1/chat/completions", body, nil)
	if err != nil || status != http.StatusOK {
		return out, false, status, err
	}
	for _, line := range strings.Split(out, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true, status, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, false, status, err
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false, status, nil
}

// wanted is the text that a chat must get.
func wanted(model, adapter, question string, tokens int) string {
	return strings.Join(target.Answer(wire.GenerateRequest{
		Model: model, Adapter: adapter, Seed: 7, MaxTokens: tokens,
		Messages: []wire.Message{{Role: "user", Content: question}},
	}), "")
}

// loads counts the loads that the targets began, by their own record.
func (s *system) loads() int {
	s.t.Helper()
	n := 0
	for _, p := range s.targets {
		_, out := s.request(http.MethodGet, p.ready["url"].(string)+"/record", "", nil)
		var record struct{ Loads map[string]int }
		if err := json.Unmarshal([]byte(out), &record); err != nil {
			s.t.Fatal(err)
		}
		for _, k := range record.Loads {
			n += k
		}
	}
	return n
}

func decode(t testing.TB, text string, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		t.Fatalf("%v in %q", err, text)
	}
}
