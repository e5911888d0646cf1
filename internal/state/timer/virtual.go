package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Virtual is a Service whose time moves only when Advance is called.
type Virtual struct {
	mu      sync.Mutex
	now     time.Time
	pending alarms
	serial  uint64
}

// NewVirtual returns a virtual timer service that starts at start.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start}
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After calls fire when the virtual time has advanced by d.
func (v *Virtual) After(d time.Duration, fire func()) Cancel {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serial++
	a := &alarm{due: v.now.Add(max(d, 0)), serial: v.serial, fire: fire}
	heap.Push(&v.pending, a)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		a.fire = nil
	}
}

// Next returns when the earliest pending call is due, and false if none is.
func (v *Virtual) Next() (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropCancelled()
	if len(v.pending) == 0 {
		return time.Time{}, false
	}
	return v.pending[0].due, true
}

// Advance moves time forward by d, making every call that falls due in order of
// due time and, for equal times, of subscription.
func (v *Virtual) Advance(d time.Duration) {
	end := v.Now().Add(d)
	for {
		fire := v.popDue(end)
		if fire == nil {
			break
		}
		fire()
	}
	v.mu.Lock()
	v.now = end
	v.mu.Unlock()
}

func (v *Virtual) popDue(end time.Time) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropCancelled()
	if len(v.pending) == 0 || v.pending[0].due.After(end) {
		return nil
	}
	a := heap.Pop(&v.pending).(*alarm)
	v.now = a.due
	return a.fire
}

func (v *Virtual) dropCancelled() {
	for len(v.pending) > 0 && v.pending[0].fire == nil {
		heap.Pop(&v.pending)
	}
}

type alarm struct {
	due    time.Time
	serial uint64
	fire   func()
}

// alarms is a heap ordered by due time, then by subscription.
type alarms []*alarm

func (a alarms) Len() int { return len(a) }

func (a alarms) Less(i, j int) bool {
	if a[i].due.Equal(a[j].due) {
		return a[i].serial < a[j].serial
	}
	return a[i].due.Before(a[j].due)
}

func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *alarms) Push(x any) { *a = append(*a, x.(*alarm)) }

func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}
