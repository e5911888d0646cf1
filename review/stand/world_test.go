package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// program and its arguments are those of the deploy file.
	program     = "target/chivecroft"
	metricsPort = "9464"
	// heartbeat is how often a target writes its entry.
	heartbeat = 1200 * time.Millisecond
	host      = "shop.example"
	graceTime = 8 * time.Second
	leaseTime = 3 * time.Second
)

// world is a deployment on loopback addresses.
type world struct {
	dir     string
	net     string
	ports   [4]uint16
	store   *store
	trouble bool

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	fronts  []*front
	targets []*replica
	told    []told
	nextIP  int
	// burstCount counts the bursts of callers.
	burstCount int
}

// front is a process of the system.
type front struct {
	name, ip, file string
	cmd            *exec.Cmd
	ended          chan struct{}
	settings       settings
}

// settings are what a case changes in the settings file.
type settings struct{ grace, lease time.Duration }

// replica is a target's process.
type replica struct {
	id, service, zone string
	addr              string
	slots             int
	cmd               *exec.Cmd
	ended             chan struct{}

	mu        sync.Mutex
	leavingAt time.Time
}

// newWorld returns an empty deployment that records to a file.
func newWorld(record string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, began: time.Now(), trouble: trouble}
	w.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	if w.ports, err = freePorts(w.net + "1"); err != nil {
		return nil, err
	}
	w.nextIP = 1
	w.store, err = startStore(w.net + "250")
	return w, err
}

// freePorts returns ports for callers, readiness and other instances. The same ones are used
// at all addresses of the world.
func freePorts(ip string) (out [4]uint16, err error) {
	var lc net.ListenConfig
	for i := range out {
		l, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return out, err
		}
		defer l.Close()
		out[i] = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(out[2:])
	return out, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) newIP() string {
	w.nextIP++
	return fmt.Sprintf("%s%d", w.net, w.nextIP)
}

// zones are those of the deployment.
var zones = []string{"erie-toledo", "superior-duluth", "erie-buffalo"}

// writeSettings writes a front's settings file.
func (w *world) writeSettings(f *front) error {
	text := fmt.Sprintf(`node: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "erie"
zones: {erie-toledo: "erie", superior-duluth: "superior", erie-buffalo: "erie"}
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d"}
internal_port_range: [%[6]d, %[7]d]
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
tolerate: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2500, grace_s: %[8]v, loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 56, recovery_s: 12, pass_ms: 200, retry_after_s: 0, fencing_enforced: false, lease_ms: %[9]d, thaw_slack_ms: 300, ceiling_window_s: 5, ceiling_excess: 1.1}
platform: {address: %[10]q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, f.name, f.ip, zones[0], w.ports[0], w.ports[1], w.ports[2], w.ports[3], f.settings.grace.Seconds(),
		f.settings.lease.Milliseconds(), w.store.addr)
	return os.WriteFile(f.file, []byte(text), 0o600)
}

// startFront starts a process of the system with the command of the deploy file.
func (w *world) startFront(name string) (*front, error) {
	f := &front{name: name, ip: w.newIP(), file: filepath.Join(w.dir, name+".yaml"), settings: settings{graceTime, leaseTime}}
	if err := w.writeSettings(f); err != nil {
		return nil, err
	}
	w.fronts = append(w.fronts, f)
	return f, w.launch(f)
}

func (w *world) launch(f *front) error {
	out, err := os.Create(filepath.Join(w.dir, f.name+".log"))
	if err != nil {
		return err
	}
	f.cmd = exec.CommandContext(context.Background(), program, "serve", "--metrics-port", metricsPort)
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVECROFT_BOOT=" + f.file}
	f.cmd.Stdout, f.cmd.Stderr = out, out
	if err := f.cmd.Start(); err != nil {
		return err
	}
	w.note("%s starts at %s", f.name, f.ip)
	f.ended = make(chan struct{})
	go func() {
		_ = f.cmd.Wait()
		w.note("%s has ended: %v", f.name, f.cmd.ProcessState)
		_ = out.Close()
		close(f.ended)
	}()
	return nil
}

// signal sends a signal to a front.
func (w *world) signal(f *front, s syscall.Signal) {
	w.note("%s gets %v", f.name, s)
	_ = f.cmd.Process.Signal(s)
}

// callers returns where a front serves callers.
func (w *world) callers(f *front) string { return fmt.Sprintf("%s:%d", f.ip, w.ports[0]) }

// awaitReady waits until all fronts report that they are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(w.fronts, func(f *front) bool { return !w.isReady(f) }) {
			w.note("all instances are ready")
			return nil
		}
	}
	return errors.New("the instances do not get ready")
}

func (w *world) isReady(f *front) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/api/readiness", f.ip, w.ports[1])
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

// startTarget starts a target's process and registers it.
func (w *world) startTarget(id, service, zone string, slots int, args ...string) (*replica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, slots: slots, ended: make(chan struct{})}
	args = append([]string{
		"target", "-ip", w.newIP(), "-id", id, "-service", service, "-zone", zone,
		"-slots", fmt.Sprint(slots),
	}, args...)
	r.cmd = exec.CommandContext(context.Background(), self, args...)
	r.cmd.Stderr = os.Stderr
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	w.targets = append(w.targets, r)
	lines := bufio.NewScanner(out)
	listening := make(chan told, 1)
	go w.readTold(r, lines, listening)
	select {
	case v := <-listening:
		r.addr = v.Line
	case <-time.After(5 * time.Second):
		return nil, errors.New("a target does not start")
	}
	w.note("%s of %s starts at %s", id, service, r.addr)
	go w.beat(r)
	return r, nil
}

// readTold keeps what a target tells until it has ended.
func (w *world) readTold(r *replica, lines *bufio.Scanner, listening chan<- told) {
	for lines.Scan() {
		var v told
		if json.Unmarshal(lines.Bytes(), &v) != nil {
			continue
		}
		if v.What == "listening" {
			listening <- v
			continue
		}
		if v.What != "event" || v.isUnframed("event") {
			w.note("%s", lines.Text())
		}
		w.mu.Lock()
		w.told = append(w.told, v)
		w.mu.Unlock()
	}
	_ = r.cmd.Wait()
	w.note("%s has ended: %v", r.id, r.cmd.ProcessState)
	close(r.ended)
}

// beat writes a target's entry until it ends.
func (w *world) beat(r *replica) {
	for sequence := int64(1); ; sequence++ {
		select {
		case <-r.ended:
			return
		default:
		}
		w.register(r, sequence)
		select {
		case <-r.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes a target's entry, as the target itself does.
func (w *world) register(r *replica, sequence int64) {
	var report struct {
		Born   int64            `json:"born"`
		Models []map[string]any `json:"models"`
	}
	if w.getJSON("http://"+r.addr+"/api/report", &report) != nil {
		return
	}
	d := description{
		Service: r.service, Address: r.addr, Zone: r.zone, Version: "v1", Slots: r.slots, State: "ready",
		Born: report.Born, Sequence: sequence, Models: report.Models,
	}
	r.mu.Lock()
	if !r.leavingAt.IsZero() {
		d.State, d.Remaining = "draining", max(time.Until(r.leavingAt).Milliseconds(), 1)
	}
	r.mu.Unlock()
	if err := w.store.write("servers/"+r.id, d); err != nil {
		w.note("%v", err)
	}
}

func (w *world) getJSON(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(v)
}

// kill ends a target at once. Its entry stays for three heartbeats.
func (w *world) kill(r *replica) {
	w.note("%s is killed", r.id)
	_ = r.cmd.Process.Kill()
	time.AfterFunc(3*heartbeat, func() { w.store.remove("servers/" + r.id) })
}

// leave makes a target report that it leaves, and ends it when the notice is over.
func (w *world) leave(r *replica, notice time.Duration) {
	r.mu.Lock()
	r.leavingAt = time.Now().Add(notice)
	r.mu.Unlock()
	w.note("%s reports that it is draining, %v remain", r.id, notice)
	w.register(r, 1000)
	time.AfterFunc(notice, func() {
		w.note("the time of %s has run out", r.id)
		_ = r.cmd.Process.Kill()
		w.store.remove("servers/" + r.id)
	})
}

// of returns what targets have told that keep accepts.
func (w *world) of(keep func(told) bool) []told {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []told
	for _, v := range w.told {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}

// await waits until a target has told something that keep accepts.
func (w *world) await(limit time.Duration, keep func(told) bool) (told, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if found := w.of(keep); len(found) > 0 {
			return found[0], true
		}
	}
	return told{}, false
}

// end ends all processes that the world has started.
func (w *world) end() {
	for _, f := range w.fronts {
		_ = f.cmd.Process.Kill()
		<-f.ended
	}
	for _, r := range w.targets {
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
	_ = w.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}
