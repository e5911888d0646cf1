package drive

import (
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Loop runs one part.
//
// Events wait in a queue. The goroutine that posts to an idle loop processes the queue
// until it is empty, so Step is never called by two goroutines at the same time, and an
// idle loop needs no goroutine. With a virtual timer and fakes that answer immediately,
// everything runs on the goroutine that advances the time.
type Loop struct {
	part     ports.Part
	env      ports.Env
	listener func(value any)

	mu      sync.Mutex
	queue   []ports.Event
	running bool
	stopped bool
	timers  map[*pendingTimer]struct{}
}

// pendingTimer is a timer that has not fired.
type pendingTimer struct{ cancel timer.Cancel }

// Option configures a Loop.
type Option func(*Loop)

// WithListener calls listen with the value of each ports.Note. The function must not
// block.
func WithListener(listen func(value any)) Option {
	return func(l *Loop) { l.listener = listen }
}

// NewLoop returns a loop that runs part and executes its effects through env.
func NewLoop(part ports.Part, env ports.Env, opts ...Option) *Loop {
	l := &Loop{part: part, env: env, listener: func(any) {}, timers: make(map[*pendingTimer]struct{})}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Post queues an event. Events posted after Stop are dropped.
func (l *Loop) Post(ev ports.Event) {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	l.queue = append(l.queue, ev)
	if l.running {
		l.mu.Unlock()
		return
	}
	l.running = true
	l.mu.Unlock()
	l.run()
}

// Inspect calls f between two steps of the part, when its state is consistent. After Stop
// f is not called.
func (l *Loop) Inspect(f func()) {
	l.Post(inspection{f})
}

// inspection is an event handled by the loop instead of the part.
type inspection struct{ run func() }

// IsEvent implements ports.Event.
func (inspection) IsEvent() {}

// Stop drops queued events and pending timers. A step in progress completes normally.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.queue = nil
	for a := range l.timers {
		a.cancel()
	}
	clear(l.timers)
}

func (l *Loop) run() {
	for {
		ev, ok := l.next()
		if !ok {
			return
		}
		if i, ok := ev.(inspection); ok {
			i.run()
			continue
		}
		for _, effect := range l.part.Step(l.env.Timer.Now(), ev) {
			l.execute(effect)
		}
	}
}

func (l *Loop) next() (ports.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.running = false
		l.queue = nil
		return nil, false
	}
	ev := l.queue[0]
	l.queue = l.queue[1:]
	return ev, true
}

func (l *Loop) execute(effect ports.Effect) {
	switch e := effect.(type) {
	case ports.KVCall:
		l.env.KV.Call(e.Req, func(r ports.KVReply) { l.Post(ports.KVDone{Tag: e.Tag, Reply: r}) })
	case ports.OrderCall:
		l.env.Engine.Order(e.To, e.Order, func(r ports.OrderReply) { l.Post(ports.OrderDone{Tag: e.Tag, Reply: r}) })
	case ports.PeerCall:
		l.env.Peers.Send(e.To, e.Msg, func(r ports.PeerReply) { l.Post(ports.PeerDone{Tag: e.Tag, Reply: r}) })
	case ports.ListCall:
		l.env.List.Instances(func(rows []ports.Instance, err error) {
			l.Post(ports.ListDone{Tag: e.Tag, Instances: rows, Err: err})
		})
	case ports.ArmTimer:
		l.startTimer(e)
	case ports.Note:
		l.listener(e.Value)
	}
}

func (l *Loop) startTimer(e ports.ArmTimer) {
	a := &pendingTimer{}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.timers[a] = struct{}{}
	a.cancel = l.env.Timer.After(e.After, func() {
		l.mu.Lock()
		delete(l.timers, a)
		l.mu.Unlock()
		l.Post(ports.TimerFired{Tag: e.Tag})
	})
}
