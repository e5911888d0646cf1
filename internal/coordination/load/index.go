package load

// reuseDelay is the number of indexes that must have been released before the first of
// them is assigned again. Reports that were sent before the release may still use it.
const reuseDelay = 256

// Index numbers the targets of one term of the lease holder, beginning with 1. An index
// belongs to the same target id until the target is gone.
type Index struct {
	byID map[string]int
	// ids and slots hold the targets' ids and slots at the position of their indexes.
	ids      []string
	slots    []int
	released []int
	highest  int
}

// NewIndex returns an Index without targets.
func NewIndex() *Index {
	return &Index{byID: make(map[string]int), ids: make([]string, 1), slots: make([]int, 1)}
}

// Assign returns the index of a target id, and assigns one if it has none.
func (x *Index) Assign(id string, slots int) int {
	i := x.byID[id]
	if i == 0 {
		i = x.next()
		x.byID[id] = i
	}
	x.ids[i], x.slots[i] = id, slots
	return i
}

// ID returns the id of the target that last had an index, "" if there has been none.
func (x *Index) ID(index int) string {
	if index >= len(x.ids) {
		return ""
	}
	return x.ids[index]
}

// Slots returns the slots of the target with an index, 0 if there has been none.
func (x *Index) Slots(index int) int {
	if index >= len(x.slots) {
		return 0
	}
	return x.slots[index]
}

func (x *Index) next() int {
	if len(x.released) > reuseDelay {
		i := x.released[0]
		x.released = x.released[1:]
		return i
	}
	x.highest++
	x.ids, x.slots = append(x.ids, ""), append(x.slots, 0)
	return x.highest
}

// Release makes the index of a target that is gone available for others. It returns the
// index, 0 if there is none.
func (x *Index) Release(id string) int {
	i := x.byID[id]
	if i > 0 {
		delete(x.byID, id)
		x.released = append(x.released, i)
	}
	return i
}
