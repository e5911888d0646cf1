package ports

import "net/netip"

// List is the platform's lagging list of instances.
type List interface {
	// Instances reads the list and calls done exactly once, on any goroutine;
	// it never blocks.
	Instances(done func([]Instance, error))
}

// InstanceKind says what runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	// InstanceEntry runs this system.
	InstanceEntry InstanceKind = "entry"
	// InstanceTarget runs a model engine.
	InstanceTarget InstanceKind = "target"
	// InstanceService runs a plain service.
	InstanceService InstanceKind = "service"
)

// Instance is one row of the list.
type Instance struct {
	ID   string       `json:"id"`
	Kind InstanceKind `json:"kind"`
	// Service is the model or plain service that the instance runs.
	Service string         `json:"service,omitempty"`
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Addr    netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving"`
}
