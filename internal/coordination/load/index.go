package load

// reuseDelay is the number of indexes that must have been released before the first of
// them is assigned again. Reports that were sent before the release may still use it.
const reuseDelay = 256

// Index numbers the targets of one term of the lease holder, beginning with 1. An index
// belongs to the same target id until the target is gone.
type Index struct {
	byID     map[string]int
	released []int
	highest  int
}

// NewIndex returns an Index without targets.
func NewIndex() *Index { return &Index{byID: make(map[string]int)} }

// Assign returns the index of a target id, and assigns one if it has none.
func (x *Index) Assign(id string) int {
	if i := x.byID[id]; i > 0 {
		return i
	}
	i := x.next()
	x.byID[id] = i
	return i
}

func (x *Index) next() int {
	if len(x.released) > reuseDelay {
		i := x.released[0]
		x.released = x.released[1:]
		return i
	}
	x.highest++
	return x.highest
}

// Release makes the index of a target that is gone available for others.
func (x *Index) Release(id string) {
	if i := x.byID[id]; i > 0 {
		delete(x.byID, id)
		x.released = append(x.released, i)
	}
}
