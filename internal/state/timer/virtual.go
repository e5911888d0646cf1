package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Virtual is a Service for tests and simulations whose time moves only when Advance is
// called.
type Virtual struct {
	mu      sync.Mutex
	now     time.Time
	pending callHeap
	// serial is the number of calls scheduled so far.
	serial uint64
}

// NewVirtual returns a Virtual whose time is start.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start}
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After calls fire once the virtual time has advanced by d, on the goroutine that calls
// Advance.
func (v *Virtual) After(d time.Duration, fire func()) Cancel {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serial++
	a := &pendingCall{due: v.now.Add(max(d, 0)), serial: v.serial, fire: fire}
	heap.Push(&v.pending, a)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		a.fire = nil
	}
}

// Next returns the time at which the earliest pending call is due, and false if there is
// none.
func (v *Virtual) Next() (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropCancelled()
	if len(v.pending) == 0 {
		return time.Time{}, false
	}
	return v.pending[0].due, true
}

// Advance moves the time forward by d and makes every call that becomes due, in order of
// due time and, for equal times, in the order in which they were scheduled.
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

// popDue removes the earliest pending call that is due by end, sets the time to its due
// time and returns its function. It returns nil if there is none.
func (v *Virtual) popDue(end time.Time) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropCancelled()
	if len(v.pending) == 0 || v.pending[0].due.After(end) {
		return nil
	}
	a := heap.Pop(&v.pending).(*pendingCall)
	v.now = a.due
	return a.fire
}

// dropCancelled removes cancelled calls from the head of the heap.
func (v *Virtual) dropCancelled() {
	for len(v.pending) > 0 && v.pending[0].fire == nil {
		heap.Pop(&v.pending)
	}
}

// pendingCall is a call scheduled by Virtual.After.
type pendingCall struct {
	due    time.Time
	serial uint64
	// fire is nil once the call is cancelled.
	fire func()
}

// callHeap is a heap of calls ordered by due time, then by the order of scheduling.
type callHeap []*pendingCall

func (a callHeap) Len() int { return len(a) }

func (a callHeap) Less(i, j int) bool {
	if a[i].due.Equal(a[j].due) {
		return a[i].serial < a[j].serial
	}
	return a[i].due.Before(a[j].due)
}

func (a callHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *callHeap) Push(x any) { *a = append(*a, x.(*pendingCall)) }

func (a *callHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}
