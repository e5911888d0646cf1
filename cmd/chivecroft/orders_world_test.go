package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// The deployment of the play of holders.
const (
	ordersInstances = 6
	ordersTargets   = 3
	ordersModels    = 2
	ordersAdapters  = 40
	ordersCallers   = 24
	ordersPause     = 20 * time.Millisecond
	ordersPatience  = 2 * time.Second
	ordersHandover  = 3 * time.Second
	// raisedHandover is the handover of settings that are read again.
	raisedHandover = 4500 * time.Millisecond
	// lateShare is the part of the greatest delay from which on an order counts as late.
	lateShare = 0.8
	// heldUpTime is from which time on the test's own process counts as held up.
	heldUpTime = 5 * time.Millisecond
)

// ordersWorld is a deployment in which orders hardly ever cease, so that those of two holders
// show how far they keep apart.
type ordersWorld struct {
	*soakWorld
	late time.Duration
	// sides tells that links to targets and targets are disturbed as terms end.
	sides bool
	// lateOrders passes on orders that have just come and arrive late.
	lateOrders chan fake.Order

	recordMu sync.Mutex
	// excuses are the ends of freezes and of cuts of links to targets.
	excuses []excuse
	// resumes are the ends of times in which a target stood still.
	resumes []excuse
	// handovers are the changes of the handover.
	handovers []handoverChange
	// heldUps are the spans in which the test's own process got no processor time.
	heldUps []soakSpan
	ends    []termEnd
}

// excuse is a time from which on orders of an instance to a target, or to all if target is
// empty, don't count for thawSlack.
type excuse struct {
	instance, target string
	at               time.Time
}

type handoverChange struct {
	handover time.Duration
	at       time.Time
}

// termEnd is what was done to a holder.
type termEnd struct {
	kind   endKind
	holder string
	at     time.Time
}

func newOrdersWorld(t *testing.T, late time.Duration) *ordersWorld {
	w := &ordersWorld{
		soakWorld: newEmptyWorld(t, *ordersLogs), late: late, lateOrders: make(chan fake.Order),
		handovers: []handoverChange{{ordersHandover, time.Now()}},
	}
	var models []string
	for i := range ordersModels {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	w.store.WriteConfig(t, fake.Config{
		Version: 1, Host: soakHost,
		Routes: []fake.Route{{
			Prefix: "/chat/", Kind: "streaming", Service: "chat", Timeout: ordersPatience, Attempts: 2, Resumable: true, Public: true,
		}},
		Engines: map[string]fake.Models{
			"chat": {Names: models, Places: ordersModels, Load: 200 * time.Millisecond, Adapters: ordersAdapters},
		},
	})
	zones := []string{"za", "zb", "zc"}
	for i := range ordersTargets {
		w.startTarget(i, zones[i%len(zones)], models)
	}
	for i := range ordersInstances {
		w.instances = append(w.instances, w.newInstance(i, zones[i%len(zones)]))
	}
	for _, in := range w.instances {
		w.start(in)
	}
	t.Cleanup(w.stopAll)
	w.awaitReady()
	return w
}

func (w *ordersWorld) startTarget(slot int, zone string, models []string) {
	id := fmt.Sprintf("t%d", slot)
	f := fake.NewTarget(w.t, id, zone, 200*time.Millisecond, models...)
	f.Places = ordersModels
	f.Listed = netip.MustParseAddrPort(w.net.relay(f.Addr().String(), end{id, zone}))
	f.DelayOrders(func(o fake.Order) time.Duration { return w.delayOrder(o, id) })
	w.targets = append(w.targets, &soakTarget{w: w.soakWorld, slot: slot, zone: zone, service: "chat", fake: f})
	w.store.List(w.t, f, "chat", "ready")
}

// delayOrder draws how late an order arrives: half of them are quick, the others late. It tells
// of those that are late. What a link or a target that stood still has held back has been on
// its way for long enough, and arrives at once.
func (w *ordersWorld) delayOrder(o fake.Order, target string) time.Duration {
	if w.late == 0 || w.isHeldBack(o.Holder, target) {
		return 0
	}
	delay := time.Duration((1 - lateShare) * rand.Float64() * float64(w.late))
	if rand.IntN(2) == 0 {
		return delay
	}
	select {
	case w.lateOrders <- o:
	default:
	}
	return w.late - delay
}

// startDemand sends requests for many adapters to all instances until ctx ends.
func (w *ordersWorld) startDemand(ctx context.Context) {
	for i := range ordersCallers {
		w.calling.Go(func() { w.callOften(ctx, fmt.Sprintf("c%d", i), w.instances[i%len(w.instances)]) })
	}
}

func (w *ordersWorld) callOften(ctx context.Context, name string, in *soakInstance) {
	client := http.Client{Timeout: ordersPatience, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(ordersPause)
		model := fmt.Sprintf("m%d/a%d", rand.IntN(ordersModels), 1+rand.IntN(ordersAdapters))
		call := fake.Call{ID: fmt.Sprintf("%s-%d", name, n), Host: soakHost, Path: "/chat/", Model: model, Within: ordersPatience, Body: "{}"}
		req, err := call.Request(ctx, in.callers)
		if err != nil {
			w.t.Error(err)
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// watchHeldUps notes until ctx ends when the test's own process got no processor time.
func (w *ordersWorld) watchHeldUps(ctx context.Context) {
	const tick = 2 * time.Millisecond
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > tick+heldUpTime {
			w.recordMu.Lock()
			w.heldUps = append(w.heldUps, soakSpan{from: last, to: now})
			w.recordMu.Unlock()
		}
		last = now
	}
}

// excuse notes that orders of an instance don't count for a time.
func (w *ordersWorld) excuse(instance, target string) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.excuses = append(w.excuses, excuse{instance, target, time.Now()})
}

// resumed notes that a target reads again what it is sent.
func (w *ordersWorld) resumed(target string) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.resumes = append(w.resumes, excuse{target: target, at: time.Now()})
}

// isHeldBack reports whether a link or a target has just let go of what it held back.
func (w *ordersWorld) isHeldBack(instance, target string) bool {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	isLink := func(e excuse) bool {
		return e.instance == instance && e.target == target && time.Since(e.at) < thawSlack
	}
	isTarget := func(e excuse) bool { return e.target == target && time.Since(e.at) < thawSlack }
	return slices.ContainsFunc(w.excuses, isLink) || slices.ContainsFunc(w.resumes, isTarget)
}

func (w *ordersWorld) isExcused(o arrivedOrder) bool {
	return slices.ContainsFunc(w.excuses, func(e excuse) bool {
		isMeant := e.instance == o.Holder && (e.target == "" || e.target == o.target)
		return isMeant && o.At.After(e.at) && o.earliest.Sub(e.at) < thawSlack
	})
}

// earliest returns when an order may have arrived that was noted at a time.
func (w *ordersWorld) earliest(at time.Time) time.Time {
	for _, s := range w.heldUps {
		if at.After(s.from) && !at.After(s.to.Add(heldUpTime)) {
			return s.from
		}
	}
	return at
}

// arrivals returns the orders that arrived at each incarnation of a target, without those that
// are excused.
func (w *ordersWorld) arrivals() [][]arrivedOrder {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	var out [][]arrivedOrder
	for _, g := range w.targets {
		byBorn := make(map[int64][]arrivedOrder)
		for _, o := range g.current().Orders() {
			a := arrivedOrder{Order: o, target: g.current().ID, earliest: w.earliest(o.At)}
			if !w.isExcused(a) {
				byBorn[o.Born] = append(byBorn[o.Born], a)
			}
		}
		for _, orders := range byBorn {
			out = append(out, orders)
		}
	}
	return out
}

// handoverAt returns the least handover that was in force within ConfigApply before a time.
func (w *ordersWorld) handoverAt(at time.Time) time.Duration {
	least := ordersHandover
	for _, c := range w.handovers {
		switch {
		case c.at.After(at):
		case at.Sub(c.at) > soakBounds.ConfigApply:
			least = c.handover
		default:
			least = min(least, c.handover)
		}
	}
	return least
}

// holder returns the instance whose orders have the highest token of late, nil if there is none.
func (w *ordersWorld) holder() *soakInstance {
	const recent = 600 * time.Millisecond
	var last fake.Order
	for _, g := range w.targets {
		for _, o := range g.current().Orders() {
			if time.Since(o.At) < recent && o.Token >= last.Token {
				last = o
			}
		}
	}
	i := slices.IndexFunc(w.instances, func(in *soakInstance) bool { return in.id == last.Holder })
	if i < 0 {
		return nil
	}
	return w.instances[i]
}

// awaitHolder waits until a holder sends orders.
func (w *ordersWorld) awaitHolder(within time.Duration) *soakInstance {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if in := w.holder(); in != nil {
			return in
		}
	}
	return nil
}

// awaitNextOrders waits until another instance than the given one sends orders, or that one
// again after a time in which another one could have become the holder.
func (w *ordersWorld) awaitNextOrders(was *soakInstance) {
	began := time.Now()
	for time.Since(began) < holderTime {
		time.Sleep(20 * time.Millisecond)
		if in := w.holder(); in != nil && (in != was || time.Since(began) > settleTime) {
			return
		}
	}
}

// awaitLateOrder waits until an order of an instance has come that arrives late.
func (w *ordersWorld) awaitLateOrder(in *soakInstance) {
	timeout := time.After(2 * time.Second)
	for w.late > 0 {
		select {
		case o := <-w.lateOrders:
			if o.Holder == in.id {
				return
			}
		case <-timeout:
			return
		}
	}
}

// endFigures are what was measured of one kind of end.
type endFigures struct {
	ends, changes, near int
	// unsure counts the pairs that were noted as too near while the test's own process was held
	// up, and that may have kept apart.
	unsure int
	// leastGap is the least time between orders of two instances at one target; pauses are those
	// from the last order of one to the first of another at all targets, and silences the longest
	// times after an end in which no order arrived anywhere.
	leastGap time.Duration
	pauses   []time.Duration
	silences []time.Duration
}

// figures sums the ends of each kind.
func (w *ordersWorld) figures(arrivals [][]arrivedOrder, faults []orderFault) map[endKind]*endFigures {
	out := make(map[endKind]*endFigures)
	for _, e := range w.ends {
		f := out[e.kind]
		if f == nil {
			f = &endFigures{leastGap: time.Hour}
			out[e.kind] = f
		}
		f.ends++
	}
	of := func(at time.Time) *endFigures {
		if i := w.endBefore(at); i >= 0 {
			return out[w.ends[i].kind]
		}
		return &endFigures{}
	}
	for _, f := range faults {
		of(f.at).near++
	}
	all := slices.Concat(arrivals...)
	for i, silence := range w.silences(all) {
		f := out[w.ends[i].kind]
		f.silences = append(f.silences, silence)
	}
	forEachChange(all, func(x, y arrivedOrder) {
		f := of(y.At)
		f.changes++
		f.pauses = append(f.pauses, y.At.Sub(x.At))
	})
	for _, orders := range arrivals {
		forEachChange(orders, func(x, y arrivedOrder) {
			f := of(y.At)
			f.leastGap = min(f.leastGap, y.At.Sub(x.At))
			if least := w.handoverAt(y.At); y.At.Sub(x.At) < least && y.At.Sub(x.earliest) >= least {
				f.unsure++
			}
		})
	}
	return out
}

// endBefore returns the number of the latest end before a time, -1 if there is none.
func (w *ordersWorld) endBefore(at time.Time) int {
	i, _ := slices.BinarySearchFunc(w.ends, at, func(e termEnd, at time.Time) int { return e.at.Compare(at) })
	return i - 1
}

// silences returns the longest time without any order after each end.
func (w *ordersWorld) silences(orders []arrivedOrder) []time.Duration {
	slices.SortFunc(orders, func(x, y arrivedOrder) int { return x.At.Compare(y.At) })
	out := make([]time.Duration, len(w.ends))
	for i := 1; i < len(orders); i++ {
		if e := w.endBefore(orders[i].At); e >= 0 {
			out[e] = max(out[e], orders[i].At.Sub(orders[i-1].At))
		}
	}
	return out
}

// forEachChange calls f for consecutive orders of two instances.
func forEachChange(orders []arrivedOrder, f func(x, y arrivedOrder)) {
	slices.SortFunc(orders, func(x, y arrivedOrder) int { return x.At.Compare(y.At) })
	for i := 1; i < len(orders); i++ {
		if orders[i-1].Holder != orders[i].Holder {
			f(orders[i-1], orders[i])
		}
	}
}

func medianAndMost(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	return fmt.Sprintf("%.2f s, %.2f s", times[len(times)/2].Seconds(), times[len(times)-1].Seconds())
}

// judge reports the faults and prints the figures.
func (w *ordersWorld) judge() {
	arrivals := w.arrivals()
	var faults []orderFault
	for _, orders := range arrivals {
		faults = append(faults, judgeArrivals(orders, w.handoverAt)...)
		w.t.Logf("%s: %d orders", orders[0].target, len(orders))
	}
	slices.SortFunc(faults, func(x, y orderFault) int { return x.at.Compare(y.at) })
	for _, f := range faults {
		w.t.Errorf("%s %s", f.at.Format("15:04:05.000"), f.text)
	}
	w.record.mu.Lock()
	for _, f := range w.record.failures {
		w.t.Error(f)
	}
	w.record.mu.Unlock()
	for _, e := range w.ends {
		w.t.Logf("%s %s of %s", e.at.Format("15:04:05.000"), e.kind, e.holder)
	}
	w.t.Logf("%-20s %5s %8s %6s %6s %10s  %-16s  %s", "end of a term", "ends", "changes", "near", "unsure", "least gap",
		"pause to another", "longest silence (median, most)")
	for kind, f := range w.figures(arrivals, faults) {
		w.t.Logf("%-20s %5d %8d %6d %6d %8.3f s  %-16s  %s", kind, f.ends, f.changes, f.near, f.unsure, f.leastGap.Seconds(),
			medianAndMost(f.pauses), medianAndMost(f.silences))
	}
	longest := time.Duration(0)
	for _, s := range w.heldUps {
		longest = max(longest, s.to.Sub(s.from))
	}
	w.t.Logf("the test's own process was held up %d times, for at most %v", len(w.heldUps), cmp.Or(longest, 0))
}
