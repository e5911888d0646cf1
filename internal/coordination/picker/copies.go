package picker

import (
	"cmp"
	"slices"
)

// maxCopyLists limits the lists of copies that are kept.
const maxCopyLists = 4096

// copiesKey identifies the targets that a request may go to.
type copiesKey struct {
	service, model, adapter string
	// isFresh means that the lease holder's updates take precedence.
	isFresh bool
}

// copiesFor returns the targets of the request's service that serve its model and adapter,
// in the order of their ids. The list is valid until a target changes.
func (p *Picker) copiesFor(q *Request, fresh bool) []*target {
	key := copiesKey{q.Service, q.Model, q.Adapter, fresh && q.Model != ""}
	list, ok := p.copies[key]
	if ok {
		return list
	}
	for _, r := range p.targets {
		if r.Service == q.Service && (q.Model == "" || r.servesModel(q.Model, q.Adapter, fresh)) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *target) int { return cmp.Compare(x.ID, y.ID) })
	if len(p.copies) >= maxCopyLists {
		clear(p.copies)
	}
	p.copies[key] = list
	return list
}

// dropCopies forgets the lists of copies after a change of a target.
func (p *Picker) dropCopies() { clear(p.copies) }
