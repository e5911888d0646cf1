package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Identity names one incarnation of a target; an address alone names nothing,
// since addresses are used again.
type Identity struct {
	ID string `json:"id"`
	// Born is the start of the incarnation in milliseconds of the Unix epoch, by
	// the target's clock.
	Born int64 `json:"born"`
}

// Target is one target as it describes itself.
type Target struct {
	Identity
	Service  string
	Addr     netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	// Remaining is the time until the target is taken away, 0 if none is said.
	Remaining time.Duration
	Holding
}

// Holding is what a target has of models.
type Holding struct {
	Models []Loaded
	// InMemory and OnDisk are the models with copies of the weights there.
	InMemory []string
	OnDisk   []string
}

// Loaded is a model that serves requests.
type Loaded struct {
	Model    string   `json:"model"`
	Version  int64    `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Find returns the loaded model of that name, nil if it is not there.
func (h *Holding) Find(model string) *Loaded {
	for i := range h.Models {
		if h.Models[i].Model == model {
			return &h.Models[i]
		}
	}
	return nil
}

// Has tells whether a model and, unless it is empty, an adapter are there.
func (h *Holding) Has(model, adapter string) bool {
	m := h.Find(model)
	return m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// Report is a target's answer to a question about its state.
type Report struct {
	Identity
	Holding
	// Orders counts the orders that the target has accepted.
	Orders int64
	// Busy tells that an order is being carried out.
	Busy bool
	// Pending lists the adapters on their way, as MODEL/NAME.
	Pending []string
	Running int
	Queued  int
	KVUsed  int
	KVTotal int
}
