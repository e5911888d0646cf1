package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// The deployment of the soak.
const (
	soakHost      = "soak.example"
	soakInstances = 4
	soakEngines   = 3
	soakDesks     = 3
	soakModels    = 12
	// soakRoutes is how many versions a route of its own outlasts its version.
	soakRoutes = 6
	// lapseTime is when the entry of a target lapses that crashed.
	lapseTime = 1800 * time.Millisecond
)

var soakBounds = fake.Bounds{
	Grace: 8 * time.Second, Drain: 2500 * time.Millisecond, ConfigApply: 2500 * time.Millisecond,
	Handover: 3 * time.Second, RetryRatio: 0.05, RetryExtra: 8, RetryWindow: 10 * time.Second,
	Revocation: 5 * time.Second, QuotaWindow: 8 * time.Second, QuotaExcess: 0.1, QuotaSlack: 11_000,
}

var soakZones = map[string]string{"za": "r1", "zb": "r1", "zc": "r2"}

// soakWorld is a deployment of real processes with stand-ins of store and targets.
type soakWorld struct {
	t        *testing.T
	net      *network
	store    *fake.Store
	storeAt  netip.AddrPort
	files    string
	calmFrom time.Time
	record   *soakRecord
	// disturbed counts the disturbances under way, calling the callers.
	disturbed sync.WaitGroup
	calling   sync.WaitGroup
	// returning is held while the store comes back from an older copy.
	returning sync.Mutex

	instances []*soakInstance
	targets   []*soakTarget

	mu      sync.Mutex
	rules   map[int]rule
	ruleNum int
	version int
	// revoked counts the revoked keys of each team; lastRevoked is the last of these teams.
	revoked     map[string]int
	lastRevoked string
	eager       int
	rare        int
	leaving     bool
}

// soakInstance is one instance of the system, over all of its processes.
type soakInstance struct {
	id, zone    string
	boot        fake.Boot
	file        string
	callers     netip.AddrPort
	ready       netip.AddrPort
	mu          sync.Mutex
	turn        sync.Mutex
	cmd         *exec.Cmd
	ended       chan struct{}
	incarnation int
	// meant tells that the process was ended on purpose.
	meant bool
	// rotated tells that callers' new connections come here.
	rotated bool
}

// newEmptyWorld returns a deployment with a store alone.
func newEmptyWorld(t *testing.T, logs string) *soakWorld {
	w := &soakWorld{
		t: t, net: newNetwork(t), store: fake.NewStore(t), files: t.TempDir(),
		record: newSoakRecord(), rules: make(map[int]rule), revoked: make(map[string]int), lastRevoked: soakTeams[0],
	}
	if logs != "" {
		w.files = filepath.Join(logs, strings.ReplaceAll(t.Name(), "/", "-"))
		if err := os.MkdirAll(w.files, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	w.storeAt = netip.MustParseAddrPort(w.net.relay(w.store.Addr().String(), end{"store", "platform"}))
	return w
}

func newSoakWorld(t *testing.T) *soakWorld {
	w := newEmptyWorld(t, *soakLogs)
	w.configure()
	zones := []string{"za", "zb", "zc"}
	for i := range soakEngines + soakDesks {
		g := &soakTarget{w: w, slot: i, zone: zones[i%len(zones)], service: "chat", limits: make(map[*fake.Target][]float64)}
		if i >= soakEngines {
			g.service = "desk"
		}
		w.targets = append(w.targets, g)
		g.start(fmt.Sprintf("t%d", i))
	}
	for i := range soakInstances {
		w.instances = append(w.instances, w.newInstance(i, zones[i%len(zones)]))
	}
	for _, in := range w.instances {
		w.start(in)
	}
	t.Cleanup(w.stopAll)
	w.awaitReady()
	return w
}

func soakModelNames() []string {
	var names []string
	for i := range soakModels {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

// configure writes the next version, with a route of its own.
func (w *soakWorld) configure() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	routes := []fake.Route{
		{Prefix: "/issue/", Kind: "unsafe", Service: "desk", Timeout: time.Second, Attempts: 1},
		{Prefix: "/lookup/", Kind: "safe", Service: "desk", Timeout: time.Second, Attempts: 2},
		{Prefix: "/chat/", Kind: "streaming", Service: "chat", Timeout: 8 * time.Second, Attempts: 2, Resumable: true, Priority: 2},
		{Prefix: "/settle/", Kind: "streaming", Service: "chat", Timeout: 10 * time.Second, Attempts: 1, Priority: 1},
	}
	for v := max(version-soakRoutes, 1); v <= version; v++ {
		routes = append(routes, fake.Route{
			Prefix: fmt.Sprintf("/v%d/", v), Kind: "safe", Service: "desk", Timeout: time.Second, Attempts: 2, Public: true,
		})
	}
	models := fake.Models{Names: soakModelNames(), Places: 3, Load: 800 * time.Millisecond}
	w.store.WriteConfig(w.t, fake.Config{
		Version: version, Host: soakHost, Routes: routes, Plain: []string{"desk"},
		Engines: map[string]fake.Models{"chat": models}, Teams: w.teams(),
	})
	w.record.configured(version)
}

func (w *soakWorld) newInstance(i int, zone string) *soakInstance {
	port := fake.FreePorts(w.t, 3)
	in := &soakInstance{id: fmt.Sprintf("i%d", i), zone: zone}
	in.boot = fake.Boot{
		Instance: in.id, Zone: zone, Zones: soakZones, Callers: port, Ready: port + 1, Peer: port + 2,
		Store: w.storeAt, Bootstrap: true, Bounds: soakBounds,
	}
	loopback := netip.MustParseAddr("127.0.0.1")
	in.callers = netip.AddrPortFrom(loopback, port)
	in.ready = netip.AddrPortFrom(loopback, port+1)
	in.file = filepath.Join(w.files, in.id+".yaml")
	return in
}

// start runs a process of the instance; its log goes to a file of its own.
func (w *soakWorld) logOf(in *soakInstance, incarnation int) string {
	return filepath.Join(w.files, fmt.Sprintf("%s-%d.log", in.id, incarnation))
}

func (w *soakWorld) start(in *soakInstance) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.incarnation++
	if err := os.WriteFile(in.file, []byte(in.boot.YAML()), 0o600); err != nil {
		w.t.Error(err)
		return
	}
	out, err := os.Create(w.logOf(in, in.incarnation))
	if err != nil {
		w.t.Error(err)
		return
	}
	cmd := exec.Command(binary, "serve", "--boot", in.file)
	cmd.Stdout, cmd.Stderr = out, out
	// A soak that is ended from outside leaves no instances behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	in.boot.Bootstrap = false
	in.cmd, in.meant, in.rotated = cmd, false, true
	in.ended = make(chan struct{})
	w.net.join(&process{cmd: cmd}, end{in.id, in.zone})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		in.mu.Lock()
		meant := in.meant
		in.mu.Unlock()
		if !meant {
			w.record.fail("%s ended by itself: %v", in.id, cmd.ProcessState)
		}
		close(ended)
	}(in.ended)
}

// signal sends a signal; an end is meant by SIGKILL and SIGTERM.
func (in *soakInstance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		in.meant = true
	}
	_ = in.cmd.Process.Signal(s)
}

func (in *soakInstance) life() (incarnation int, ended chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation, in.ended
}

func (in *soakInstance) takesCallers() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rotated
}

func (w *soakWorld) stopAll() {
	for _, in := range w.instances {
		in.signal(syscall.SIGKILL)
		_, ended := in.life()
		<-ended
	}
}

// addRule puts a rule on the network beside those in force and returns what ends it.
func (w *soakWorld) addRule(r rule) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ruleNum++
	num := w.ruleNum
	w.rules[num] = r
	w.setRules()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.rules, num)
		w.setRules()
	}
}

// setRules gives each direction the worst fate of any rule.
func (w *soakWorld) setRules() {
	rules := make([]rule, 0, len(w.rules))
	for _, r := range w.rules {
		rules = append(rules, r)
	}
	w.net.set(func(from, to end) fates {
		all := healed(from, to)
		for _, r := range rules {
			f := r(from, to)
			all[0], all[1] = max(all[0], f[0]), max(all[1], f[1])
		}
		return all
	})
}

// soakTarget is a place for targets, of which one runs at a time.
type soakTarget struct {
	w       *soakWorld
	slot    int
	zone    string
	service string

	// turn is held while the target is replaced.
	turn  sync.Mutex
	mu    sync.Mutex
	fake  *fake.Target
	past  []*fake.Target
	modes []*targetMode
	// limits holds the rate limits in force of each target that has run here.
	limits map[*fake.Target][]float64
}

// targetMode is a misbehaviour that meets a share of requests.
type targetMode struct {
	kind  disturbance
	share float64
}

// start runs a target under an id and lists it.
func (g *soakTarget) start(id string) {
	var models []string
	if g.service == "chat" {
		names := soakModelNames()
		models = []string{names[0], names[1+g.slot], names[1+soakEngines+g.slot]}
	}
	f := fake.NewTarget(g.w.t, id, g.zone, 400*time.Millisecond, models...)
	f.Born, f.Places = time.Now().UnixMilli(), 3
	f.Listed = netip.MustParseAddrPort(g.w.net.relay(f.Addr().String(), end{fmt.Sprintf("t%d", g.slot), g.zone}))
	f.Behave(g.serve)
	g.mu.Lock()
	if g.fake != nil {
		g.past = append(g.past, g.fake)
	}
	g.fake = f
	g.mu.Unlock()
	g.w.store.List(g.w.t, f, g.service, "ready")
	go g.heartbeat(f)
}

// heartbeat lists a target anew when its models have changed, as long as it runs.
func (g *soakTarget) heartbeat(f *fake.Target) {
	last := f.Models()
	for g.w.t.Context().Err() == nil {
		time.Sleep(300 * time.Millisecond)
		g.mu.Lock()
		if g.fake != f || f.Leaving() {
			g.mu.Unlock()
			return
		}
		if now := f.Models(); !slices.Equal(now, last) {
			last = now
			g.w.store.List(g.w.t, f, g.service, "ready")
		}
		g.mu.Unlock()
	}
}

func (g *soakTarget) current() *fake.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fake
}

// misbehave puts a mode in force and returns what ends it.
func (g *soakTarget) misbehave(kind disturbance, share float64) func() {
	m := &targetMode{kind, share}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.modes = append(g.modes, m)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.modes = slices.DeleteFunc(slices.Clone(g.modes), func(have *targetMode) bool { return have == m })
	}
}

// mode draws the misbehaviour that meets a request, empty for none.
func (g *soakTarget) mode() disturbance {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.modes {
		if rand.Float64() < m.share {
			return m.kind
		}
	}
	return ""
}
