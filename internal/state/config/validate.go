package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Bounds of names and texts.
const (
	maxNameBytes       = 128
	maxCheckpointBytes = 512
	maxAuthorBytes     = 256
)

// namePattern is what may stand in a URL path and in a KV key without escaping;
// the colon is left out because it joins a model and an adapter.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

const acceptedName = "a name has up to 128 letters, digits, '.', '_' or '-' and begins with a letter or digit"

// validator collects every fault of a patch.
type validator struct {
	before, after *Config
	patch         Patch
	faults        []Fault
	warnings      []Warning
}

func (v *validator) run() {
	v.envelope()
	v.removals()
	eachSorted(v.patch.Set.Services, "set.services", v.service)
	eachSorted(v.patch.Set.Models, "set.models", v.model)
	eachSorted(v.patch.Set.Adapters, "set.adapters", v.adapter)
	eachSorted(v.patch.Set.Rules, "set.rules", v.rule)
	eachSorted(v.patch.Set.Tenants, "set.tenants", v.tenant)
	v.dangling()
	v.sharedKeys()
}

// eachSorted calls check for each item in order of names, so that equal patches
// give equal reports.
func eachSorted[T any](items map[string]T, path string, check func(name, path string, item T)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		check(name, join(path, name), items[name])
	}
}

func (v *validator) fault(kind FaultKind, path, value, accepted string) {
	v.faults = append(v.faults, Fault{Kind: kind, Path: path, Value: shown(value), Accepted: accepted})
}

func (v *validator) warn(path, text string) {
	v.warnings = append(v.warnings, Warning{Path: path, Text: text})
}

func (v *validator) envelope() {
	p := v.patch
	v.name("id", p.ID)
	if len(p.Author) > maxAuthorBytes {
		v.fault(FaultValue, "author", p.Author, fmt.Sprintf("at most %d bytes", maxAuthorBytes))
	}
	if p.Base != v.before.Version {
		v.fault(FaultBase, "base", fmt.Sprint(p.Base), fmt.Sprintf("the base must be the current version %d", v.before.Version))
	}
	if n := encodedBytes(p); n > MaxPatchBytes {
		v.fault(FaultTooLarge, "", fmt.Sprintf("%d bytes", n), fmt.Sprintf("at most %d bytes; split the patch", MaxPatchBytes))
	}
}

func (v *validator) name(path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.fault(FaultName, path, fmt.Sprintf("%q", name), acceptedName)
	}
}

func (v *validator) removals() {
	p, c := v.patch, v.before
	removalsOf(v, "services", p.Remove.Services, c.Services, p.Set.Services)
	removalsOf(v, "models", p.Remove.Models, c.Models, p.Set.Models)
	removalsOf(v, "adapters", p.Remove.Adapters, c.Adapters, p.Set.Adapters)
	removalsOf(v, "rules", p.Remove.Rules, c.Rules, p.Set.Rules)
	removalsOf(v, "tenants", p.Remove.Tenants, c.Tenants, p.Set.Tenants)
}

func removalsOf[T any](v *validator, kind string, names []string, old, set map[string]T) {
	seen := make(map[string]bool)
	for i, name := range names {
		path := fmt.Sprintf("remove.%s[%d]", kind, i)
		_, exists := old[name]
		_, alsoSet := set[name]
		switch {
		case seen[name]:
			v.fault(FaultDuplicateKey, path, name, "the name is given twice")
		case alsoSet:
			v.fault(FaultValue, path, name, "a patch either sets or removes a name")
		case !exists:
			v.fault(FaultReference, path, name, "no such entry in "+kind)
		}
		seen[name] = true
	}
}

func (v *validator) service(name, path string, s Service) {
	v.name(path, name)
	v.kind(join(path, "kind"), s.Kind)
	v.class(join(path, "class"), s.Class)
	v.duration(join(path, "deadline"), s.Deadline)
	runsOnce := s.Class == ClassRunOnce
	for i, route := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		v.class(join(at, "class"), route.Class)
		if !strings.HasPrefix(route.Prefix, "/") {
			v.fault(FaultValue, join(at, "prefix"), fmt.Sprintf("%q", route.Prefix), `a path prefix begins with "/"`)
		}
		if route.Method != strings.ToUpper(route.Method) {
			v.fault(FaultValue, join(at, "method"), route.Method, "an HTTP method in capital letters, or nothing for any")
		}
		runsOnce = runsOnce || route.Class == ClassRunOnce
	}
	if s.Kind == KindModel && len(s.Routes) > 0 {
		v.fault(FaultValue, join(path, "routes"), "", "only a plain service has routes")
	}
	if s.RunWithoutClaim && !runsOnce {
		v.warn(join(path, "runWithoutClaim"), "has no effect: no call of the service is of class runOnce")
	}
}

func (v *validator) kind(path string, k ServiceKind) {
	switch k {
	case KindModel, KindPlain:
	default:
		v.fault(FaultValue, path, fmt.Sprintf("%q", k), `"model" or "plain"`)
	}
}

func (v *validator) class(path string, c Class) {
	switch c {
	case ClassInteractive, ClassDeferrable, ClassLookup, ClassRunOnce:
	default:
		v.fault(FaultValue, path, fmt.Sprintf("%q", c), `"interactive", "deferrable", "lookup" or "runOnce"`)
	}
}

func (v *validator) duration(path string, d Duration) {
	if d < 0 {
		text, _ := d.MarshalJSON()
		v.fault(FaultValue, path, string(text), "a duration of at least 0")
	}
}

func (v *validator) checkpoint(path, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > maxCheckpointBytes {
		v.fault(FaultValue, path, fmt.Sprintf("%q", checkpoint), fmt.Sprintf("the name of a checkpoint of 1 to %d bytes", maxCheckpointBytes))
	}
}

func (v *validator) memory(path string, n uint64) {
	if n == 0 {
		v.fault(FaultValue, path, "0", "the accelerator memory in bytes, more than 0")
	}
}

func (v *validator) count(path string, n int) {
	if n < 0 {
		v.fault(FaultValue, path, fmt.Sprint(n), "a whole number of at least 0")
	}
}

func (v *validator) model(name, path string, m Model) {
	v.name(path, name)
	v.checkpoint(join(path, "checkpoint"), m.Checkpoint)
	v.memory(join(path, "memoryBytes"), m.MemoryBytes)
	v.duration(join(path, "loadTime"), m.LoadTime)
	v.count(join(path, "concurrency"), m.Concurrency)
	if m.Revision != "" {
		v.name(join(path, "revision"), m.Revision)
	}
	if _, clash := v.after.Adapters[name]; clash {
		v.fault(FaultName, path, name, "an adapter has this name, and callers could not tell them apart")
	}
	if _, ok := v.after.Services[m.Service]; !ok {
		v.fault(FaultReference, join(path, "service"), fmt.Sprintf("%q", m.Service), "the name of a model service")
	}
	if _, ok := v.after.Rules[name]; !ok {
		v.warn(path, "the model has no rule, so no replica of it may be loaded")
	}
}

func (v *validator) adapter(name, path string, a Adapter) {
	v.name(path, name)
	v.checkpoint(join(path, "checkpoint"), a.Checkpoint)
	v.memory(join(path, "memoryBytes"), a.MemoryBytes)
	if _, clash := v.after.Models[name]; clash {
		if _, reported := v.patch.Set.Models[name]; !reported {
			v.fault(FaultName, path, name, "a model has this name, and callers could not tell them apart")
		}
	}
	if _, ok := v.after.Models[a.Model]; !ok {
		v.fault(FaultReference, join(path, "model"), fmt.Sprintf("%q", a.Model), "the name of a model")
	}
}

func (v *validator) rule(name, path string, r Rule) {
	v.count(join(path, "maxReplicas"), r.MaxReplicas)
	v.count(join(path, "minReplicas"), r.MinReplicas)
	v.duration(join(path, "keepAlive"), r.KeepAlive)
	if r.MinReplicas > r.MaxReplicas {
		v.fault(FaultRule, join(path, "minReplicas"), fmt.Sprint(r.MinReplicas),
			fmt.Sprintf("at most maxReplicas, which is %d", r.MaxReplicas))
	}
	if _, ok := v.after.Models[name]; !ok {
		v.fault(FaultReference, path, name, "a rule has the name of a model")
	}
	old, had := v.before.Rules[name]
	if had && r.MaxReplicas < old.MaxReplicas {
		v.warn(join(path, "maxReplicas"), fmt.Sprintf(
			"lowered from %d to %d: replicas above the new maximum finish their requests and are unloaded", old.MaxReplicas, r.MaxReplicas))
	}
}

func (v *validator) tenant(name, path string, t Tenant) {
	v.name(path, name)
	switch t.Class {
	case "", ClassInteractive, ClassDeferrable:
	default:
		v.fault(FaultValue, join(path, "class"), fmt.Sprintf("%q", t.Class),
			`"interactive" or "deferrable"; whether a call may be repeated is for its service to say`)
	}
	v.rate(join(path, "requestsPerSecond"), t.RequestsPerSecond)
	v.rate(join(path, "weight"), t.Weight)
	v.count(join(path, "concurrency"), t.Concurrency)
	for i, hash := range t.KeyHashes {
		if !keyHashPattern.MatchString(hash) {
			v.fault(FaultValue, fmt.Sprintf("%s.keyHashes[%d]", path, i), hash, "64 lower-case hex digits, the SHA-256 sum of a key")
		}
	}
	if len(t.KeyHashes) == 0 {
		v.warn(path, "the tenant has no keys, so nobody can call under its name")
	}
}

func (v *validator) rate(path string, f float64) {
	if f < 0 || math.IsNaN(f) || math.IsInf(f, 0) {
		v.fault(FaultValue, path, fmt.Sprint(f), "a number of at least 0")
	}
}

// dangling reports what the patch leaves without the entry that it refers to.
//
// Entries that the patch sets have been checked already; here it is the others,
// whose model or service is removed or turns plain.
func (v *validator) dangling() {
	eachSorted(v.after.Models, "models", func(name, _ string, m Model) {
		s, ok := v.after.Services[m.Service]
		_, set := v.patch.Set.Models[name]
		switch {
		case !ok && !set:
			v.inUse("services", m.Service, "model", name)
		case ok && s.Kind == KindPlain:
			v.plainService(m.Service, name, set)
		}
	})
	if len(v.patch.Remove.Models) == 0 {
		return
	}
	eachSorted(v.after.Adapters, "adapters", func(name, _ string, a Adapter) {
		_, ok := v.after.Models[a.Model]
		_, set := v.patch.Set.Adapters[name]
		if !ok && !set {
			v.inUse("models", a.Model, "adapter", name)
		}
	})
	eachSorted(v.after.Rules, "rules", func(name, _ string, _ Rule) {
		_, ok := v.after.Models[name]
		_, set := v.patch.Set.Rules[name]
		if !ok && !set {
			v.inUse("models", name, "rule", name)
		}
	})
}

func (v *validator) inUse(kind, name, userKind, user string) {
	v.fault(FaultInUse, "remove."+kind, name, fmt.Sprintf("%s %q refers to it; change or remove that in the same patch", userKind, user))
}

func (v *validator) plainService(service, model string, modelSet bool) {
	if modelSet {
		v.fault(FaultReference, "set.models."+model+".service", fmt.Sprintf("%q", service), "the service is plain; a model belongs to a model service")
		return
	}
	v.fault(FaultInUse, "set.services."+service+".kind", `"plain"`, fmt.Sprintf("model %q belongs to the service", model))
}

// sharedKeys reports API keys that two tenants, or one tenant twice, would have.
func (v *validator) sharedKeys() {
	if len(v.patch.Set.Tenants) == 0 {
		return
	}
	owners := make(map[string]string)
	for _, name := range v.tenantsInOrder() {
		for i, hash := range v.after.Tenants[name].KeyHashes {
			owner, taken := owners[hash]
			if !taken {
				owners[hash] = name
				continue
			}
			v.fault(FaultValue, fmt.Sprintf("set.tenants.%s.keyHashes[%d]", name, i), hash, fmt.Sprintf("tenant %q has this key already", owner))
		}
	}
}

// tenantsInOrder returns the tenants that the patch leaves alone before those
// that it sets, so that a clash is reported at what the patch brings.
func (v *validator) tenantsInOrder() []string {
	names := slices.Collect(maps.Keys(v.after.Tenants))
	slices.SortFunc(names, func(a, b string) int {
		_, setA := v.patch.Set.Tenants[a]
		_, setB := v.patch.Set.Tenants[b]
		if setA != setB {
			if setA {
				return 1
			}
			return -1
		}
		return cmp.Compare(a, b)
	})
	return names
}
