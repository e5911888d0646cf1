package config

import (
	"strings"

	"github.com/gravitational/trace"
)

// Index answers the questions of the request path about one configuration.
type Index struct {
	config  *Config
	tenants map[string]string
}

// NewIndex returns the index of a configuration, which must not change any more.
func NewIndex(c *Config) *Index {
	i := &Index{config: c, tenants: make(map[string]string, len(c.Tenants))}
	for name, tenant := range c.Tenants {
		for _, hash := range tenant.KeyHashes {
			i.tenants[hash] = name
		}
	}
	return i
}

// Config returns the configuration that the index is of.
func (i *Index) Config() *Config {
	return i.config
}

// Resolved is what a caller's model name stands for.
type Resolved struct {
	Service string
	Model   string
	// Adapter is empty where the caller wants the model alone.
	Adapter string
}

// Resolve finds what a caller means by "model", "model:adapter" or the name of
// an adapter alone.
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

// Tenant returns the tenant whose API key has the given lower-case hex SHA-256
// sum, and false if none has.
func (i *Index) Tenant(keyHash string) (string, Tenant, bool) {
	name, ok := i.tenants[keyHash]
	return name, i.config.Tenants[name], ok
}

// Class returns the class of a call: the first matching route's, else the
// tenant's, else the service's.
//
// A route names a property of the call, such as that it must run at most once,
// which no tenant may override; the same holds for a service that is run-once
// or a lookup as a whole. A tenant's class only chooses between waiting now and
// waiting long.
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

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return strings.HasPrefix(path, r.Prefix)
}
