package relay

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// maxBatchAge is how long arrivals without a reply are kept for their receiver. A relay
// that has not replied for so long is lost, and it is unknown whether it counted them.
const maxBatchAge = 10 * time.Second

// Arrival is the number of requests for a model that have arrived.
type Arrival struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Count   int    `json:"count"`
}

// Batch is the arrivals of one message.
type Batch struct {
	// Seq is the number of the message.
	Seq      uint64    `json:"seq"`
	Arrivals []Arrival `json:"arrivals"`
}

// pending is a batch that has been sent and not been replied to.
type pending struct {
	Batch
	to   string
	sent time.Time
}

// Outbox numbers the messages of an instance and keeps the arrivals in them until the
// receiver has replied. It is not safe for concurrent use.
type Outbox struct {
	seq     uint64
	pending []pending
	// released holds arrivals that certainly nobody has counted.
	released map[modelKey]int
}

type modelKey struct{ service, model string }

// NewOutbox returns an Outbox. Its numbers begin with the time of the start in
// milliseconds, so that a restarted instance does not repeat those of its predecessor.
func NewOutbox(start time.Time) *Outbox {
	return &Outbox{seq: uint64(start.UnixMilli()), released: make(map[modelKey]int)} //nolint:gosec // after 1970
}

// Pack numbers a message with the given demand to a receiver. It returns the demand with
// the arrivals that are to be counted under this number, and the batches that the receiver
// has not replied to.
func (o *Outbox) Pack(now time.Time, to string, demand []picker.Demand) ([]picker.Demand, uint64, []Batch) {
	o.pending = slices.DeleteFunc(o.pending, func(p pending) bool { return now.Sub(p.sent) > maxBatchAge })
	demand = addArrivals(slices.Clone(demand), o.released)
	clear(o.released)
	var resent []Batch
	for _, p := range o.pending {
		if p.to == to {
			resent = append(resent, p.Batch)
		}
	}
	o.seq++
	if arrivals := arrivalsOf(demand); len(arrivals) > 0 {
		o.pending = append(o.pending, pending{Batch{o.seq, arrivals}, to, now})
	}
	return demand, o.seq, resent
}

// Ack records that a receiver has counted the arrivals up to a number.
func (o *Outbox) Ack(to string, seq uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(p pending) bool { return p.to == to && p.Seq <= seq })
}

// Release records that a receiver has certainly not counted the arrivals of a number, so
// that the next message may take them to another one.
func (o *Outbox) Release(to string, seq uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(p pending) bool {
		if p.to != to || p.Seq != seq {
			return false
		}
		for _, a := range p.Arrivals {
			o.released[modelKey{a.Service, a.Model}] += a.Count
		}
		return true
	})
}

// WithoutArrivals returns the demand without its arrivals.
func WithoutArrivals(demand []picker.Demand) []picker.Demand {
	out := slices.Clone(demand)
	for i := range out {
		out[i].Arrived = 0
	}
	return out
}

func arrivalsOf(demand []picker.Demand) []Arrival {
	var out []Arrival
	for i := range demand {
		if d := &demand[i]; d.Arrived > 0 {
			out = append(out, Arrival{d.Service, d.Model, d.Arrived})
		}
	}
	return out
}

// addArrivals adds arrivals to the demand for their models.
func addArrivals(demand []picker.Demand, arrivals map[modelKey]int) []picker.Demand {
	if len(arrivals) == 0 {
		return demand
	}
	found := make(map[modelKey]bool, len(arrivals))
	for i := range demand {
		key := modelKey{demand[i].Service, demand[i].Model}
		demand[i].Arrived += arrivals[key]
		found[key] = true
	}
	for key, n := range arrivals {
		if !found[key] && n > 0 {
			demand = append(demand, picker.Demand{Service: key.service, Model: key.model, Arrived: n})
		}
	}
	return demand
}

// Counter counts each message of one sender once.
type Counter struct{ through uint64 }

// Count returns the arrivals of a message that have not been counted. It returns false if
// the message is older than one that has been counted, so that its demand is outdated.
func (c *Counter) Count(seq uint64, demand []picker.Demand, resent []Batch) ([]Arrival, bool) {
	if seq <= c.through {
		return nil, false
	}
	out := arrivalsOf(demand)
	for _, b := range resent {
		if b.Seq > c.through {
			out = append(out, b.Arrivals...)
		}
	}
	c.through = seq
	return out, true
}

// CountInto is like Count, but returns the demand with all uncounted arrivals. A message
// without a number is taken as it is.
func (c *Counter) CountInto(seq uint64, demand []picker.Demand, resent []Batch) ([]picker.Demand, bool) {
	if seq == 0 {
		return demand, true
	}
	arrivals, ok := c.Count(seq, demand, resent)
	if !ok {
		return nil, false
	}
	return addArrivals(WithoutArrivals(demand), sumArrivals(arrivals)), true
}

func sumArrivals(arrivals []Arrival) map[modelKey]int {
	out := make(map[modelKey]int, len(arrivals))
	for _, a := range arrivals {
		out[modelKey{a.Service, a.Model}] += a.Count
	}
	return out
}
