package await

import (
	"container/heap"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// classWeight is the share of grants of a class while several wait.
func classWeight(class config.Class) float64 {
	if class == config.ClassDeferrable {
		return 1
	}
	return 8
}

// defaultWeight is the share of a tenant whose configuration names none.
const defaultWeight = 1

// queue orders the waiting requests of one line.
//
// Between classes and, within a class, between tenants the grants follow
// start-time fair queueing: each grant moves a flow's virtual time on by the
// inverse of its weight, and the flow that is least far goes next. A flow that
// was empty joins at the current virtual time, so it can save nothing up.
// Within a tenant the earliest deadline goes first.
//
// For example, with 8 to 1 between interactive and deferrable work, a standing
// queue of both grants eight interactive places to each deferrable one, and a
// tenant with a thousand waiting requests gets no more of them than a tenant of
// the same weight with ten.
type queue struct {
	classes map[config.Class]*classFlow
	virtual float64
	count   int
	bytes   int64
	// first is no later than the earliest deadline of all that wait.
	first time.Time
}

// classFlow is the waiting requests of a class.
type classFlow struct {
	tenants map[string]*tenantFlow
	virtual float64
	passed  float64
	count   int
}

// tenantFlow is the waiting requests of a tenant within a class.
type tenantFlow struct {
	name    string
	passed  float64
	waiting deadlines
}

func newQueue() *queue {
	return &queue{classes: make(map[config.Class]*classFlow)}
}

func (q *queue) push(w *waiter) {
	class := q.classes[w.req.Class]
	if class == nil {
		class = &classFlow{tenants: make(map[string]*tenantFlow)}
		q.classes[w.req.Class] = class
	}
	if class.count == 0 {
		class.passed = max(class.passed, q.virtual)
	}
	tenant := class.tenants[w.req.Tenant]
	if tenant == nil {
		tenant = &tenantFlow{name: w.req.Tenant, passed: class.virtual}
		class.tenants[w.req.Tenant] = tenant
	}
	heap.Push(&tenant.waiting, w)
	if q.count == 0 || w.due.Before(q.first) {
		q.first = w.due
	}
	class.count++
	q.count++
	q.bytes += w.req.Bytes
}

// remove takes a waiter out, wherever it stands.
func (q *queue) remove(w *waiter) {
	class := q.classes[w.req.Class]
	tenant := class.tenants[w.req.Tenant]
	heap.Remove(&tenant.waiting, w.index)
	if len(tenant.waiting) == 0 {
		delete(class.tenants, tenant.name)
	}
	class.count--
	q.count--
	q.bytes -= w.req.Bytes
}

// next returns the waiter that has the next grant, nil if none waits.
func (q *queue) next() *waiter {
	class, _ := q.nextClass()
	if class == nil {
		return nil
	}
	return class.nextTenant().waiting[0]
}

// granted takes the waiter out and charges its flows for the grant.
func (q *queue) granted(w *waiter) {
	class := q.classes[w.req.Class]
	tenant := class.tenants[w.req.Tenant]
	q.virtual = max(q.virtual, class.passed)
	class.virtual = max(class.virtual, tenant.passed)
	class.passed += 1 / classWeight(w.req.Class)
	tenant.passed += 1 / w.req.weight()
	q.remove(w)
}

func (q *queue) nextClass() (*classFlow, config.Class) {
	var best *classFlow
	var name config.Class
	for class, flow := range q.classes {
		if flow.count == 0 {
			continue
		}
		if best == nil || flow.passed < best.passed || (flow.passed == best.passed && class < name) {
			best, name = flow, class
		}
	}
	return best, name
}

func (c *classFlow) nextTenant() *tenantFlow {
	var best *tenantFlow
	for name, flow := range c.tenants {
		if best == nil || flow.passed < best.passed || (flow.passed == best.passed && name < best.name) {
			best = flow
		}
	}
	return best
}

// each visits all waiters; visit must not change the queue.
func (q *queue) each(visit func(*waiter)) {
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			for _, w := range tenant.waiting {
				visit(w)
			}
		}
	}
}

// longest returns the waiter with the latest deadline of the tenant that has
// most waiting for its weight, which is the one to go when the queue is full.
func (q *queue) longest() *waiter {
	var worst *waiter
	worstShare := 0.0
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			last := tenant.waiting.latest()
			share := float64(len(tenant.waiting)) / last.req.weight()
			if share > worstShare || (share == worstShare && last.serial > worst.serial) {
				worst, worstShare = last, share
			}
		}
	}
	return worst
}

// share returns how much a tenant has waiting in a class for its weight.
func (q *queue) share(req Request) float64 {
	class := q.classes[req.Class]
	if class == nil || class.tenants[req.Tenant] == nil {
		return 0
	}
	return float64(len(class.tenants[req.Tenant].waiting)) / req.weight()
}

// ahead estimates how many are granted before a newcomer: of each other flow
// as many as its weight lets pass meanwhile, of the own tenant those with an
// earlier deadline.
func (q *queue) ahead(req Request, due time.Time) int {
	own := q.classes[req.Class]
	inClass := 0.0
	if own != nil {
		inClass = own.ahead(req, due)
	}
	sum := inClass
	for class, flow := range q.classes {
		if class != req.Class {
			passing := (inClass + 1) * classWeight(class) / classWeight(req.Class)
			sum += min(float64(flow.count), passing)
		}
	}
	return int(sum)
}

func (c *classFlow) ahead(req Request, due time.Time) float64 {
	earlier := 0.0
	if own := c.tenants[req.Tenant]; own != nil {
		for _, w := range own.waiting {
			if !w.due.After(due) {
				earlier++
			}
		}
	}
	sum := earlier
	for name, flow := range c.tenants {
		if name != req.Tenant {
			passing := (earlier + 1) * flow.waiting[0].req.weight() / req.weight()
			sum += min(float64(len(flow.waiting)), passing)
		}
	}
	return sum
}

// earliest returns the first deadline and the most urgent class waiting.
func (q *queue) earliest() (time.Time, config.Class) {
	var first time.Time
	class := config.ClassDeferrable
	for name, flow := range q.classes {
		if flow.count > 0 && name != config.ClassDeferrable {
			class = name
		}
		for _, tenant := range flow.tenants {
			if due := tenant.waiting[0].due; first.IsZero() || due.Before(first) {
				first = due
			}
		}
	}
	if flow := q.classes[config.ClassInteractive]; flow != nil && flow.count > 0 {
		class = config.ClassInteractive
	}
	return first, class
}

// deadlines is a heap of waiters, the earliest deadline first.
type deadlines []*waiter

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if d[i].due.Equal(d[j].due) {
		return d[i].serial < d[j].serial
	}
	return d[i].due.Before(d[j].due)
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

func (d *deadlines) Push(x any) {
	w := x.(*waiter)
	w.index = len(*d)
	*d = append(*d, w)
}

func (d *deadlines) Pop() any {
	old := *d
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	w.index = -1
	return w
}

func (d deadlines) latest() *waiter {
	last := d[0]
	for _, w := range d {
		if w.due.After(last.due) || (w.due.Equal(last.due) && w.serial > last.serial) {
			last = w
		}
	}
	return last
}
