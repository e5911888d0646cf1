package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/platform/fake"
)

// The deployment of the plays of returns.
const (
	returnsTargets = 12
	returnsCallers = 2
	returnsPause   = 40 * time.Millisecond
	// returnsPatience is the timeout of the routes.
	returnsPatience = time.Second
	// returnsSettle is how long a change is left to reach all instances.
	returnsSettle = 4 * time.Second
)

// returnsZones are the zones of the instances: one instance is alone in its zone.
var returnsZones = []string{"za", "za", "zb", "zb", "zb", "zc"}

// returnsWorld is a deployment of real processes whose store comes back from older copies.
type returnsWorld struct {
	*soakWorld

	stateMu sync.Mutex
	// versions are the acknowledged versions in their order. Each has a route of its own.
	versions []ackedVersion
	// left are the targets whose leaving was acknowledged.
	left map[string]leaving
	// changes counts the targets that were asked to leave.
	changes  int
	calls    []returnsCall
	arrivals []returnsArrival
	heldUps  []soakSpan
}

type ackedVersion struct {
	version int
	at      time.Time
}

// leaving is an acknowledged leaving.
type leaving struct {
	at time.Time
	// how is the state that the store acknowledged: draining or removed.
	how string
}

// returnsCall is a request on the route of a version.
type returnsCall struct {
	id, instance string
	incarnation  int
	version      int
	began, ended time.Time
	status       int
}

// processID identifies a process of an instance.
type processID struct {
	instance    string
	incarnation int
}

func (c *returnsCall) process() processID { return processID{c.instance, c.incarnation} }

// returnsArrival is a request that reached a target.
type returnsArrival struct {
	target, instance string
	at               time.Time
}

func newReturnsWorld(t *testing.T, logs string) *returnsWorld {
	w := &returnsWorld{soakWorld: newEmptyWorld(t, logs), left: make(map[string]leaving)}
	w.configure()
	zones := []string{"za", "zb", "zc"}
	for i := range returnsTargets {
		w.startTarget(i, zones[i%len(zones)])
	}
	for i, zone := range slices.Concat(returnsZones, slices.Repeat([]string{"zb"}, *returnsMore)) {
		w.instances = append(w.instances, w.newInstance(i, zone))
	}
	for _, in := range w.instances {
		w.start(in)
	}
	t.Cleanup(w.stopAll)
	w.awaitReady()
	return w
}

func (w *returnsWorld) startTarget(slot int, zone string) {
	id := fmt.Sprintf("t%d", slot)
	f := fake.NewTarget(w.t, id, zone, 0)
	f.Listed = netip.MustParseAddrPort(w.net.relay(f.Addr().String(), end{id, zone}))
	f.Behave(func(rw http.ResponseWriter, req *http.Request) {
		instance, _, _ := strings.Cut(fake.CallID(req), "-")
		w.stateMu.Lock()
		w.arrivals = append(w.arrivals, returnsArrival{id, instance, time.Now()})
		w.stateMu.Unlock()
		f.Sign(rw, req)
		_, _ = io.WriteString(rw, "answer")
	})
	w.targets = append(w.targets, &soakTarget{w: w.soakWorld, slot: slot, zone: zone, service: "desk", fake: f})
	w.store.List(w.t, f, "desk", "ready")
}

// configure writes the next version, which adds a route.
func (w *returnsWorld) configure() {
	w.version++
	c := fake.Config{Version: w.version, Host: soakHost, Plain: []string{"desk"}}
	for v := 1; v <= w.version; v++ {
		c.Routes = append(c.Routes, fake.Route{
			Prefix: fmt.Sprintf("/v%d/", v), Kind: "safe", Service: "desk", Timeout: returnsPatience, Attempts: 2, Public: true,
		})
	}
	w.store.WriteConfig(w.t, c)
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.versions = append(w.versions, ackedVersion{w.version, time.Now()})
}

// change writes a version and has a target leave. Every other target drains; the others only
// take their entry away.
func (w *returnsWorld) change() {
	w.configure()
	if w.changes == returnsTargets/2 {
		return
	}
	// Neighbouring slots are in different zones.
	g := w.targets[w.changes]
	w.changes++
	how := "removed"
	if w.changes%2 == 0 {
		how = "draining"
		w.store.List(w.t, g.fake, "desk", how)
	} else {
		w.store.Unlist(g.fake.ID)
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.left[g.fake.ID] = leaving{time.Now(), how}
}

// other writes a key that nobody follows, so that the store's revision rises.
func (w *returnsWorld) other(count int) {
	for range count {
		w.store.Write(w.t, "op/other", []byte("x"))
	}
}

func (w *returnsWorld) startCallers(ctx context.Context) {
	for _, in := range w.instances {
		for i := range returnsCallers {
			w.calling.Go(func() { w.callRoutes(ctx, in, i) })
		}
	}
}

// callRoutes sends requests on the routes of random versions to an instance until ctx ends, half of them on
// the newest ones.
func (w *returnsWorld) callRoutes(ctx context.Context, in *soakInstance, caller int) {
	client := http.Client{Timeout: 2 * returnsPatience, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(returnsPause)
		w.stateMu.Lock()
		newest := len(w.versions)
		w.stateMu.Unlock()
		version := newest - rand.IntN(min(newest, 3))
		if n%2 == 0 {
			version = 1 + rand.IntN(newest)
		}
		incarnation, _ := in.life()
		c := returnsCall{
			id: fmt.Sprintf("%s-%d-%d", in.id, caller, n), instance: in.id, incarnation: incarnation, version: version, began: time.Now(),
		}
		call := fake.Call{ID: c.id, Host: soakHost, Path: fmt.Sprintf("/v%d/", version), Within: returnsPatience, Body: "{}"}
		req, err := call.Request(ctx, in.callers)
		if err != nil {
			w.t.Error(err)
			return
		}
		if resp, err := client.Do(req); err == nil {
			c.status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		c.ended = time.Now()
		w.stateMu.Lock()
		w.calls = append(w.calls, c)
		w.stateMu.Unlock()
	}
}

// watchHeldUps notes until ctx ends when the test's own process got no processor time.
func (w *returnsWorld) watchHeldUps(ctx context.Context) {
	const tick, least = 5 * time.Millisecond, 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > least {
			w.stateMu.Lock()
			w.heldUps = append(w.heldUps, soakSpan{from: last, to: now})
			w.stateMu.Unlock()
		}
		last = now
	}
}

// holder returns the instance that the store names as the holder, or the first one.
func (w *returnsWorld) holder() *soakInstance {
	var v struct {
		Holder netip.AddrPort `json:"holder"`
	}
	w.store.KV.Call(ports.KVGet{Key: holderKey}, func(r ports.KVReply) {
		if item, ok := r.Item(); ok {
			_ = json.Unmarshal(item.Value, &v)
		}
	})
	for _, in := range w.instances {
		if in.boot.Peer == v.Holder.Port() {
			return in
		}
	}
	return w.instances[0]
}

// begin begins a trouble between the copy and the return.
func (w *returnsWorld) begin(tr returnTrouble, random *rand.Rand) {
	switch tr {
	case killsHolderBefore:
		w.end(w.holder(), syscall.SIGKILL)
	case stopsHolderBefore:
		w.end(w.holder(), syscall.SIGTERM)
	case stopsOneBefore:
		w.end(w.instances[random.IntN(len(w.instances))], syscall.SIGTERM)
	default:
	}
}

// end ends a process and starts it again at once.
func (w *returnsWorld) end(in *soakInstance, s syscall.Signal) {
	done := w.note(in.id, disturbance(s.String()))
	w.disturbed.Go(func() {
		defer done()
		w.replace(in, s, 0)
	})
}

// beside begins a trouble beside the return, which ends some time after that.
func (w *returnsWorld) beside(tr returnTrouble, returned <-chan struct{}, random *rand.Rand) {
	one := w.instances[random.IntN(len(w.instances))]
	later := timeBetween(random, 300*time.Millisecond, 1500*time.Millisecond)
	switch tr {
	case cutsOne:
		w.cut([]*soakInstance{one}, fates{severed, severed}, returned, later)
	case cutsHolder:
		w.cut([]*soakInstance{w.holder()}, fates{severed, severed}, returned, later)
	case cutsZone:
		w.cut(w.instances[2:5], fates{severed, severed}, returned, later)
	case holdsAnswers:
		w.cut([]*soakInstance{one}, fates{passes, held}, returned, later)
	case freezesOne:
		w.freezeOver(one, returned, later)
	case freezeHolder:
		w.freezeOver(w.holder(), returned, later)
	case killsHolder:
		w.endAfter(w.holder(), syscall.SIGKILL, returned, later)
	case stopsHolder:
		w.endAfter(w.holder(), syscall.SIGTERM, returned, later)
	case killsHolderBeside:
		w.end(w.holder(), syscall.SIGKILL)
	case stopsHolderBeside:
		w.end(w.holder(), syscall.SIGTERM)
	case restartsOne:
		w.endAfter(one, syscall.SIGKILL, returned, later/2)
	default:
	}
}

// cut gives the links of instances to the store a fate until some time after the return.
func (w *returnsWorld) cut(instances []*soakInstance, f fates, returned <-chan struct{}, later time.Duration) {
	for _, in := range instances {
		done := w.note(in.id, "cut off from the store")
		heal := w.addRule(func(a, b end) fates {
			if a.id == in.id && b.id == "store" {
				return f
			}
			return healed(a, b)
		})
		w.disturbed.Go(func() {
			<-returned
			time.Sleep(later)
			heal()
			done()
		})
	}
}

func (w *returnsWorld) freezeOver(in *soakInstance, returned <-chan struct{}, later time.Duration) {
	done := w.note(in.id, "frozen")
	w.disturbed.Go(func() {
		in.turn.Lock()
		defer in.turn.Unlock()
		in.signal(syscall.SIGSTOP)
		<-returned
		time.Sleep(later)
		in.signal(syscall.SIGCONT)
		done()
	})
}

func (w *returnsWorld) endAfter(in *soakInstance, s syscall.Signal, returned <-chan struct{}, later time.Duration) {
	w.disturbed.Go(func() {
		<-returned
		time.Sleep(later)
		done := w.note(in.id, disturbance(s.String()))
		defer done()
		w.replace(in, s, 0)
	})
}
