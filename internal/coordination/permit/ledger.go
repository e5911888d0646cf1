package permit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/sums"
)

// Format is the version of the ledger's JSON format in the KV service.
const Format = 2

// Store is the resource name of the weight store's slots.
const Store = "store"

// Resource is the ledger's record of one limited resource.
type Resource struct {
	// Max is the maximum according to the configuration with the number Version.
	Max     int            `json:"max"`
	Version config.Version `json:"version"`
	// Grants are the permits that each shard may hold, by ShardName.
	Grants map[string]int `json:"grants,omitempty"`
	// Epochs are the epochs of the owners that last changed each grant, by ShardName.
	Epochs map[string]uint64 `json:"epochs,omitempty"`
}

// IsFenced reports whether a later owner of the shard has changed its grant. Without this
// check, an owner that was replaced without knowing it would release its successor's
// permits as unused.
func (r Resource) IsFenced(shard string, epoch uint64) bool {
	return r.Epochs[shard] > epoch
}

// Granted returns the sum of all grants.
func (r Resource) Granted() int {
	sum := 0
	for _, n := range r.Grants {
		sum += n
	}
	return sum
}

// Free returns how many permits can still be granted.
func (r Resource) Free() int {
	return max(r.Max-r.Granted(), 0)
}

// Share returns how many permits a shard may keep. This is below its grant only if a
// lowered maximum requires shards to give permits back: one at a time from the shard that
// has the most, and from the first by name among equals. All shards compute the same
// result from the same ledger, and end at the same result when they release in any order.
func (r Resource) Share(shard string) int {
	remaining := maps.Clone(r.Grants)
	for excess := r.Granted() - r.Max; excess > 0; excess-- {
		largest := ""
		for _, name := range slices.Sorted(maps.Keys(remaining)) {
			if largest == "" || remaining[name] > remaining[largest] {
				largest = name
			}
		}
		remaining[largest]--
	}
	return remaining[shard]
}

// Ledger is the value of one bucket.
type Ledger struct {
	Format    int                 `json:"format"`
	Nonce     string              `json:"nonce"`
	Resources map[string]Resource `json:"resources,omitempty"`
}

// Limit sets a resource's maximum unless a newer configuration has already set it.
func (l Ledger) Limit(resource string, maximum int, version config.Version) Ledger {
	r := l.Resources[resource]
	if r.Version > version {
		return l
	}
	r.Max, r.Version = maximum, version
	return l.withResource(resource, r)
}

// Grant lets a shard hold up to wanted permits and returns how many it may hold. This is
// never fewer than it was granted already, and 0 if the owner's epoch is outdated.
func (l Ledger) Grant(resource, shard string, epoch uint64, wanted int) (Ledger, int) {
	r := l.Resources[resource]
	if r.IsFenced(shard, epoch) {
		return l, 0
	}
	had := r.Grants[shard]
	grant := max(had, min(wanted, had+r.Free()))
	return l.withGrant(resource, shard, epoch, grant), grant
}

// Release lowers a shard's grant to the number that it holds, unless the owner's epoch is
// outdated.
func (l Ledger) Release(resource, shard string, epoch uint64, held int) Ledger {
	r := l.Resources[resource]
	if r.Grants[shard] <= held || r.IsFenced(shard, epoch) {
		return l
	}
	return l.withGrant(resource, shard, epoch, held)
}

func (l Ledger) withGrant(resource, shard string, epoch uint64, grant int) Ledger {
	r := l.Resources[resource]
	r.Grants = maps.Clone(r.Grants)
	if r.Grants == nil {
		r.Grants = make(map[string]int)
	}
	r.Epochs = maps.Clone(r.Epochs)
	if r.Epochs == nil {
		r.Epochs = make(map[string]uint64)
	}
	r.Grants[shard], r.Epochs[shard] = grant, epoch
	if grant == 0 {
		delete(r.Grants, shard)
		delete(r.Epochs, shard)
	}
	return l.withResource(resource, r)
}

func (l Ledger) withResource(resource string, r Resource) Ledger {
	l.Resources = maps.Clone(l.Resources)
	if l.Resources == nil {
		l.Resources = make(map[string]Resource)
	}
	l.Resources[resource] = r
	return l
}

// Encode returns the ledger as a KV value: JSON with a checksum.
func Encode(l Ledger) ([]byte, error) {
	l.Format = Format
	data, err := json.Marshal(l)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return sums.Add(data), nil
}

// Decode reads a KV value. It rejects other formats, unknown fields and a wrong checksum,
// because writing back a value that was not fully understood could lose data.
func Decode(data []byte) (Ledger, error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return Ledger{}, trace.BadParameter("permit ledger is damaged: %v", err)
	}
	if header.Format != Format {
		return Ledger{}, trace.BadParameter("permit ledger has format %d, this program reads %d", header.Format, Format)
	}
	ledger, err := sums.Strip(data)
	if err != nil {
		return Ledger{}, trace.BadParameter("permit ledger is damaged: %v", err)
	}
	var l Ledger
	d := json.NewDecoder(bytes.NewReader(ledger))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return Ledger{}, trace.BadParameter("permit ledger is damaged: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Ledger{}, trace.BadParameter("permit ledger is damaged: data after the end")
	}
	return l, trace.Wrap(l.check())
}

func (l Ledger) check() error {
	for name, r := range l.Resources {
		for shard, n := range r.Grants {
			if n < 0 {
				return trace.BadParameter("permit ledger is damaged: %s grants %d to %s", name, n, shard)
			}
		}
	}
	return nil
}

// ShardName returns the name of a shard in the ledger.
func ShardName(zone string, shard int) string {
	return fmt.Sprintf("%s/%d", zone, shard)
}
