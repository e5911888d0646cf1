package relay

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// minDemandBytes is the least size of one model's demand, and minStringBytes that of a
// name in the table.
const (
	minDemandBytes = 10
	minStringBytes = 1
)

// AppendDemand appends demand in binary form: a table of all names, each once, and for
// each model numbers, with names as indexes of the table. A relay decodes hundreds of
// messages a second, the holder tens of them with all models, and JSON takes most of their
// time for it.
func AppendDemand(out []byte, demand []picker.Demand) []byte {
	e := encoder{index: make(map[string]uint64)}
	e.number(len(demand))
	for i := range demand {
		e.demand(&demand[i])
	}
	out = binary.AppendUvarint(out, uint64(len(e.names)))
	for _, name := range e.names {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
	}
	return append(out, e.body...)
}

type encoder struct {
	index map[string]uint64
	names []string
	body  []byte
}

func (e *encoder) demand(d *picker.Demand) {
	e.name(d.Service)
	e.name(d.Model)
	for _, n := range []int{d.Queued, int(d.LongestWaitMS), d.Limited, d.InFlight, d.Arrived} {
		e.number(n)
	}
	e.list(d.Adapters)
	e.list(d.LimitedAdapters)
	e.number(len(d.InFlightByTarget))
	for _, id := range slices.Sorted(maps.Keys(d.InFlightByTarget)) {
		e.name(id)
		e.number(d.InFlightByTarget[id])
	}
}

func (e *encoder) number(n int) {
	e.body = binary.AppendUvarint(e.body, uint64(max(n, 0)))
}

func (e *encoder) list(names []string) {
	e.number(len(names))
	for _, name := range names {
		e.name(name)
	}
}

func (e *encoder) name(s string) {
	i, known := e.index[s]
	if !known {
		i = uint64(len(e.names))
		e.index[s] = i
		e.names = append(e.names, s)
	}
	e.body = binary.AppendUvarint(e.body, i)
}

// DecodeDemand decodes what AppendDemand has appended to nothing.
func DecodeDemand(data []byte) ([]picker.Demand, error) {
	d := decoder{rest: data}
	d.names = make([]string, d.count(minStringBytes))
	for i := range d.names {
		d.names[i] = string(d.bytes(d.count(1)))
	}
	out := make([]picker.Demand, d.count(minDemandBytes))
	for i := range out {
		out[i] = d.demand()
	}
	if d.err == nil && len(d.rest) > 0 {
		d.err = trace.BadParameter("%d bytes after the demand", len(d.rest))
	}
	if d.err != nil || len(out) == 0 {
		return nil, d.err
	}
	return out, nil
}

// decoder reads from rest until the first error.
type decoder struct {
	rest  []byte
	names []string
	err   error
}

func (d *decoder) demand() picker.Demand {
	out := picker.Demand{Service: d.name(), Model: d.name()}
	out.Queued = d.number()
	out.LongestWaitMS = int64(d.number())
	out.Limited = d.number()
	out.InFlight = d.number()
	out.Arrived = d.number()
	out.Adapters = d.list()
	out.LimitedAdapters = d.list()
	n := d.count(2)
	if n == 0 {
		return out
	}
	out.InFlightByTarget = make(map[string]int, n)
	for range n {
		id := d.name()
		out.InFlightByTarget[id] = d.number()
	}
	return out
}

func (d *decoder) list() []string {
	n := d.count(1)
	if n == 0 {
		return nil
	}
	out := make([]string, n)
	for i := range out {
		out[i] = d.name()
	}
	return out
}

func (d *decoder) name() string {
	i := d.number()
	if d.err == nil && i >= len(d.names) {
		d.fail()
	}
	if d.err != nil {
		return ""
	}
	return d.names[i]
}

func (d *decoder) bytes(n int) []byte {
	if d.err != nil {
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

// count reads the number of items of at least size bytes each that follow.
func (d *decoder) count(size int) int {
	n := d.number()
	if d.err == nil && n > len(d.rest)/size {
		d.fail()
	}
	if d.err != nil {
		return 0
	}
	return n
}

func (d *decoder) number() int {
	n, size := binary.Uvarint(d.rest)
	if d.err == nil && (size <= 0 || n > 1<<40) {
		d.fail()
	}
	if d.err != nil {
		return 0
	}
	d.rest = d.rest[size:]
	return int(n) //nolint:gosec // at most 1<<40
}

func (d *decoder) fail() {
	d.err = trace.BadParameter("demand is cut or damaged %d bytes before its end", len(d.rest))
}
