package crash

import (
	"slices"
	"strings"
)

// Part is the ID of one part of a prompt.
type Part string

// Request is what a request may have in common with others: the service and model that
// it is for, and the parts of its prompt that other requests may share.
type Request struct {
	Service string
	Model   string
	Adapter string
	Parts   []Part
}

// Scope is the models for which a part is meant: all of them if it is empty, one model
// with all of its adapters, or one adapter, written MODEL/ADAPTER.
type Scope string

// scopes returns the scopes that a request is in, the widest first.
func (r *Request) scopes() []Scope {
	out := []Scope{""}
	if r.Model != "" {
		out = append(out, Scope(r.Model))
	}
	if r.Adapter != "" {
		out = append(out, Scope(r.Model+"/"+r.Adapter))
	}
	return out
}

// Subject is one part of the prompts for a service, for the models of a scope. It is what
// is accused and proved.
type Subject struct {
	Service string `json:"service"`
	Part    Part   `json:"part"`
	Scope   Scope  `json:"scope,omitempty"`
}

// subjects returns the subjects of parts of a request.
func (r *Request) subjects(parts []Part) []Subject {
	scopes := r.scopes()
	out := make([]Subject, 0, len(parts)*len(scopes))
	for _, part := range parts {
		for _, scope := range scopes {
			out = append(out, Subject{r.Service, part, scope})
		}
	}
	return out
}

// BlockKey identifies what is blocked: the requests for a service, in a scope, whose
// prompt has all of the parts. Usually that is one part. Several are parts that no request
// has told apart yet.
type BlockKey struct {
	Service string `json:"service"`
	Scope   Scope  `json:"scope,omitempty"`
	// Parts holds the IDs in ascending order, separated by commas.
	Parts string `json:"parts"`
}

func newBlockKey(service string, scope Scope, parts []Part) BlockKey {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	slices.Sort(names)
	return BlockKey{service, scope, strings.Join(names, ",")}
}

// parts returns the parts as a list.
func (k BlockKey) parts() []Part {
	var out []Part
	for name := range strings.SplitSeq(k.Parts, ",") {
		out = append(out, Part(name))
	}
	return out
}

// covers reports whether the block of k applies to a request.
func (k BlockKey) covers(r *Request) bool {
	if k.Service != r.Service || !slices.Contains(r.scopes(), k.Scope) {
		return false
	}
	return !slices.ContainsFunc(k.parts(), func(p Part) bool { return !slices.Contains(r.Parts, p) })
}

// includes reports whether k applies to every request that o applies to.
func (k BlockKey) includes(o BlockKey) bool {
	if k.Service != o.Service {
		return false
	}
	if k.Scope != "" && k.Scope != o.Scope && !strings.HasPrefix(string(o.Scope), string(k.Scope)+"/") {
		return false
	}
	others := o.parts()
	return !slices.ContainsFunc(k.parts(), func(p Part) bool { return !slices.Contains(others, p) })
}
