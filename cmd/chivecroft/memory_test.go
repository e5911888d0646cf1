package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// Limits of the process under test. They are small, so that a small crowd exceeds them.
const (
	crowdMemoryMB      = 128
	crowdMaxFDs        = 700
	crowdHeaderBytes   = 16 << 10
	crowdBodyBytes     = 4 << 20
	crowdHeaderTimeout = time.Second
	crowdIdleTimeout   = 2 * time.Second
)

const (
	crowdHost = "crowd.example"
	// crowdTime is how long a crowd plays.
	crowdTime = 4 * time.Second
	// crowdAnswerTime is how long the target holds a request while a crowd plays, so that
	// many are open at once.
	crowdAnswerTime = 2 * time.Second
	// sampleInterval is the interval at which the process is measured.
	sampleInterval = 10 * time.Millisecond
	// crowdSlots is more than the crowds have requests, so that none is queued.
	crowdSlots = 1000
)

// crowdSystem is one process of the system with its store and a target.
type crowdSystem struct {
	*process
	t      *testing.T
	store  *fake.Store
	target *fake.Target

	callers, ready, peer, metrics netip.AddrPort
}

// startCrowdSystem runs a process with the limits of the tests and waits until it is ready.
func startCrowdSystem(t *testing.T) *crowdSystem {
	t.Helper()
	s := &crowdSystem{t: t, store: fake.NewStore(t)}
	s.target = fake.NewTarget(t, "t0", "za", 0)
	s.target.Slots = crowdSlots
	s.store.List(t, s.target, "desk", "ready")
	s.store.Write(t, "op/config", crowdConfig(1, crowdHeaderBytes))
	port := fake.FreePorts(t, 4)
	for i, addr := range []*netip.AddrPort{&s.callers, &s.ready, &s.peer, &s.metrics} {
		*addr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+uint16(i))
	}
	boot := fake.Boot{
		Instance: "i0", Zone: "za", Zones: soakZones, Callers: port, Ready: port + 1, Peer: port + 2,
		Store: s.store.Addr(), Bootstrap: true, Bounds: soakBounds, MemoryMB: crowdMemoryMB, MaxFDs: crowdMaxFDs,
	}
	file := filepath.Join(t.TempDir(), "boot.yaml")
	if err := os.WriteFile(file, []byte(boot.YAML()), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--boot", file, "--metrics-port", strconv.Itoa(int(s.metrics.Port())))
	s.process = &process{cmd: cmd, log: new(output), ended: make(chan struct{})}
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.ended)
	}()
	t.Cleanup(s.kill)
	s.awaitReady()
	return s
}

// crowdConfig returns a version of the operators' configuration with the limits of the
// tests.
func crowdConfig(version, headerBytes int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "plain", "host": crowdHost, "path_prefix": "/plain/", "kind": "unsafe",
				"timeout_ms": 8000, "service": "desk", "max_attempts": 1,
			},
			{
				"name": "stream", "host": crowdHost, "path_prefix": "/stream/", "kind": "streaming",
				"timeout_ms": 8000, "service": "desk", "max_attempts": 1,
			},
		},
		"services": []map[string]any{{"name": "desk"}},
		"limits": map[string]any{
			"max_header_bytes": headerBytes, "max_body_bytes": crowdBodyBytes,
			"header_timeout_ms": crowdHeaderTimeout.Milliseconds(), "idle_timeout_ms": crowdIdleTimeout.Milliseconds(),
		},
	}
}

func (s *crowdSystem) awaitReady() {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isReady(s.ready) {
			return
		}
	}
	s.t.Fatalf("the process did not get ready; log:\n%s", s.log)
}

// play measures the process while a crowd plays and for as long afterwards as one ordinary
// request needs, which must be answered.
func (s *crowdSystem) play(crowd func()) {
	s.t.Helper()
	stop, worst := make(chan struct{}), make(chan [2]int)
	go s.measure(stop, worst)
	crowd()
	s.checkOrdinary()
	close(stop)
	most := <-worst
	memory, descriptors := most[0], most[1]
	s.t.Logf("at most %d KB resident and %d descriptors", memory, descriptors)
	if limit := crowdMemoryMB * 1_000_000 / 1024; memory > limit {
		s.t.Errorf("%d KB resident, memory_mb allows %d KB", memory, limit)
	}
	if descriptors > crowdMaxFDs {
		s.t.Errorf("%d descriptors open, max_fds is %d", descriptors, crowdMaxFDs)
	}
	select {
	case <-s.ended:
		s.t.Errorf("the process has ended: %v", s.cmd.ProcessState)
	default:
	}
}

// measure samples the resident memory in KB and the open descriptors, and sends the largest
// of each at the end.
func (s *crowdSystem) measure(stop <-chan struct{}, worst chan<- [2]int) {
	var most [2]int
	for {
		most[0] = max(most[0], residentKB(s.cmd.Process.Pid))
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
		most[1] = max(most[1], len(entries))
		select {
		case <-stop:
			worst <- most
			return
		case <-time.After(sampleInterval):
		}
	}
}

// residentKB returns the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	kb := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// checkOrdinary sends one small request. Like any caller it may repeat one that was
// refused without having run, for as long as such a caller does.
func (s *crowdSystem) checkOrdinary() {
	s.t.Helper()
	s.target.Behave(nil)
	var last string
	for range 50 {
		call := fake.Call{ID: fmt.Sprintf("o%d", time.Now().UnixNano()), Host: crowdHost, Path: "/plain/x", Body: "small"}
		req, err := call.Request(s.t.Context(), s.callers)
		if err != nil {
			s.t.Fatal(err)
		}
		client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
		} else {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			last = fmt.Sprintf("%d %q", resp.StatusCode, body)
			if resp.StatusCode == http.StatusOK && string(body) == "answer of t0" {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Errorf("no answer to an ordinary request after the crowd: %s", last)
}
