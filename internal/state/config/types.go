package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Version numbers a configuration; zero is the empty one before any patch.
type Version uint64

// Class says how a request may be treated.
type Class string

// The classes of requests.
const (
	// ClassInteractive is for callers who wait for the answer.
	ClassInteractive Class = "interactive"
	// ClassDeferrable is for work that may wait long but must be answered.
	ClassDeferrable Class = "deferrable"
	// ClassLookup is for idempotent calls, which may be retried and hedged.
	ClassLookup Class = "lookup"
	// ClassRunOnce is for calls that must run at most once.
	ClassRunOnce Class = "runOnce"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is served by model engines.
	KindModel ServiceKind = "model"
	// KindPlain is an ordinary HTTP service.
	KindPlain ServiceKind = "plain"
)

// Duration is a time.Duration written as text, such as "90s", in JSON.
type Duration time.Duration

// MarshalJSON writes d in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration such as "1m30s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf(`a duration is text such as "90s", not %s`, data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`a duration is text such as "90s", not %q`, s)
	}
	*d = Duration(v)
	return nil
}

// Service is something that callers address.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Class is the class of calls that no route matches.
	Class Class `json:"class"`
	// Routes give a class to some calls of a plain service; the first match counts.
	Routes []Route `json:"routes,omitempty"`
	// Deadline is how long a caller waits who names no deadline.
	Deadline Duration `json:"deadline,omitempty"`
	// RunWithoutClaim lets run-once calls through while the KV service is down.
	RunWithoutClaim bool `json:"runWithoutClaim,omitempty"`
}

// Route gives a class to the calls of a plain service that it matches.
type Route struct {
	// Method is an HTTP method, or empty for any.
	Method string `json:"method,omitempty"`
	// Prefix is the beginning of the path below the service.
	Prefix string `json:"prefix"`
	Class  Class  `json:"class"`
}

// Model is something that engines can load.
type Model struct {
	Service string `json:"service"`
	// Checkpoint names the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	Revision   string `json:"revision,omitempty"`
	// MemoryBytes is the accelerator memory of one replica.
	MemoryBytes uint64 `json:"memoryBytes"`
	// LoadTime is the expected time of a load from the weight store.
	LoadTime Duration `json:"loadTime,omitempty"`
	// Concurrency is the number of requests that one replica batches, 0 for the default.
	Concurrency int `json:"concurrency,omitempty"`
}

// Adapter is a small addition to a model.
type Adapter struct {
	Model       string `json:"model"`
	Checkpoint  string `json:"checkpoint"`
	MemoryBytes uint64 `json:"memoryBytes"`
}

// Rule bounds the replicas of one model over the whole deployment.
type Rule struct {
	MaxReplicas int `json:"maxReplicas"`
	MinReplicas int `json:"minReplicas,omitempty"`
	// KeepAlive is how long a replica stays loaded with nothing to do, 0 to let the policy decide.
	KeepAlive Duration `json:"keepAlive,omitempty"`
}

// Tenant is a customer whose calls are limited and counted together.
type Tenant struct {
	// KeyHashes are the lower-case hex SHA-256 sums of the tenant's API keys.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Class overrides the service's class where it is set.
	Class Class `json:"class,omitempty"`
	// RequestsPerSecond limits the tenant in a zone; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Concurrency limits the tenant's calls in flight in a zone; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// Weight is the tenant's share under contention, 0 for the default of 1.
	Weight float64 `json:"weight,omitempty"`
}

// Config is one whole configuration; a published one is never changed in place.
type Config struct {
	Version  Version            `json:"version"`
	Services map[string]Service `json:"services,omitempty"`
	Models   map[string]Model   `json:"models,omitempty"`
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Rules    map[string]Rule    `json:"rules,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
}

// Items are configuration entries by kind and name, as a patch sets them.
type Items struct {
	Services map[string]Service `json:"services,omitempty"`
	Models   map[string]Model   `json:"models,omitempty"`
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Rules    map[string]Rule    `json:"rules,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
}

// Names are configuration entries by kind, as a patch removes them.
type Names struct {
	Services []string `json:"services,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Rules    []string `json:"rules,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Patch leads from version Base to version Base+1.
type Patch struct {
	// ID makes a repeated patch idempotent.
	ID     string  `json:"id"`
	Base   Version `json:"base"`
	Author string  `json:"author,omitempty"`
	Set    Items   `json:"set,omitzero"`
	Remove Names   `json:"remove,omitzero"`
}
