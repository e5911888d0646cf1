package place

import (
	"maps"
	"slices"
	"sort"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Phase is the state of a replica in the plan, which may lag behind that at the target.
type Phase string

// The phases of a planned replica.
const (
	// PhaseDecided means that the load is in the plan and its order may have been sent.
	PhaseDecided Phase = "decided"
	// PhaseConfirmed means that the target has reported the replica.
	PhaseConfirmed Phase = "confirmed"
	// PhaseUnloading means that the replica is being removed and may already be gone.
	PhaseUnloading Phase = "unloading"
)

// Sender identifies who sent a load order: an entry that owned the shard, and the epoch.
type Sender struct {
	Instance    string      `json:"instance"`
	Incarnation uint64      `json:"incarnation"`
	Epoch       ports.Epoch `json:"epoch"`
}

// Loads records the load orders that were prepared for a replica or an adapter.
type Loads struct {
	// Sends is the number of load orders prepared so far.
	Sends int `json:"sends,omitempty"`
	// Unresolved are the senders whose load order may still arrive at the target.
	Unresolved []Sender `json:"unresolved,omitempty"`
}

// Resolve removes the unresolved senders for which isResolved returns true and reports
// whether it removed any.
func (l *Loads) Resolve(isResolved func(Sender) bool) bool {
	before := len(l.Unresolved)
	var remaining []Sender
	for _, sender := range l.Unresolved {
		if !isResolved(sender) {
			remaining = append(remaining, sender)
		}
	}
	l.Unresolved = remaining
	return len(remaining) != before
}

// Names reports whether a load order of the sender may still arrive.
func (l *Loads) Names(sender Sender) bool {
	return slices.Contains(l.Unresolved, sender)
}

// Replica is a replica that the plan assigns to a target. Its memory counts as used.
type Replica struct {
	ID          string `json:"id"`
	Model       string `json:"model"`
	Revision    string `json:"revision,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes"`
	Concurrency int    `json:"concurrency,omitempty"`
	Phase       Phase  `json:"phase"`
	// FromStore means that the load reads from the weight store and takes a slot there.
	FromStore bool `json:"fromStore,omitempty"`
	// Adapters are the replica's adapters by name.
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Loads
}

// Charge returns the accelerator memory in bytes that the replica and its adapters take.
func (r Replica) Charge() uint64 {
	sum := r.MemoryBytes
	for _, a := range r.Adapters {
		sum += a.MemoryBytes
	}
	return sum
}

// Clone returns a deep copy.
func (r Replica) Clone() Replica {
	r.Adapters = maps.Clone(r.Adapters)
	for name, a := range r.Adapters {
		a.Unresolved = slices.Clone(a.Unresolved)
		r.Adapters[name] = a
	}
	r.Unresolved = slices.Clone(r.Unresolved)
	return r
}

// Target is the plan of one target.
type Target struct {
	// Boot identifies the run of the target's engine that has the replicas; a restarted
	// engine has another one.
	Boot string `json:"boot,omitempty"`
	// IgnoresFence is set once the target has reported that it does not check the epochs
	// of orders.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
	// Draining means that an operator is taking the target out of use.
	Draining bool      `json:"draining,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
}

// Holder is the owner of a shard, with the KV lease on which the ownership depends. An
// empty Instance means that the shard has no owner.
type Holder struct {
	Instance    string        `json:"instance,omitempty"`
	Incarnation uint64        `json:"incarnation,omitempty"`
	Lease       ports.LeaseID `json:"lease,omitempty"`
	LeaseKey    string        `json:"leaseKey,omitempty"`
}

// Plan is the value of a shard in the KV service.
type Plan struct {
	Format int    `json:"format"`
	Zone   string `json:"zone"`
	Shard  int    `json:"shard"`
	// ShardCount is the number of shards that the zone's targets are divided into.
	ShardCount int         `json:"shardCount,omitempty"`
	Epoch      ports.Epoch `json:"epoch"`
	// Nonce identifies the write, so that a writer whose reply was lost can recognise its
	// own value.
	Nonce string `json:"nonce"`
	Owner Holder `json:"owner"`
	// Permits is the number of permits that the shard holds of each resource.
	Permits map[string]int    `json:"permits,omitempty"`
	Targets map[string]Target `json:"targets,omitempty"`
}

// TargetIDs returns the IDs of the targets in ascending order.
func (p Plan) TargetIDs() []string {
	ids := make([]string, 0, len(p.Targets))
	for id := range p.Targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
