package place

import (
	"maps"
	"slices"
	"sort"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Phase is where a planned replica stands.
type Phase string

// The phases of a planned replica.
const (
	// PhaseDecided means that the load is written and may have been ordered.
	PhaseDecided Phase = "decided"
	// PhaseConfirmed means that the target has shown the replica.
	PhaseConfirmed Phase = "confirmed"
	// PhaseUnloading means that the replica is to go and may have gone.
	PhaseUnloading Phase = "unloading"
)

// Sender is the entry that owned the shard during one epoch.
type Sender struct {
	Instance    string      `json:"instance"`
	Incarnation uint64      `json:"incarnation"`
	Epoch       ports.Epoch `json:"epoch"`
}

// Loads tells which load orders were prepared for a replica or an adapter.
type Loads struct {
	// Sends counts the load orders that were ever prepared.
	Sends int `json:"sends,omitempty"`
	// Unresolved names the senders whose load order may still arrive.
	Unresolved []Sender `json:"unresolved,omitempty"`
}

// Resolve strikes out senders and returns whether there were any.
func (l *Loads) Resolve(which func(Sender) bool) bool {
	before := len(l.Unresolved)
	var left []Sender
	for _, sender := range l.Unresolved {
		if !which(sender) {
			left = append(left, sender)
		}
	}
	l.Unresolved = left
	return len(left) != before
}

// Names tells whether a sender's load order may still arrive.
func (l *Loads) Names(sender Sender) bool {
	return slices.Contains(l.Unresolved, sender)
}

// Replica is a replica that was decided and is charged.
type Replica struct {
	ID          string `json:"id"`
	Model       string `json:"model"`
	Revision    string `json:"revision,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes"`
	Concurrency int    `json:"concurrency,omitempty"`
	Phase       Phase  `json:"phase"`
	// FromStore means that the load takes a slot of the weight store.
	FromStore bool `json:"fromStore,omitempty"`
	// Adapters are the charged adapters.
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Loads
}

// Charge returns the accelerator memory that the replica is charged with.
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
	// Boot is the engine's incarnation that the replicas are on.
	Boot string `json:"boot,omitempty"`
	// IgnoresFence is set once the target has said that it does not check fencing.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
	// Draining means that an operator takes the target out of use.
	Draining bool      `json:"draining,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
}

// Holder is the entry that owns a shard, with the lease that its ownership
// hangs on; an empty Instance means that nobody does.
type Holder struct {
	Instance    string        `json:"instance,omitempty"`
	Incarnation uint64        `json:"incarnation,omitempty"`
	Lease       ports.LeaseID `json:"lease,omitempty"`
	LeaseKey    string        `json:"leaseKey,omitempty"`
}

// Plan is the value of a shard.
type Plan struct {
	Format int    `json:"format"`
	Zone   string `json:"zone"`
	Shard  int    `json:"shard"`
	// ShardCount is the number of shards that the zone's targets are divided into.
	ShardCount int         `json:"shardCount,omitempty"`
	Epoch      ports.Epoch `json:"epoch"`
	// Nonce names the write, so that a writer recognises its own.
	Nonce string `json:"nonce"`
	Owner Holder `json:"owner"`
	// Permits are those that the shard holds, by resource.
	Permits map[string]int    `json:"permits,omitempty"`
	Targets map[string]Target `json:"targets,omitempty"`
}

// TargetIDs returns the targets in order.
func (p Plan) TargetIDs() []string {
	ids := make([]string, 0, len(p.Targets))
	for id := range p.Targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
