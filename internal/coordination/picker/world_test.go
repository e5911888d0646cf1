package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// worldGoal is the time within which responses should begin.
const worldGoal = 500 * time.Millisecond

// worldTerm is the term of the lease holder in a world.
const worldTerm = 1

// world is a fleet of instances with one lease holder and a service on virtual time.
type world struct {
	timer  *timer.Virtual
	random *rand.Rand
	model  string
	// interval is the time between two messages of an instance to the holder, which
	// answers after delay. A false isConnected loses them.
	interval    time.Duration
	delay       time.Duration
	isConnected bool
	// mean is the mean duration of a request.
	mean    time.Duration
	sums    *load.Sums
	index   *load.Index
	pickers []*Picker
	targets []*worldTarget
	byID    map[string]*worldTarget
	refused int
	choose  func(*Picker, Request) *Reservation
	// queues has requests wait for a target and be sent again if they are rejected, and
	// targets answer more slowly the busier they are.
	queues bool
	// calls counts the requests that arrived from countFrom on, inTime those of them whose
	// response has begun within worldGoal.
	countFrom     time.Time
	inTime, calls int
}

// worldTarget is a target in a world.
type worldTarget struct {
	fleet.Target
	running, served, late, rejected int
	// capacity is the number of requests beyond which new ones are answered late, or
	// rejected if rejects is set; nil for no such number.
	capacity func() int
	rejects  bool
	// isFailing makes the target fail all requests at once.
	isFailing bool
	// slowness multiplies the duration of requests.
	slowness float64
	// pace is what the target says of it in its responses, 0 for nothing.
	pace func() float64
}

func newWorld(instances, targets int, mean time.Duration) *world {
	return newWorldWithLimits(instances, targets, mean, true)
}

// newWorldWithLimits returns a world in which targets that have just started or recovered
// have limits, or none.
func newWorldWithLimits(instances, targets int, mean time.Duration, hasLimits bool) *world {
	var sumsOptions []load.Option
	var options []Option
	if !hasLimits {
		sumsOptions, options = append(sumsOptions, load.WithoutStartLimits()), append(options, WithoutStartLimits())
	}
	w := &world{
		timer: timer.NewVirtual(time.Unix(1_000_000, 0)), random: rand.New(rand.NewPCG(1, 2)),
		model: "m", interval: 700 * time.Millisecond, delay: 20 * time.Millisecond, mean: mean,
		isConnected: true, byID: make(map[string]*worldTarget),
		index: load.NewIndex(),
	}
	w.sums = load.NewSums(worldTerm, w.index, sumsOptions...)
	w.choose = func(p *Picker, q Request) *Reservation { return p.acquireNow(q) }
	var updates []Update
	for i := range targets {
		r := &worldTarget{Target: engineTarget(fmt.Sprintf("e%d", i), "a1", "m"), slowness: 1, pace: func() float64 { return 0 }}
		r.Slots = 48
		w.targets = append(w.targets, r)
		w.byID[r.ID] = r
		u := NewUpdate(&r.Target, r.Models)
		u.Index = w.index.Assign(r.ID, r.Slots)
		updates = append(updates, u)
	}
	for i := range instances {
		p := New(w.timer, "a1", regions, append(options, WithName(fmt.Sprint(i)), WithRandom(rand.New(rand.NewPCG(uint64(i), 3))))...)
		p.ApplyUpdates(updates, nil)
		p.ApplyLoad(worldTerm, nil, w.timer.Now())
		w.pickers = append(w.pickers, p)
		w.timer.After(time.Duration(w.random.Int64N(int64(w.interval))), func() { w.exchange(p) })
	}
	return w
}

// restart replaces a target by its next incarnation.
func (w *world) restart(r *worldTarget) {
	r.Born++
	r.running = 0
	u := NewUpdate(&r.Target, r.Models)
	u.Index = w.index.Assign(r.ID, r.Slots)
	for _, p := range w.pickers {
		p.ApplyUpdates([]Update{u}, nil)
	}
	w.sums.Ramps().Start(w.timer.Now(), u.Index, r.Slots)
}

// acquireNow is Acquire without queueing.
func (p *Picker) acquireNow(q Request) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countArrival(&q)
	return p.tryAcquire(p.timer.Now(), &q)
}

// exchange sends a picker's report to the holder, whose reply comes after delay.
func (w *world) exchange(p *Picker) {
	w.timer.After(w.interval, func() { w.exchange(p) })
	sentAt := w.timer.Now()
	r, demand := p.LoadReport(), p.Demand()
	p.ApplyUpdates(nil, nil)
	if !w.isConnected {
		return
	}
	for _, d := range demand {
		w.sums.AddArrivals(sentAt, load.Model{Service: d.Service, Model: d.Model}, d.Arrived)
	}
	w.sums.Record(sentAt, p.name, &r)
	s := w.sums.Snapshot(sentAt, p.name)
	w.timer.After(w.delay, func() { p.ApplyLoad(worldTerm, s, sentAt) })
}

// run sends perSecond requests a second on average, each at a random instance of those
// that busy returns true for, for d.
func (w *world) run(d time.Duration, perSecond float64, busy func(i int) bool) {
	end := w.timer.Now().Add(d)
	for {
		next := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
		if !w.timer.Now().Add(next).Before(end) {
			w.timer.Advance(end.Sub(w.timer.Now()))
			return
		}
		w.timer.Advance(next)
		i := w.random.IntN(len(w.pickers))
		for !busy(i) {
			i = w.random.IntN(len(w.pickers))
		}
		w.send(w.pickers[i])
	}
}

func everywhere(int) bool { return true }

// send sends one request.
func (w *world) send(p *Picker) {
	now := w.timer.Now()
	q := Request{Service: "llm", Model: w.model, Arrived: now, Deadline: now.Add(10 * time.Second), Goal: worldGoal}
	if w.queues {
		w.calls++
		w.acquire(p, q)
		return
	}
	s := w.choose(p, q)
	if s == nil {
		w.refused++
		return
	}
	w.sendTo(p, q, s)
}

// acquire does what Acquire does, with a queued request that looks for its result at
// intervals.
func (w *world) acquire(p *Picker, q Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := w.timer.Now()
	p.countArrival(&q)
	if !p.takesTurn(&q) {
		if s := p.tryAcquire(now, &q); s != nil {
			w.timer.After(0, func() { w.sendTo(p, q, s) })
			return
		}
		if p.refuse(now, &q) != nil {
			w.refused++
			return
		}
	}
	queued := &queuedRequest{req: q, result: make(chan acquireResult, 1)}
	p.enqueue(queued)
	p.serve(now, &queued.req)
	p.scheduleCheckLocked()
	var look func()
	look = func() {
		select {
		case a := <-queued.result:
			if a.reservation == nil {
				w.refused++
				return
			}
			w.sendTo(p, q, a.reservation)
		default:
			w.timer.After(10*time.Millisecond, look)
		}
	}
	look()
}

// busyDelay returns the mean time to a response at a target. Above three quarters of the
// slots each request adds to it; with all slots in use half of the responses come later
// than worldGoal.
func (r *worldTarget) busyDelay() time.Duration {
	const usual, each = 100 * time.Millisecond, 33 * time.Millisecond
	over := max(r.running-r.Slots*3/4, 0)
	return usual + time.Duration(over)*each
}

// sendTo sends a request to the target of a reservation.
func (w *world) sendTo(p *Picker, q Request, s *Reservation) {
	r := w.byID[s.Target.ID]
	r.served++
	isOver := r.capacity != nil && r.running >= r.capacity()
	if isOver && r.rejects {
		r.rejected++
		w.timer.After(time.Millisecond, func() {
			s.Release(Outcome{Rejected: true})
			if w.queues {
				w.acquire(p, q)
			}
		})
		return
	}
	if r.isFailing {
		w.timer.After(time.Millisecond, func() { s.Release(Outcome{Failed: true}) })
		return
	}
	r.running++
	took := time.Duration(w.random.ExpFloat64() * r.slowness * float64(w.mean))
	first := took / 10
	if r.capacity != nil {
		first = min(first, worldGoal/2)
	}
	if w.queues {
		first = time.Duration((0.5 + w.random.Float64()) * r.slowness * float64(r.busyDelay()))
		took += first
	}
	if isOver {
		r.late++
		first = 2 * worldGoal
		took += first
	}
	born := r.Born
	answered := func() {
		if r.Born == born {
			r.running--
		}
		s.Release(Outcome{Answered: true, Pace: r.pace()})
	}
	if w.model == "" {
		w.timer.After(took, answered)
		return
	}
	w.timer.After(first, func() {
		if !q.Arrived.Before(w.countFrom) && w.timer.Now().Sub(q.Arrived) <= worldGoal {
			w.inTime++
		}
		s.ResponseBegan()
		s.SetReportedPace(r.pace())
	})
	w.timer.After(took, answered)
}

// busiest returns the busiest target's requests over the mean.
func (w *world) busiest() float64 {
	most, sum := 0, 0
	for _, r := range w.targets {
		most = max(most, r.running)
		sum += r.running
	}
	return float64(most) * float64(len(w.targets)) / float64(max(sum, 1))
}

// meanBusiest runs the world and returns the mean of busiest over the time.
func (w *world) meanBusiest(d time.Duration, perSecond float64, busy func(i int) bool) float64 {
	const step = 100 * time.Millisecond
	n := int(d / step)
	sum := 0.0
	for range n {
		w.run(step, perSecond, busy)
		sum += w.busiest()
	}
	return sum / float64(n)
}

// report logs the figures of a test, as an error if they show a failure.
func report(t *testing.T, isFailure bool, format string, args ...any) {
	t.Helper()
	if isFailure {
		t.Errorf(format, args...)
		return
	}
	t.Logf(format, args...)
}
