package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Version is the number of a configuration. Version 0 is the empty configuration before any
// patch.
type Version uint64

// Class is the class of a request. It determines whether the request may be delayed,
// retried or hedged.
type Class string

// The classes of requests.
const (
	// ClassInteractive is for calls whose caller waits for the response.
	ClassInteractive Class = "interactive"
	// ClassDeferrable is for calls that may wait long but must get a response.
	ClassDeferrable Class = "deferrable"
	// ClassLookup is for idempotent calls, which may be retried and hedged.
	ClassLookup Class = "lookup"
	// ClassRunOnce is for calls that must run at most once.
	ClassRunOnce Class = "runOnce"
)

// ServiceKind is the kind of a service: model or plain.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is a service whose calls are served by model engines.
	KindModel ServiceKind = "model"
	// KindPlain is an ordinary HTTP service.
	KindPlain ServiceKind = "plain"
)

// Duration is a time.Duration that is a string such as "90s" in JSON.
type Duration time.Duration

// MarshalJSON encodes d as the string that time.Duration.String returns.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1m30s".
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

// Service is a service that callers address by its name.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Class is the class of calls that no route matches.
	Class Class `json:"class"`
	// Routes set the class of some calls of a plain service. The first match applies.
	Routes []Route `json:"routes,omitempty"`
	// Deadline is the time that a call may take if the caller sets no deadline.
	Deadline Duration `json:"deadline,omitempty"`
	// RunWithoutClaim allows run-once calls while the KV service is unavailable, although
	// no claim can then be written.
	RunWithoutClaim bool `json:"runWithoutClaim,omitempty"`
}

// Route sets the class of the calls of a plain service that match it.
type Route struct {
	// Method is an HTTP method, or empty for any.
	Method string `json:"method,omitempty"`
	// Prefix is a prefix of the request path after the service's name.
	Prefix string `json:"prefix"`
	Class  Class  `json:"class"`
}

// Model is a model that engines can load.
type Model struct {
	Service string `json:"service"`
	// Checkpoint names the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	Revision   string `json:"revision,omitempty"`
	// MemoryBytes is the accelerator memory of one replica.
	MemoryBytes uint64 `json:"memoryBytes"`
	// LoadTime is the expected time of a load from the weight store.
	LoadTime Duration `json:"loadTime,omitempty"`
	// Concurrency is the maximum number of requests that one replica batches; 0 means the
	// default.
	Concurrency int `json:"concurrency,omitempty"`
}

// Adapter is an adapter (such as LoRA weights) that is loaded on top of a model.
type Adapter struct {
	Model       string `json:"model"`
	Checkpoint  string `json:"checkpoint"`
	MemoryBytes uint64 `json:"memoryBytes"`
}

// Rule limits the number of replicas of one model in the whole deployment.
type Rule struct {
	MaxReplicas int `json:"maxReplicas"`
	MinReplicas int `json:"minReplicas,omitempty"`
	// KeepAlive is the time for which an idle replica stays loaded; 0 leaves it to the
	// policy.
	KeepAlive Duration `json:"keepAlive,omitempty"`
}

// Tenant is a customer whose calls are limited and counted together.
type Tenant struct {
	// KeyHashes are the SHA-256 hashes of the tenant's API keys in lower-case hex.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Class overrides an interactive or deferrable class of a service, if set.
	Class Class `json:"class,omitempty"`
	// RequestsPerSecond limits the rate of the tenant's calls in each zone; 0 means no
	// limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Concurrency limits the tenant's calls in flight in each zone; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// Weight is the tenant's weight under contention; 0 means the default of 1.
	Weight float64 `json:"weight,omitempty"`
}

// Config is one complete version of the configuration. It is never modified once it is
// published.
type Config struct {
	Version  Version            `json:"version"`
	Services map[string]Service `json:"services,omitempty"`
	Models   map[string]Model   `json:"models,omitempty"`
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Rules    map[string]Rule    `json:"rules,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
}

// Items holds the configuration items that a patch sets, by kind and name.
type Items struct {
	Services map[string]Service `json:"services,omitempty"`
	Models   map[string]Model   `json:"models,omitempty"`
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	Rules    map[string]Rule    `json:"rules,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
}

// Names holds the names of the configuration items that a patch removes, by kind.
type Names struct {
	Services []string `json:"services,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Rules    []string `json:"rules,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Patch is a change of the configuration from version Base to version Base+1.
type Patch struct {
	// ID identifies the patch, so that submitting it again has no further effect.
	ID     string  `json:"id"`
	Base   Version `json:"base"`
	Author string  `json:"author,omitempty"`
	Set    Items   `json:"set,omitzero"`
	Remove Names   `json:"remove,omitzero"`
}
