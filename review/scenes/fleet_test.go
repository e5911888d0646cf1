package scenes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the users' sheet of lec-etch that the scenes need.
const (
	drainBound = 2500 * time.Millisecond
	// contactBound is how long a machine must have been calm to be in touch.
	contactBound = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// deployFile holds the command that the platform starts.
const deployFile = "deploy/system.toml"

// errNotReady is the error of machines that have not come up.
var errNotReady = errors.New("the machines are not ready")

// world is one deployment: its store, machines and replicas.
type world struct {
	ctx     context.Context //nolint:containedctx // ends with the scene
	rec     *record
	store   *store
	trouble bool
	dir     string
	// net is the first three numbers of all addresses.
	net      string
	ports    int
	machines []*machine
	replicas int
	// repo is the root of the repository.
	repo string

	mu sync.Mutex
	// sent holds the machine that each request was sent to, answers what its client got.
	sent    map[string]*machine
	answers map[string]answer
}

// machine is a machine of the system with one process.
type machine struct {
	name string
	ip   string
	zone string
	w    *world
	// store is where the machine reaches the store.
	store *storePort
	cmd   *exec.Cmd
	done  chan struct{}
	logs  bytes.Buffer

	mu sync.Mutex
	// disturbed holds when the machine was started, signalled or disturbed.
	disturbed []time.Time
}

// zones are the zones of all scenes with their region.
var zones = []string{"zone-a", "zone-b"}

// newWorld returns a world whose store runs, with no machines and an empty configuration.
func newWorld(ctx context.Context, rec *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "scenes")
	if err != nil {
		return nil, err
	}
	repo, err := repoRoot()
	if err != nil {
		return nil, err
	}
	w := &world{
		ctx: ctx, rec: rec, store: newStore(), sent: make(map[string]*machine), answers: make(map[string]answer), trouble: trouble, dir: dir, repo: repo,
		net:   fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		ports: 21000 + 20*rand.IntN(400),
	}
	return w, nil
}

// repoRoot returns the folder above this one that holds the deploy file.
func repoRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, missing := os.Stat(filepath.Join(dir, deployFile)); missing == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", os.ErrNotExist
		}
		dir = filepath.Dir(dir)
	}
	return "", err
}

// command returns the command of the deploy file.
func (w *world) command() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(w.repo, deployFile))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, os.ErrNotExist
}

// addMachine starts a machine in a zone.
func (w *world) addMachine(zone string, bootstrap bool) (*machine, error) {
	n := len(w.machines) + 1
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", w.net, 10+n), zone: zone, w: w}
	port, err := w.store.listen(w.ctx, w.net+".1:0")
	if err != nil {
		return nil, err
	}
	m.store = port
	w.machines = append(w.machines, m)
	return m, m.start(bootstrap)
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.w.ports) }

func (m *machine) ready() string { return fmt.Sprintf("%s:%d", m.ip, m.w.ports+1) }

// start starts the process of the machine.
func (m *machine) start(bootstrap bool) error {
	boot := filepath.Join(m.w.dir, m.name+".yaml")
	if err := os.WriteFile(boot, []byte(m.boot(bootstrap)), 0o600); err != nil {
		return err
	}
	args, err := m.w.command()
	if err != nil {
		return err
	}
	m.cmd = exec.CommandContext(m.w.ctx, filepath.Join(m.w.repo, args[0]), args[1:]...)
	m.cmd.Dir = m.w.repo
	m.cmd.Env = []string{"CHIVECROFT_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + m.w.dir}
	m.logs = bytes.Buffer{}
	m.cmd.Stdout, m.cmd.Stderr = &m.logs, &m.logs
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.w.rec.add("%s started, process %d", m.name, m.cmd.Process.Pid)
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		m.w.rec.add("%s ended: %v", m.name, err)
		close(done)
	}(m.cmd, m.done)
	return nil
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
}

// disturb notes that the machine is disturbed now.
func (m *machine) disturb() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = append(m.disturbed, time.Now())
}

// isInTouch reports whether the machine was calm for contactBound before a time.
func (m *machine) isInTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.disturbed {
		if t.After(at.Add(-contactBound)) && !t.After(at) {
			return false
		}
	}
	return true
}

// boot returns the settings file, with the bounds of the users' sheet.
func (m *machine) boot(bootstrap bool) string {
	return fmt.Sprintf(`node: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "east"
zones:
  zone-a: "east"
  zone-b: "east"
listen:
  front: %q
  ready: %q
  control: "%s:%d"
internal_port_range: [%d, %d]
seeds: []
bootstrap: %t
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2500, grace_s: 8,
  loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2,
  budget_window_s: 10, budget_extra_retries: 56, recovery_s: 12, pass_ms: 200, retry_after_s: 0,
  fencing_enforced: false, lease_ms: 3000, thaw_slack_ms: 300, ceiling_window_s: 5, ceiling_excess: 1.1}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, m.name, m.ip, m.zone, m.front(), m.ready(), m.ip, m.w.ports+2, m.w.ports+4, m.w.ports+15, bootstrap, m.store.addr)
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if w.isReady(m) {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.rec.add("all machines ready")
			return nil
		}
	}
	return errNotReady
}

func (w *world) isReady(m *machine) bool {
	req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+m.ready()+"/api/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// holder returns the machine that the store names as the one that may give orders, nil if none.
func (w *world) holder() *machine {
	value, _ := w.store.get("chivecroft/holder/lease")
	for _, m := range w.machines {
		if strings.Contains(string(value), m.ip+":") {
			return m
		}
	}
	return nil
}

// close ends all processes and, if SCENE_LOGS names a folder, keeps their logs there.
func (w *world) close() {
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			m.kill()
		}
		if keep := os.Getenv("SCENE_LOGS"); keep != "" {
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), m.logs.Bytes(), 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
}

// sentTo returns the machine that a request was sent to.
func (w *world) sentTo(id string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// lost returns how many of some requests got no success.
func (w *world) lost(of []arrival) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range of {
		if got := w.answers[a.id]; got.status != http.StatusOK || got.err != nil {
			n++
		}
	}
	return n
}

// nextAddr returns the IP address of a new replica.
func (w *world) nextAddr() string {
	w.replicas++
	return net.JoinHostPort(fmt.Sprintf("%s.%d", w.net, 100+w.replicas), "0")
}
