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

// Format is the version of the ledger's form in the KV service.
const Format = 2

// Store is the resource of the weight store's slots.
const Store = "store"

// Resource is one limited resource.
type Resource struct {
	// Max is the limit according to the configuration Version.
	Max     int            `json:"max"`
	Version config.Version `json:"version"`
	// Grants are the permits that each shard may hold.
	Grants map[string]int `json:"grants,omitempty"`
	// Epochs are the fencing numbers of the owners that last changed each grant.
	Epochs map[string]uint64 `json:"epochs,omitempty"`
}

// IsFenced tells whether a later owner of the shard has changed its grant. An
// owner that was replaced without knowing it would take its successor's permits
// for ones that nobody holds.
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

// Free returns how many permits can be granted.
func (r Resource) Free() int {
	return max(r.Max-r.Granted(), 0)
}

// Share returns how many permits a shard may keep, which is below its grant
// only where a lowered maximum takes permits back: one at a time from whoever
// has the most. All shards come to the same result from the same ledger, and
// to the same end when they give back in any order.
func (r Resource) Share(shard string) int {
	left := maps.Clone(r.Grants)
	for over := r.Granted() - r.Max; over > 0; over-- {
		most := ""
		for _, s := range slices.Sorted(maps.Keys(left)) {
			if most == "" || left[s] > left[most] {
				most = s
			}
		}
		left[most]--
	}
	return left[shard]
}

// Ledger is the value of one bucket.
type Ledger struct {
	Format    int                 `json:"format"`
	Nonce     string              `json:"nonce"`
	Resources map[string]Resource `json:"resources,omitempty"`
}

// Limit sets a resource's maximum unless a newer configuration already has.
func (l Ledger) Limit(resource string, maximum int, version config.Version) Ledger {
	r := l.Resources[resource]
	if r.Version > version {
		return l
	}
	r.Max, r.Version = maximum, version
	return l.with(resource, r)
}

// Grant lets a shard hold up to wanted permits and returns how many it may:
// never fewer than it was granted already, none if the owner's epoch is old.
func (l Ledger) Grant(resource, shard string, epoch uint64, wanted int) (Ledger, int) {
	r := l.Resources[resource]
	if r.IsFenced(shard, epoch) {
		return l, 0
	}
	had := r.Grants[shard]
	grant := max(had, min(wanted, had+r.Free()))
	return l.set(resource, shard, epoch, grant), grant
}

// Release lowers a shard's grant to what it holds, unless the owner's epoch is old.
func (l Ledger) Release(resource, shard string, epoch uint64, held int) Ledger {
	r := l.Resources[resource]
	if r.Grants[shard] <= held || r.IsFenced(shard, epoch) {
		return l
	}
	return l.set(resource, shard, epoch, held)
}

func (l Ledger) set(resource, shard string, epoch uint64, grant int) Ledger {
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
	return l.with(resource, r)
}

func (l Ledger) with(resource string, r Resource) Ledger {
	l.Resources = maps.Clone(l.Resources)
	if l.Resources == nil {
		l.Resources = make(map[string]Resource)
	}
	l.Resources[resource] = r
	return l
}

// Encode writes the ledger as a KV value.
func Encode(l Ledger) ([]byte, error) {
	l.Format = Format
	data, err := json.Marshal(l)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return sums.Add(data), nil
}

// Decode reads a KV value strictly, as a plan is read.
func Decode(data []byte) (Ledger, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Ledger{}, trace.BadParameter("permit ledger is damaged: %v", err)
	}
	if head.Format != Format {
		return Ledger{}, trace.BadParameter("permit ledger has format %d, this program reads %d", head.Format, Format)
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

// ShardName names a shard in the ledger.
func ShardName(zone string, shard int) string {
	return fmt.Sprintf("%s/%d", zone, shard)
}
