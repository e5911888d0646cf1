package fleet

import (
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/eras"
)

// Identity identifies one incarnation of a target. An address does not identify a target,
// since addresses are reused.
type Identity struct {
	ID string `json:"id"`
	// Born is the time at which the incarnation started, in milliseconds since the Unix
	// epoch by the target's clock.
	Born int64 `json:"born"`
}

// Target is a target's own description of itself.
type Target struct {
	Identity
	Service  string
	Addr     netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	// Remaining is the time until the target is removed, or 0 if the target states none.
	Remaining time.Duration
	// Revision is a revision of the store at which the target's entry was there.
	Revision eras.Revision
	Holding
}

// Holding lists the models that a target has loaded and those whose weights it has a copy
// of.
type Holding struct {
	Models []Loaded
	// InMemory and OnDisk are the models whose weights have a copy in the target's host
	// memory or on its disk.
	InMemory []string
	OnDisk   []string
}

// Loaded is a model that a target has loaded and serves, with its loaded adapters.
type Loaded struct {
	Model    string   `json:"model"`
	Version  int64    `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Find returns the loaded model of that name, or nil if it is not loaded.
func (h *Holding) Find(model string) *Loaded {
	for i := range h.Models {
		if h.Models[i].Model == model {
			return &h.Models[i]
		}
	}
	return nil
}

// Has reports whether the model is loaded, together with the adapter unless that is empty.
func (h *Holding) Has(model, adapter string) bool {
	m := h.Find(model)
	return m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// Report is the state that a target returns when it is polled.
type Report struct {
	Identity
	Holding
	// Orders counts the orders that the target has accepted.
	Orders int64
	// Busy reports whether the target is executing an order.
	Busy bool
	// Pending lists the adapters that are being loaded, as MODEL/NAME.
	Pending []string
	// Running and Queued are the numbers of requests at the target.
	Running int
	Queued  int
	// KVUsed and KVTotal are the used and the total size of the KV cache.
	KVUsed  int
	KVTotal int
}
