package queue

import (
	"container/heap"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/fairq"
	"chivecroft.example/chivecroft/internal/state/config"
)

// classWeight returns the relative share of grants that a class gets while requests of
// several classes wait.
func classWeight(class config.Class) float64 {
	if class == config.ClassDeferrable {
		return 1
	}
	return 8
}

// defaultWeight is the weight of a tenant whose configuration sets none.
const defaultWeight = 1

// fairQueue orders the waiting requests of one waitQueue.
//
// Classes, and within a class tenants, are scheduled by package fairq, each grant counting as
// one token. Within a tenant the earliest deadline is first.
//
// For example, interactive and deferrable work are weighted 8 to 1: while requests of both
// classes wait, eight interactive requests are granted for each deferrable one, and a tenant
// with a thousand waiting requests gets no more grants than a tenant of the same weight with
// ten.
type fairQueue struct {
	classes *fairq.Schedule[config.Class, *tenants]
	count   int
	bytes   int64
	// minRefuseBy is a lower bound of refuseBy over all waiters.
	minRefuseBy time.Time
}

// tenants schedules the tenants of a class. classFlow is a class, tenantFlow a tenant
// within a class with its waiting requests.
type (
	tenants    = fairq.Schedule[string, waiterHeap]
	classFlow  = fairq.Flow[config.Class, *tenants]
	tenantFlow = fairq.Flow[string, waiterHeap]
)

func newFairQueue() *fairQueue {
	return &fairQueue{classes: fairq.New[config.Class, *tenants]()}
}

func (q *fairQueue) push(w *waiter) {
	class := q.classes.Ensure(w.req.Class)
	if class.Items == nil {
		class.Items = fairq.New[string, waiterHeap]()
	}
	tenant := class.Items.Ensure(w.req.Tenant)
	q.classes.Add(class)
	class.Items.Add(tenant)
	heap.Push(&tenant.Items, w)
	if q.count == 0 || w.refuseBy.Before(q.minRefuseBy) {
		q.minRefuseBy = w.refuseBy
	}
	q.count++
	q.bytes += w.req.Bytes
}

// flowsOf returns the class and the tenant of a waiter in the queue.
func (q *fairQueue) flowsOf(w *waiter) (*classFlow, *tenantFlow) {
	class := q.classes.Flow(w.req.Class)
	return class, class.Items.Flow(w.req.Tenant)
}

// remove removes a waiter from any position in the queue.
func (q *fairQueue) remove(w *waiter) {
	class, tenant := q.flowsOf(w)
	heap.Remove(&tenant.Items, w.heapIndex)
	class.Items.Remove(tenant)
	q.classes.Remove(class)
	q.count--
	q.bytes -= w.req.Bytes
}

// next returns the waiter that is granted next, nil if the queue is empty.
func (q *fairQueue) next() *waiter {
	class := q.classes.Next()
	if class == nil {
		return nil
	}
	return class.Items.Next().Items[0]
}

// removeGranted removes a waiter and charges the grant to its class and tenant.
func (q *fairQueue) removeGranted(w *waiter) {
	class, tenant := q.flowsOf(w)
	q.classes.Charge(class, 1, classWeight(w.req.Class))
	class.Items.Charge(tenant, 1, w.req.weight())
	q.remove(w)
}

// each calls visit for every waiter; visit must not change the queue.
func (q *fairQueue) each(visit func(*waiter)) {
	for class := range q.classes.Active() {
		for tenant := range class.Items.Active() {
			for _, w := range tenant.Items {
				visit(w)
			}
		}
	}
}

// evictionCandidate returns the waiter to evict when the queue is full: the one with the
// latest deadline of the tenant with the most waiting requests relative to its weight.
func (q *fairQueue) evictionCandidate() *waiter {
	var candidate *waiter
	maxLength := 0.0
	for class := range q.classes.Active() {
		for tenant := range class.Items.Active() {
			last := tenant.Items.last()
			length := float64(len(tenant.Items)) / last.req.weight()
			if length > maxLength || (length == maxLength && last.seq > candidate.seq) {
				candidate, maxLength = last, length
			}
		}
	}
	return candidate
}

// weightedLength returns the number of waiting requests of the tenant in the class of req,
// divided by the tenant's weight.
func (q *fairQueue) weightedLength(req Request) float64 {
	class := q.classes.Flow(req.Class)
	if class == nil || class.Items.Flow(req.Tenant) == nil {
		return 0
	}
	return float64(class.Items.Flow(req.Tenant).Len()) / req.weight()
}

// countAhead estimates how many requests are granted before a new one: those of its own
// tenant that have no later deadline, and of each other flow as many as its weight allows in
// the meantime.
func (q *fairQueue) countAhead(req Request, refuseBy time.Time) int {
	inClass := 0.0
	if own := q.classes.Flow(req.Class); own != nil {
		inClass = countAheadInClass(own.Items, req, refuseBy)
	}
	sum := inClass
	for class := range q.classes.Active() {
		if class.Key != req.Class {
			overtaking := (inClass + 1) * classWeight(class.Key) / classWeight(req.Class)
			sum += min(float64(class.Len()), overtaking)
		}
	}
	return int(sum)
}

func countAheadInClass(t *tenants, req Request, refuseBy time.Time) float64 {
	earlier := 0.0
	if own := t.Flow(req.Tenant); own != nil {
		for _, w := range own.Items {
			if !w.refuseBy.After(refuseBy) {
				earlier++
			}
		}
	}
	sum := earlier
	for tenant := range t.Active() {
		if tenant.Key != req.Tenant {
			overtaking := (earlier + 1) * tenant.Items[0].req.weight() / req.weight()
			sum += min(float64(tenant.Len()), overtaking)
		}
	}
	return sum
}

// earliest returns the lowest refuseBy and the most urgent class of all waiters.
func (q *fairQueue) earliest() (time.Time, config.Class) {
	var first time.Time
	class := config.ClassDeferrable
	for flow := range q.classes.Active() {
		if flow.Key != config.ClassDeferrable {
			class = flow.Key
		}
		for tenant := range flow.Items.Active() {
			if due := tenant.Items[0].refuseBy; first.IsZero() || due.Before(first) {
				first = due
			}
		}
	}
	if flow := q.classes.Flow(config.ClassInteractive); flow != nil && flow.Len() > 0 {
		class = config.ClassInteractive
	}
	return first, class
}

// waiterHeap implements heap.Interface, the waiter with the earliest refuseBy first.
type waiterHeap []*waiter

func (d waiterHeap) Len() int { return len(d) }

func (d waiterHeap) Less(i, j int) bool {
	if d[i].refuseBy.Equal(d[j].refuseBy) {
		return d[i].seq < d[j].seq
	}
	return d[i].refuseBy.Before(d[j].refuseBy)
}

func (d waiterHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*d)
	*d = append(*d, w)
}

func (d *waiterHeap) Pop() any {
	old := *d
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	w.heapIndex = -1
	return w
}

// last returns the waiter with the latest refuseBy.
func (d waiterHeap) last() *waiter {
	last := d[0]
	for _, w := range d {
		if w.refuseBy.After(last.refuseBy) || (w.refuseBy.Equal(last.refuseBy) && w.seq > last.seq) {
			last = w
		}
	}
	return last
}
