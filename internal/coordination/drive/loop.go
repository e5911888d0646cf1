package drive

import (
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Loop drives one part.
//
// Events wait in a queue and are taken by whichever goroutine posts to an idle
// loop, so a part is never stepped by two goroutines at once, and a loop
// without work holds no goroutine. Under a virtual timer and fakes that answer
// at once, everything runs on the goroutine that advances the time.
type Loop struct {
	part   ports.Part
	env    ports.Env
	listen func(value any)

	mu      sync.Mutex
	queue   []ports.Event
	running bool
	stopped bool
	timers  map[*armed]struct{}
}

// armed is a timer that has not fired.
type armed struct{ cancel timer.Cancel }

// Option changes a Loop under construction.
type Option func(*Loop)

// WithListener hands the values of the part's notes to listen, which must not block.
func WithListener(listen func(value any)) Option {
	return func(l *Loop) { l.listen = listen }
}

// NewLoop returns a loop that drives part through env.
func NewLoop(part ports.Part, env ports.Env, opts ...Option) *Loop {
	l := &Loop{part: part, env: env, listen: func(any) {}, timers: make(map[*armed]struct{})}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Post queues an event; events posted after Stop are dropped.
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

// Inspect calls look between two steps of the part, when its state is whole;
// after Stop it is not called.
func (l *Loop) Inspect(look func()) {
	l.Post(inspection{look})
}

// inspection is an event for the loop itself.
type inspection struct{ look func() }

// IsEvent marks an event.
func (inspection) IsEvent() {}

// Stop drops queued events and pending timers; a step under way ends normally.
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
			i.look()
			continue
		}
		for _, effect := range l.part.Step(l.env.Timer.Now(), ev) {
			l.carryOut(effect)
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

func (l *Loop) carryOut(effect ports.Effect) {
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
		l.arm(e)
	case ports.Note:
		l.listen(e.Value)
	}
}

func (l *Loop) arm(e ports.ArmTimer) {
	a := &armed{}
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
