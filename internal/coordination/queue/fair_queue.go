package queue

import (
	"container/heap"
	"time"

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
// Classes, and within a class tenants, are scheduled by start-time fair queueing: each grant
// increases the start tag of its flow by the inverse of the flow's weight, and the flow with
// the lowest start tag is next. A flow that was empty starts at the current virtual time, so
// that it accumulates no credit while empty. Within a tenant the earliest deadline is first.
//
// For example, interactive and deferrable work are weighted 8 to 1: while requests of both
// classes wait, eight interactive requests are granted for each deferrable one, and a tenant
// with a thousand waiting requests gets no more grants than a tenant of the same weight with
// ten.
type fairQueue struct {
	classes     map[config.Class]*classFlow
	virtualTime float64
	count       int
	bytes       int64
	// minRefuseBy is a lower bound of refuseBy over all waiters.
	minRefuseBy time.Time
}

// classFlow holds the waiting requests of a class.
type classFlow struct {
	tenants     map[string]*tenantFlow
	virtualTime float64
	startTag    float64
	count       int
}

// tenantFlow holds the waiting requests of a tenant within a class.
type tenantFlow struct {
	name     string
	startTag float64
	waiting  waiterHeap
}

func newFairQueue() *fairQueue {
	return &fairQueue{classes: make(map[config.Class]*classFlow)}
}

func (q *fairQueue) push(w *waiter) {
	class := q.classes[w.req.Class]
	if class == nil {
		class = &classFlow{tenants: make(map[string]*tenantFlow)}
		q.classes[w.req.Class] = class
	}
	if class.count == 0 {
		class.startTag = max(class.startTag, q.virtualTime)
	}
	tenant := class.tenants[w.req.Tenant]
	if tenant == nil {
		tenant = &tenantFlow{name: w.req.Tenant, startTag: class.virtualTime}
		class.tenants[w.req.Tenant] = tenant
	}
	heap.Push(&tenant.waiting, w)
	if q.count == 0 || w.refuseBy.Before(q.minRefuseBy) {
		q.minRefuseBy = w.refuseBy
	}
	class.count++
	q.count++
	q.bytes += w.req.Bytes
}

// remove removes a waiter from any position in the queue.
func (q *fairQueue) remove(w *waiter) {
	class := q.classes[w.req.Class]
	tenant := class.tenants[w.req.Tenant]
	heap.Remove(&tenant.waiting, w.heapIndex)
	if len(tenant.waiting) == 0 {
		delete(class.tenants, tenant.name)
	}
	class.count--
	q.count--
	q.bytes -= w.req.Bytes
}

// next returns the waiter that is granted next, nil if the queue is empty.
func (q *fairQueue) next() *waiter {
	class, _ := q.nextClass()
	if class == nil {
		return nil
	}
	return class.nextTenant().waiting[0]
}

// removeGranted removes a waiter and charges the grant to its class and tenant.
func (q *fairQueue) removeGranted(w *waiter) {
	class := q.classes[w.req.Class]
	tenant := class.tenants[w.req.Tenant]
	q.virtualTime = max(q.virtualTime, class.startTag)
	class.virtualTime = max(class.virtualTime, tenant.startTag)
	class.startTag += 1 / classWeight(w.req.Class)
	tenant.startTag += 1 / w.req.weight()
	q.remove(w)
}

func (q *fairQueue) nextClass() (*classFlow, config.Class) {
	var best *classFlow
	var name config.Class
	for class, flow := range q.classes {
		if flow.count == 0 {
			continue
		}
		if best == nil || flow.startTag < best.startTag || (flow.startTag == best.startTag && class < name) {
			best, name = flow, class
		}
	}
	return best, name
}

func (c *classFlow) nextTenant() *tenantFlow {
	var best *tenantFlow
	for name, flow := range c.tenants {
		if best == nil || flow.startTag < best.startTag || (flow.startTag == best.startTag && name < best.name) {
			best = flow
		}
	}
	return best
}

// each calls visit for every waiter; visit must not change the queue.
func (q *fairQueue) each(visit func(*waiter)) {
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			for _, w := range tenant.waiting {
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
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			last := tenant.waiting.last()
			length := float64(len(tenant.waiting)) / last.req.weight()
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
	class := q.classes[req.Class]
	if class == nil || class.tenants[req.Tenant] == nil {
		return 0
	}
	return float64(len(class.tenants[req.Tenant].waiting)) / req.weight()
}

// countAhead estimates how many requests are granted before a new one: those of its own
// tenant that have no later deadline, and of each other flow as many as its weight allows in
// the meantime.
func (q *fairQueue) countAhead(req Request, refuseBy time.Time) int {
	own := q.classes[req.Class]
	inClass := 0.0
	if own != nil {
		inClass = own.countAhead(req, refuseBy)
	}
	sum := inClass
	for class, flow := range q.classes {
		if class != req.Class {
			overtaking := (inClass + 1) * classWeight(class) / classWeight(req.Class)
			sum += min(float64(flow.count), overtaking)
		}
	}
	return int(sum)
}

func (c *classFlow) countAhead(req Request, refuseBy time.Time) float64 {
	earlier := 0.0
	if own := c.tenants[req.Tenant]; own != nil {
		for _, w := range own.waiting {
			if !w.refuseBy.After(refuseBy) {
				earlier++
			}
		}
	}
	sum := earlier
	for name, flow := range c.tenants {
		if name != req.Tenant {
			overtaking := (earlier + 1) * flow.waiting[0].req.weight() / req.weight()
			sum += min(float64(len(flow.waiting)), overtaking)
		}
	}
	return sum
}

// earliest returns the lowest refuseBy and the most urgent class of all waiters.
func (q *fairQueue) earliest() (time.Time, config.Class) {
	var first time.Time
	class := config.ClassDeferrable
	for name, flow := range q.classes {
		if flow.count > 0 && name != config.ClassDeferrable {
			class = name
		}
		for _, tenant := range flow.tenants {
			if due := tenant.waiting[0].refuseBy; first.IsZero() || due.Before(first) {
				first = due
			}
		}
	}
	if flow := q.classes[config.ClassInteractive]; flow != nil && flow.count > 0 {
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
