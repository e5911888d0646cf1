package timer

import (
	"sync"
	"time"
)

// Cancel cancels a pending call. It may be called more than once. It does not wait for a
// call that has already begun.
type Cancel func()

// Service provides the current time and calls functions after a delay.
//
// Only the order of its times and the differences between them are meaningful; the wall
// time that they show is for display only.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// After calls fire once after d, on an unspecified goroutine.
	After(d time.Duration, fire func()) Cancel
}

// System is the Service that runs on the machine's monotonic clock.
type System struct{}

// NewSystem returns a Service on the machine's monotonic clock.
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

// Every calls fire repeatedly until the returned Cancel is called. The first call comes
// after one period, and each further one a period after the previous call returned.
func Every(s Service, period time.Duration, fire func()) Cancel {
	e := &repeater{service: s, period: period, fire: fire}
	e.arm()
	return e.stop
}

// repeater implements Every. It schedules the next call after the previous one has
// returned, so calls never overlap.
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

// Earlier returns the earlier one of two times.
func Earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}
