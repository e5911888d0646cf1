package front

import (
	"strings"
	"sync/atomic"

	"chivecroft.example/chivecroft/internal/state/config"
)

// directory answers the questions of a request about one configuration.
type directory struct {
	*config.Index
	config *config.Config
}

func newDirectory(c *config.Config) *directory {
	return &directory{Index: config.NewIndex(c), config: c}
}

// directories keeps the directory of the configuration seen last.
type directories struct {
	latest atomic.Pointer[directory]
}

func (d *directories) of(c *config.Config) *directory {
	if latest := d.latest.Load(); latest != nil && latest.config == c {
		return latest
	}
	fresh := newDirectory(c)
	d.latest.Store(fresh)
	return fresh
}

// address is what a caller's model name stands for.
type address struct {
	service string
	model   string
	adapter string
}

// resolve finds what a caller means by "model", "model:adapter" or the name of
// an adapter alone.
func (d *directory) resolve(name string) (address, *Problem) {
	base, adapter, joined := strings.Cut(name, ":")
	if model, ok := d.config.Models[base]; ok {
		if problem := d.checkAdapter(base, adapter, joined); problem != nil {
			return address{}, problem
		}
		return address{service: model.Service, model: base, adapter: adapter}, nil
	}
	if alone, ok := d.config.Adapters[name]; ok {
		return address{service: d.config.Models[alone.Model].Service, model: alone.Model, adapter: name}, nil
	}
	return address{}, refuse(404, reasonUnknownModel, "no model is named "+quote(base))
}

func (d *directory) checkAdapter(model, adapter string, named bool) *Problem {
	if !named {
		return nil
	}
	found, ok := d.config.Adapters[adapter]
	if !ok {
		return refuse(404, reasonUnknownAdapter, "no adapter is named "+quote(adapter))
	}
	if found.Model != model {
		return refuse(400, reasonOtherAdapter, "adapter "+quote(adapter)+" belongs to model "+quote(found.Model))
	}
	return nil
}

// class returns the class of a call.
func (d *directory) class(service, tenant, method, path string) config.Class {
	if class := d.Class(service, tenant, method, path); class != "" {
		return class
	}
	return config.ClassInteractive
}
