package entry

import (
	"fmt"
	"net/http"
	"slices"

	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/transport/opapi"
)

// drainTargets takes a target, or with an empty name all targets of the zone,
// out of use or back into use. The owners write it into their plans, so that it
// outlives them.
func (o operations) drainTargets(p *operator.DrainPayload, name string) (*operator.DrainResult, error) {
	if name != "" && !o.listedTarget(name) {
		return nil, opapi.NewProblem("notFound", http.StatusNotFound, "unknownTarget",
			fmt.Sprintf("no target %q is listed in zone %s; ask an entry of its zone", name, o.self.Zone))
	}
	mark, state := ports.DrainBegin, "draining"
	if p.Undo {
		mark, state = ports.DrainEnd, "in use"
	}
	o.drainOwn(name, mark)
	o.tellZone(ports.TargetNews{Target: name, Drain: mark}, present)
	return &operator.DrainResult{Scope: p.Scope, Name: p.Name, State: state}, nil
}

// drainOwn hands a drain to the own shards, which pass over targets of others.
func (e *Entry) drainOwn(name string, mark ports.DrainMark) {
	undo := mark == ports.DrainEnd
	if name != "" {
		e.parts.toShards(owner.DrainTarget{Target: name, Undo: undo})
		return
	}
	for _, target := range *e.view.targets.Load() {
		e.parts.toShards(owner.DrainTarget{Target: target.ID, Undo: undo})
	}
}

func (e *Entry) listedTarget(name string) bool {
	return slices.ContainsFunc(*e.view.targets.Load(), func(t ports.Instance) bool { return t.ID == name })
}
