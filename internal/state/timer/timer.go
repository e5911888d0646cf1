package timer

import (
	"sync"
	"time"
)

// Cancel stops a pending subscription and is safe to call more than once.
type Cancel func()

// Service tells the time and calls subscribers back when their time has come.
//
// The times it gives are ordered by the monotonic clock; their wall reading is
// for display only.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// After calls fire once, after d has passed, on an unspecified goroutine.
	After(d time.Duration, fire func()) Cancel
}

// System is the Service that runs on the machine's clock.
type System struct{}

// NewSystem returns the timer service of the running machine.
func NewSystem() System {
	return System{}
}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time {
	return time.Now()
}

// After calls fire once after d.
func (System) After(d time.Duration, fire func()) Cancel {
	t := time.AfterFunc(d, fire)
	return func() { t.Stop() }
}

// Every calls fire each period until the returned Cancel is called.
func Every(s Service, period time.Duration, fire func()) Cancel {
	e := &repeater{service: s, period: period, fire: fire}
	e.arm()
	return e.stop
}

// repeater re-arms itself after each call, so calls never overlap.
type repeater struct {
	service Service
	period  time.Duration
	fire    func()

	mu      sync.Mutex
	cancel  Cancel
	stopped bool
}

func (r *repeater) arm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.cancel = r.service.After(r.period, r.run)
}

func (r *repeater) run() {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return
	}
	r.fire()
	r.arm()
}

func (r *repeater) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.cancel != nil {
		r.cancel()
	}
}

// Later returns the later one of two times.
func Later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
