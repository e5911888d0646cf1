package daily

import (
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// tellWait is the longest that the end of an answer waits until its outcome is
// kept by a neighbour: time for one neighbour to be late and for another to answer.
const tellWait = 50 * time.Millisecond

// Telling runs a Teller and lets answers wait until their outcomes are told.
type Telling struct {
	loop     *drive.Loop
	recorder *Recorder
	timer    timer.Service
	onLeft   func(Left)

	mu      sync.Mutex
	told    Told
	waiting map[*waiter]struct{}
}

// waiter is an answer that waits until a number of changes is told.
type waiter struct {
	until uint64
	done  chan struct{}
	once  sync.Once
}

func (w *waiter) release() {
	w.once.Do(func() { close(w.done) })
}

// TellingOption changes a Telling under construction.
type TellingOption func(*Telling)

// WithLeft calls f for each neighbour that is left; f must not block.
func WithLeft(f func(Left)) TellingOption {
	return func(t *Telling) { t.onLeft = f }
}

// NewTelling returns a driver that runs teller through env.
func NewTelling(teller *Teller, env ports.Env, opts ...TellingOption) *Telling {
	t := &Telling{recorder: teller.recorder, timer: env.Timer, onLeft: func(Left) {}, waiting: make(map[*waiter]struct{})}
	for _, opt := range opts {
		opt(t)
	}
	t.loop = drive.NewLoop(teller, env, drive.WithListener(t.listen))
	return t
}

// Start begins to tell.
func (t *Telling) Start() {
	t.loop.Post(Start{})
}

// Stop ends the driver; answers that wait do so until their time is up.
func (t *Telling) Stop() {
	t.loop.Stop()
}

// SetMembers tells which entries are known.
func (t *Telling) SetMembers(members []ports.Member) {
	t.loop.Post(MembersChanged{Members: members})
}

// Arrived says that a request was counted.
func (t *Telling) Arrived() {
	t.loop.Post(Counted{})
}

// Ended says that an outcome was counted and waits until a neighbour keeps it,
// for tellWait at most, and not at all while no neighbour is told at once.
func (t *Telling) Ended() {
	w := t.end()
	if w == nil {
		return
	}
	cancel := t.timer.After(tellWait, w.release)
	<-w.done
	cancel()
	t.mu.Lock()
	delete(t.waiting, w)
	t.mu.Unlock()
}

// end begins to wait; nil means that there is nothing to wait for.
func (t *Telling) end() *waiter {
	w := &waiter{until: t.recorder.changes.count(), done: make(chan struct{})}
	t.mu.Lock()
	waits := t.told.Exact && t.told.Through < w.until
	if waits {
		t.waiting[w] = struct{}{}
	}
	t.mu.Unlock()
	t.loop.Post(Counted{Outcome: true})
	if !waits {
		return nil
	}
	return w
}

func (t *Telling) listen(value any) {
	if left, ok := value.(Left); ok {
		t.onLeft(left)
		return
	}
	told, ok := value.(Told)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = told
	for w := range t.waiting {
		if w.until <= told.Through {
			w.release()
		}
	}
}
