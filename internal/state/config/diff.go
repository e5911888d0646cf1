package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// ChangeKind is the kind of a change of a configuration item.
type ChangeKind string

// The kinds of changes.
const (
	// ChangeAdded means that the item is new.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved means that the item has been removed.
	ChangeRemoved ChangeKind = "removed"
	// ChangeChanged means that the item has a different value.
	ChangeChanged ChangeKind = "changed"
)

// Change is the difference in one item between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the path of the item, such as "models.menu-7b".
	Path string `json:"path"`
	// Before and After are the values of the item as JSON, nil if it did not exist.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns a description of the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("added %s %s", c.Path, c.After)
	case ChangeRemoved:
		return fmt.Sprintf("removed %s %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("changed %s %s to %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the changes from a to b, sorted by name within each kind of item.
func Diff(a, b *Config) []Change {
	var changes []Change
	changes = diffKind(changes, "services", a.Services, b.Services)
	changes = diffKind(changes, "models", a.Models, b.Models)
	changes = diffKind(changes, "adapters", a.Adapters, b.Adapters)
	changes = diffKind(changes, "rules", a.Rules, b.Rules)
	changes = diffKind(changes, "tenants", a.Tenants, b.Tenants)
	return changes
}

func diffKind[T any](changes []Change, kind string, a, b map[string]T) []Change {
	if sameMap(a, b) {
		return changes
	}
	names := make(map[string]struct{}, len(a)+len(b))
	for name := range a {
		names[name] = struct{}{}
	}
	for name := range b {
		names[name] = struct{}{}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := a[name]
		after, has := b[name]
		if had && has && reflect.DeepEqual(before, after) {
			continue
		}
		changes = append(changes, newChange(join(kind, name), before, had, after, has))
	}
	return changes
}

// sameMap reports whether a and b are the same map. A patch that does not change a kind of
// item leaves its map shared, so that Diff can skip it.
func sameMap[T any](a, b map[string]T) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

// newChange returns the change of one item. had and has report whether it existed before
// and after the change.
func newChange(path string, before any, had bool, after any, has bool) Change {
	c := Change{Kind: ChangeChanged, Path: path}
	if had {
		c.Before, _ = json.Marshal(before)
	} else {
		c.Kind = ChangeAdded
	}
	if has {
		c.After, _ = json.Marshal(after)
	} else {
		c.Kind = ChangeRemoved
	}
	return c
}

// Touched returns the sorted paths of the items that a patch sets or removes.
func Touched(p Patch) []string {
	var paths []string
	paths = touchedKind(paths, "services", p.Set.Services, p.Remove.Services)
	paths = touchedKind(paths, "models", p.Set.Models, p.Remove.Models)
	paths = touchedKind(paths, "adapters", p.Set.Adapters, p.Remove.Adapters)
	paths = touchedKind(paths, "rules", p.Set.Rules, p.Remove.Rules)
	paths = touchedKind(paths, "tenants", p.Set.Tenants, p.Remove.Tenants)
	slices.Sort(paths)
	return paths
}

func touchedKind[T any](paths []string, kind string, set map[string]T, remove []string) []string {
	for name := range set {
		paths = append(paths, join(kind, name))
	}
	for _, name := range remove {
		paths = append(paths, join(kind, name))
	}
	return paths
}
