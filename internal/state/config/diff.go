package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// ChangeKind says what happened to a configuration entry.
type ChangeKind string

// The kinds of changes.
const (
	// ChangeAdded means that the entry is new.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved means that the entry is gone.
	ChangeRemoved ChangeKind = "removed"
	// ChangeChanged means that the entry has another value.
	ChangeChanged ChangeKind = "changed"
)

// Change is the difference in one entry between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the place of the entry, such as "models.menu-7b".
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String describes the change in one line.
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

// Diff returns what changed from a to b, in order of paths within each kind.
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
		changes = append(changes, change(join(kind, name), before, had, after, has))
	}
	return changes
}

// sameMap reports whether two maps are one, as patches that do not touch a kind
// leave them.
func sameMap[T any](a, b map[string]T) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

func change(path string, before any, had bool, after any, has bool) Change {
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

// Touched returns the paths that a patch sets or removes, in order.
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
