package stand

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// route is a route of the configuration.
type route map[string]any

// configure writes the operator's configuration.
func (w *world) configure(services []map[string]any, routes ...route) error {
	return w.store.write("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 30000,
		},
	})
}

// startFronts starts instances and waits until they are ready.
func (w *world) startFronts(n int) error {
	for i := range n {
		if _, err := w.startFront(fmt.Sprintf("front-%d", i+1)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// engineService is a service of engines with models of one size, of which places fit into
// one replica.
func engineService(places int, load time.Duration, models ...string) map[string]any {
	var rows []map[string]any
	for _, m := range models {
		rows = append(rows, map[string]any{
			"name": m, "weights_mb": 65100, "load_s": load.Seconds(), "disk_s": load.Seconds(), "warm_s": load.Seconds(),
			"adapters": 0, "adapter_mb": 12,
		})
	}
	return map[string]any{
		"name": "llm", "health_path": "/health", "max_connections": 370,
		"engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 128189, "weights_mb": 70000 * places, "adapter_slots": 8,
			"loads_per_s": 4.2, "host_mb": 0, "disk_mb": 0, "models": rows,
		},
	}
}

func streamRoute(prefix string, timeout time.Duration, resumable bool) route {
	attempts := 1
	if resumable {
		attempts = 2
	}
	return route{
		"name": "r" + prefix[1:len(prefix)-1], "host": host, "path_prefix": prefix, "kind": "streaming",
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 1000, "target_gap_ms": 300, "priority": 1, "service": "llm",
		"max_attempts": attempts, "sticky": true, "resumable": resumable,
	}
}

// Routes of streams: one whose streams may not be resumed and one whose streams may.
var proofRoute, draftRoute = streamRoute("/proof/", 25*time.Second, false), streamRoute("/draft/", 12*time.Second, true)

const (
	streamEvents = 43
	streamPause  = 80 * time.Millisecond
	// unframedEvery makes one in twenty answers of half of the targets have no length.
	unframedEvery = "20"
	// notice is how long before its end a target reports that it is draining.
	notice = 2 * time.Second
)

// isUnframed reports whether a target has told something of an answer without a length.
func (v *told) isUnframed(what string) bool { return v.What == what && v.Framed != nil && !*v.Framed }

// find returns a target.
func (w *world) find(id string) *replica {
	for _, r := range w.targets {
		if r.id == id {
			return r
		}
	}
	return nil
}

// runLeaving has one of eight targets leave at short notice while it answers.
func runLeaving(w *world) error {
	if err := w.configure([]map[string]any{engineService(2, time.Second, "m1")}, proofRoute, draftRoute); err != nil {
		return err
	}
	for i := range 8 {
		args := []string{"-models", "m1", "-memory", "2", "-load", "1s", "-events", fmt.Sprint(streamEvents), "-pause", streamPause.String()}
		if i < 4 {
			args = append(args, "-unframed-every", unframedEvery)
		}
		if _, err := w.startTarget(fmt.Sprintf("i-llm%d", i+1), "llm", zones[0], 64, args...); err != nil {
			return err
		}
	}
	if err := w.startFronts(2); err != nil {
		return err
	}
	var all sync.WaitGroup
	results := make(chan result, 400)
	for i := range 250 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			c := call{
				to: w.callers(w.fronts[i%2]), method: "POST", path: "/proof/2f", id: fmt.Sprintf("a%04d", i), model: "m1",
				within: 12 * time.Second, body: "prompt",
			}
			if i%4 >= 2 {
				c.path = "/draft/2f"
			}
			results <- w.send(c)
		})
	}
	run, ok := w.await(15*time.Second, func(v told) bool { return v.isUnframed("run") })
	if !ok {
		return errors.New("no answer without a length has begun")
	}
	if w.trouble {
		w.leave(w.find(run.Target), notice)
	}
	all.Wait()
	close(results)
	var err error
	for r := range results {
		if n := strings.Count(r.body, "id:"); r.status == 200 && r.complete && n < streamEvents {
			w.note("BROKEN: a caller got a complete stream of %d of %d events", n, streamEvents)
			err = fmt.Errorf("%w: a stream of %d of %d events looks complete", errBroken, n, streamEvents)
		}
	}
	return err
}

var plainService = map[string]any{"name": "desk", "health_path": "/health", "max_connections": 110}

func plainRoute(prefix, kind string) route {
	return route{
		"name": "r" + kind, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 2, "service": "desk", "max_attempts": 2, "sticky": false, "resumable": false,
	}
}

const plainBytes = 800

// runCrash has one of five targets crash while it answers.
func runCrash(w *world) error {
	if err := w.configure([]map[string]any{plainService}, plainRoute("/look/", "safe"), plainRoute("/commit/", "unsafe")); err != nil {
		return err
	}
	for i := range 5 {
		args := []string{"-bytes", fmt.Sprint(plainBytes), "-pause", "60ms"}
		if i < 3 {
			args = append(args, "-unframed-every", unframedEvery)
		}
		if _, err := w.startTarget(fmt.Sprintf("i-desk%d", i+1), "desk", zones[0], 6, args...); err != nil {
			return err
		}
	}
	if err := w.startFronts(2); err != nil {
		return err
	}
	var all sync.WaitGroup
	results := make(chan result, 200)
	for i := range 150 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			c := call{
				to: w.callers(w.fronts[i%2]), method: "GET", path: "/look/2f", id: fmt.Sprintf("b%04d", i), within: 2 * time.Second,
			}
			if i%4 >= 2 {
				c.method, c.path, c.body = "POST", "/commit/2f", "flask"
			}
			results <- w.send(c)
		})
	}
	half, ok := w.await(15*time.Second, func(v told) bool { return v.isUnframed("half") })
	if !ok {
		return errors.New("no answer without a length has begun")
	}
	if w.trouble {
		w.kill(w.find(half.Target))
	}
	all.Wait()
	close(results)
	var err error
	for r := range results {
		if r.status == 200 && r.complete && len(r.body) != plainBytes {
			w.note("BROKEN: a caller got a complete success with %d of %d bytes", len(r.body), plainBytes)
			err = fmt.Errorf("%w: a success with %d of %d bytes looks complete", errBroken, len(r.body), plainBytes)
		}
	}
	return err
}

const raisedLease = 6 * time.Second

// loadTime is that of a load from a target's own disk.
const loadTime = 780 * time.Millisecond

// runLease has the settings files raise the time between the orders of two holders, and
// stops the holder some seconds later.
func runLease(w *world) error {
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	if err := w.configure([]map[string]any{engineService(1, loadTime, models...)}, proofRoute); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := w.startTarget(fmt.Sprintf("i-llm%d", i+1), "llm", zones[0], 64, "-models", models[i], "-memory", "1",
			"-load", loadTime.String(), "-events", "3", "-pause", "10ms"); err != nil {
			return err
		}
	}
	if err := w.startFronts(5); err != nil {
		return err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { w.askInTurn(stop, models) })
	defer all.Wait()
	defer close(stop)
	lease := leaseTime
	time.Sleep(6 * time.Second)
	if w.trouble {
		lease = raisedLease
		if err := w.raiseLease(lease); err != nil {
			return err
		}
	} else {
		time.Sleep(time.Duration(len(w.fronts)) * hupGap)
	}
	time.Sleep(5 * time.Second)
	orders := w.of(func(v told) bool { return v.What == "order" })
	if len(orders) == 0 {
		return errors.New("there were no orders")
	}
	holder := orders[len(orders)-1].Holder
	for _, f := range w.fronts {
		if f.name == holder {
			w.signal(f, syscall.SIGTERM)
		}
	}
	time.Sleep(16 * time.Second)
	return w.judgeHolders(lease)
}

// hupGap is the time between the SIGHUP of two machines.
const hupGap = 2 * time.Second

// raiseLease changes all settings files and has the instances read them again.
func (w *world) raiseLease(lease time.Duration) error {
	for _, f := range w.fronts {
		f.settings.lease = lease
		if err := w.writeSettings(f); err != nil {
			return err
		}
	}
	for _, f := range w.fronts {
		w.signal(f, syscall.SIGHUP)
		time.Sleep(hupGap)
	}
	return nil
}

// askInTurn keeps asking for models in turn.
func (w *world) askInTurn(stop <-chan struct{}, models []string) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		all.Go(func() {
			w.send(call{
				to: w.callers(w.fronts[i%len(w.fronts)]), method: "POST", path: "/proof/2f", id: fmt.Sprintf("c%04d", i),
				model: models[i%len(models)], within: 8 * time.Second, body: "prompt",
			})
		})
	}
}

// judgeHolders checks that no two holders gave orders to a target within the time.
func (w *world) judgeHolders(lease time.Duration) error {
	last := make(map[string]told)
	var err error
	turns := 0
	for _, v := range w.of(func(v told) bool { return v.What == "order" }) {
		before, ok := last[v.Target]
		last[v.Target] = v
		if !ok || before.Holder == v.Holder {
			continue
		}
		turns++
		gap := time.Duration(v.AtMS-before.AtMS) * time.Millisecond
		w.note("orders to %s: %s, then after %v %s", v.Target, before.Holder, gap, v.Holder)
		if gap < lease {
			w.note("BROKEN: two holders take turns within %v", lease)
			err = fmt.Errorf("%w: %s gets orders of %s and %v later of %s, lease_ms is %v", errBroken, v.Target, before.Holder,
				gap, v.Holder, lease)
		}
	}
	if turns == 0 {
		return errors.New("no other holder has given orders")
	}
	return err
}

// runPath sends requests on a route of a whole host.
func runPath(w *world) error {
	if err := w.configure([]map[string]any{plainService}, plainRoute("/", "safe")); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := w.startTarget(fmt.Sprintf("i-desk%d", i+1), "desk", zones[0], 6); err != nil {
			return err
		}
	}
	if err := w.startFronts(2); err != nil {
		return err
	}
	paths := []string{"/look/2f", "/look//2f", "/look/2f?a=%2F&b"}
	if w.trouble {
		paths = append(paths, "//look/2f")
	}
	for i, path := range paths {
		w.send(call{
			to: w.callers(w.fronts[i%2]), method: "GET", path: path, id: fmt.Sprintf("d%04d", i), within: 2 * time.Second,
		})
	}
	var err error
	for _, v := range w.of(func(v told) bool { return v.What == "run" }) {
		var i int
		_, _ = fmt.Sscanf(v.ID, "d%d", &i)
		if want := "GET " + paths[i] + " HTTP/1.1"; v.Line != want {
			w.note("BROKEN: the caller sent %q, the target ran %q", want, v.Line)
			err = fmt.Errorf("%w: sent %q, ran %q", errBroken, want, v.Line)
		}
	}
	return err
}

const shortGrace = 3 * time.Second

// runGrace has the settings file shorten the grace period without a signal.
func runGrace(w *world) error {
	if err := w.configure([]map[string]any{engineService(1, 6*time.Second, "m1", "m2")}, proofRoute); err != nil {
		return err
	}
	if _, err := w.startTarget("i-llm1", "llm", zones[0], 64, "-models", "m1", "-memory", "1", "-load", "6s",
		"-events", "3", "-pause", "10ms"); err != nil {
		return err
	}
	if err := w.startFronts(2); err != nil {
		return err
	}
	// The placement is held and the rate of loads known after some seconds.
	time.Sleep(4 * time.Second)
	f := w.fronts[0]
	if w.trouble {
		f.settings.grace = shortGrace
		if err := w.writeSettings(f); err != nil {
			return err
		}
		w.note("the settings file of %s has changed", f.name)
	}
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	results := make(chan result, 20)
	ask := func(i int) {
		all.Go(func() {
			results <- w.send(call{
				to: w.callers(f), method: "POST", path: "/proof/2f", id: fmt.Sprintf("e%04d", i), model: "m2",
				within: 25 * time.Second, body: "prompt",
			})
		})
	}
	w.signal(f, syscall.SIGTERM)
	time.AfterFunc(f.settings.grace, func() { w.signal(f, syscall.SIGKILL) })
	for i := range 4 {
		ask(i)
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	close(results)
	var err error
	for r := range results {
		if r.status == 0 {
			w.note("BROKEN: a request ends without an answer after %v", r.took)
			err = fmt.Errorf("%w: a request that waited is cut without an answer after %v", errBroken, r.took.Round(time.Millisecond))
		}
	}
	return err
}
