package config

import (
	"strings"

	"github.com/gravitational/trace"
)

// Index provides the lookups of the request path in one configuration.
type Index struct {
	config *Config
	// tenants maps the hashes of API keys to the names of their tenants.
	tenants map[string]string
}

// NewIndex returns the index of a configuration, which must not be modified any more.
func NewIndex(c *Config) *Index {
	i := &Index{config: c, tenants: make(map[string]string, len(c.Tenants))}
	for name, tenant := range c.Tenants {
		for _, hash := range tenant.KeyHashes {
			i.tenants[hash] = name
		}
	}
	return i
}

// Config returns the indexed configuration.
func (i *Index) Config() *Config {
	return i.config
}

// Resolved is the service, model and adapter that a caller's model name refers to.
type Resolved struct {
	Service string
	Model   string
	// Adapter is empty if the caller asked for the model without an adapter.
	Adapter string
}

// Resolve resolves a name of the form "model", "model:adapter" or "adapter". The error is
// trace.NotFound if there is no such model or adapter.
func (i *Index) Resolve(name string) (Resolved, error) {
	model, adapter, joined := strings.Cut(name, ":")
	if m, ok := i.config.Models[model]; ok {
		if !joined {
			return Resolved{Service: m.Service, Model: model}, nil
		}
		if i.config.Adapters[adapter].Model != model {
			return Resolved{}, trace.NotFound("model %q has no adapter %q", model, adapter)
		}
		return Resolved{Service: m.Service, Model: model, Adapter: adapter}, nil
	}
	a, ok := i.config.Adapters[model]
	if !ok || joined {
		return Resolved{}, trace.NotFound("no model or adapter is named %q", name)
	}
	return Resolved{Service: i.config.Models[a.Model].Service, Model: a.Model, Adapter: model}, nil
}

// Tenant returns the name and the settings of the tenant with the API key whose SHA-256
// hash in lower-case hex is given, and false if there is none.
func (i *Index) Tenant(keyHash string) (string, Tenant, bool) {
	name, ok := i.tenants[keyHash]
	return name, i.config.Tenants[name], ok
}

// Class returns the class of a call: that of the first matching route, else a run-once or
// lookup class of the service, else that of the tenant, else that of the service.
//
// The class of a route states a property of the call, such as that it must run at most once,
// so no tenant may override it. The same holds for a service whose class is run-once or
// lookup. A tenant's class only chooses between interactive and deferrable.
func (i *Index) Class(service, tenant, method, path string) Class {
	s := i.config.Services[service]
	for _, route := range s.Routes {
		if route.matches(method, path) {
			return route.Class
		}
	}
	if s.Class == ClassRunOnce || s.Class == ClassLookup {
		return s.Class
	}
	if class := i.config.Tenants[tenant].Class; class != "" {
		return class
	}
	return s.Class
}

// matches reports whether the route applies to a call.
func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return strings.HasPrefix(path, r.Prefix)
}
