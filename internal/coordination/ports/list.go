package ports

import "net/netip"

// List is the platform's list of instances, which lags behind the actual instances.
type List interface {
	// Instances reads the list and calls done exactly once, on any goroutine. It does not
	// block.
	Instances(done func([]Instance, error))
}

// InstanceKind is the kind of program that runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	// InstanceEntry is an entry of this system.
	InstanceEntry InstanceKind = "entry"
	// InstanceTarget runs a model engine.
	InstanceTarget InstanceKind = "target"
	// InstanceService runs a plain HTTP service, not a model engine.
	InstanceService InstanceKind = "service"
)

// Instance is one instance in the list.
type Instance struct {
	ID   string       `json:"id"`
	Kind InstanceKind `json:"kind"`
	// Service is the name of the model or plain service that the instance runs.
	Service string         `json:"service,omitempty"`
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Addr    netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving"`
}
