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

// Limits of names and texts.
const (
	maxNameBytes       = 128
	maxCheckpointBytes = 512
	maxAuthorBytes     = 256
)

// namePattern matches names that need no escaping in URL paths and in keys of the KV
// service. It excludes the colon, which separates a model from an adapter in requests.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// keyHashPattern matches a SHA-256 hash in lower-case hex.
var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// acceptedName describes maxNameBytes and namePattern in faults.
const acceptedName = "a name has up to 128 letters, digits, '.', '_' or '-' and begins with a letter or digit"

// validator collects all faults and warnings of a patch.
type validator struct {
	before, after *Config
	patch         Patch
	faults        []Fault
	warnings      []Warning
}

func (v *validator) run() {
	v.checkHeader()
	v.checkRemovals()
	eachSorted(v.patch.Set.Services, "set.services", v.checkService)
	eachSorted(v.patch.Set.Models, "set.models", v.checkModel)
	eachSorted(v.patch.Set.Adapters, "set.adapters", v.checkAdapter)
	eachSorted(v.patch.Set.Rules, "set.rules", v.checkRule)
	eachSorted(v.patch.Set.Tenants, "set.tenants", v.checkTenant)
	v.checkDanglingReferences()
	v.checkSharedKeys()
}

// eachSorted calls check for each item in order of name, so that equal patches give equal
// lists of faults.
func eachSorted[T any](items map[string]T, path string, check func(name, path string, item T)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		check(name, join(path, name), items[name])
	}
}

func (v *validator) addFault(kind FaultKind, path, value, accepted string) {
	v.faults = append(v.faults, Fault{Kind: kind, Path: path, Value: shorten(value), Accepted: accepted})
}

func (v *validator) addWarning(path, text string) {
	v.warnings = append(v.warnings, Warning{Path: path, Text: text})
}

// checkHeader checks the fields of the patch other than its items, and its size.
func (v *validator) checkHeader() {
	p := v.patch
	v.checkName("id", p.ID)
	if len(p.Author) > maxAuthorBytes {
		v.addFault(FaultValue, "author", p.Author, fmt.Sprintf("at most %d bytes", maxAuthorBytes))
	}
	if p.Base != v.before.Version {
		v.addFault(FaultBase, "base", fmt.Sprint(p.Base), fmt.Sprintf("the base must be the current version %d", v.before.Version))
	}
	if n := encodedBytes(p); n > MaxPatchBytes {
		v.addFault(FaultTooLarge, "", fmt.Sprintf("%d bytes", n), fmt.Sprintf("at most %d bytes; split the patch", MaxPatchBytes))
	}
}

func (v *validator) checkName(path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.addFault(FaultName, path, fmt.Sprintf("%q", name), acceptedName)
	}
}

func (v *validator) checkRemovals() {
	p, c := v.patch, v.before
	checkRemovalsOf(v, "services", p.Remove.Services, c.Services, p.Set.Services)
	checkRemovalsOf(v, "models", p.Remove.Models, c.Models, p.Set.Models)
	checkRemovalsOf(v, "adapters", p.Remove.Adapters, c.Adapters, p.Set.Adapters)
	checkRemovalsOf(v, "rules", p.Remove.Rules, c.Rules, p.Set.Rules)
	checkRemovalsOf(v, "tenants", p.Remove.Tenants, c.Tenants, p.Set.Tenants)
}

// checkRemovalsOf checks the removals of one kind of item.
func checkRemovalsOf[T any](v *validator, kind string, names []string, old, set map[string]T) {
	seen := make(map[string]bool)
	for i, name := range names {
		path := fmt.Sprintf("remove.%s[%d]", kind, i)
		_, exists := old[name]
		_, alsoSet := set[name]
		switch {
		case seen[name]:
			v.addFault(FaultDuplicateKey, path, name, "the name is given twice")
		case alsoSet:
			v.addFault(FaultValue, path, name, "a patch either sets or removes a name")
		case !exists:
			v.addFault(FaultReference, path, name, "no such entry in "+kind)
		}
		seen[name] = true
	}
}

func (v *validator) checkService(name, path string, s Service) {
	v.checkName(path, name)
	v.checkKind(join(path, "kind"), s.Kind)
	v.checkClass(join(path, "class"), s.Class)
	v.checkDuration(join(path, "deadline"), s.Deadline)
	runsOnce := s.Class == ClassRunOnce
	for i, route := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		v.checkClass(join(at, "class"), route.Class)
		if !strings.HasPrefix(route.Prefix, "/") {
			v.addFault(FaultValue, join(at, "prefix"), fmt.Sprintf("%q", route.Prefix), `a path prefix begins with "/"`)
		}
		if route.Method != strings.ToUpper(route.Method) {
			v.addFault(FaultValue, join(at, "method"), route.Method, "an HTTP method in capital letters, or nothing for any")
		}
		runsOnce = runsOnce || route.Class == ClassRunOnce
	}
	if s.Kind == KindModel && len(s.Routes) > 0 {
		v.addFault(FaultValue, join(path, "routes"), "", "only a plain service has routes")
	}
	if s.RunWithoutClaim && !runsOnce {
		v.addWarning(join(path, "runWithoutClaim"), "has no effect: no call of the service is of class runOnce")
	}
}

func (v *validator) checkKind(path string, k ServiceKind) {
	switch k {
	case KindModel, KindPlain:
	default:
		v.addFault(FaultValue, path, fmt.Sprintf("%q", k), `"model" or "plain"`)
	}
}

func (v *validator) checkClass(path string, c Class) {
	switch c {
	case ClassInteractive, ClassDeferrable, ClassLookup, ClassRunOnce:
	default:
		v.addFault(FaultValue, path, fmt.Sprintf("%q", c), `"interactive", "deferrable", "lookup" or "runOnce"`)
	}
}

func (v *validator) checkDuration(path string, d Duration) {
	if d < 0 {
		text, _ := d.MarshalJSON()
		v.addFault(FaultValue, path, string(text), "a duration of at least 0")
	}
}

func (v *validator) checkCheckpoint(path, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > maxCheckpointBytes {
		v.addFault(FaultValue, path, fmt.Sprintf("%q", checkpoint), fmt.Sprintf("the name of a checkpoint of 1 to %d bytes", maxCheckpointBytes))
	}
}

func (v *validator) checkMemory(path string, n uint64) {
	if n == 0 {
		v.addFault(FaultValue, path, "0", "the accelerator memory in bytes, more than 0")
	}
}

func (v *validator) checkCount(path string, n int) {
	if n < 0 {
		v.addFault(FaultValue, path, fmt.Sprint(n), "a whole number of at least 0")
	}
}

func (v *validator) checkModel(name, path string, m Model) {
	v.checkName(path, name)
	v.checkCheckpoint(join(path, "checkpoint"), m.Checkpoint)
	v.checkMemory(join(path, "memoryBytes"), m.MemoryBytes)
	v.checkDuration(join(path, "loadTime"), m.LoadTime)
	v.checkCount(join(path, "concurrency"), m.Concurrency)
	if m.Revision != "" {
		v.checkName(join(path, "revision"), m.Revision)
	}
	if _, clash := v.after.Adapters[name]; clash {
		v.addFault(FaultName, path, name, "an adapter has this name, and callers could not tell them apart")
	}
	if _, ok := v.after.Services[m.Service]; !ok {
		v.addFault(FaultReference, join(path, "service"), fmt.Sprintf("%q", m.Service), "the name of a model service")
	}
	if _, ok := v.after.Rules[name]; !ok {
		v.addWarning(path, "the model has no rule, so no replica of it may be loaded")
	}
}

func (v *validator) checkAdapter(name, path string, a Adapter) {
	v.checkName(path, name)
	v.checkCheckpoint(join(path, "checkpoint"), a.Checkpoint)
	v.checkMemory(join(path, "memoryBytes"), a.MemoryBytes)
	if _, clash := v.after.Models[name]; clash {
		if _, reported := v.patch.Set.Models[name]; !reported {
			v.addFault(FaultName, path, name, "a model has this name, and callers could not tell them apart")
		}
	}
	if _, ok := v.after.Models[a.Model]; !ok {
		v.addFault(FaultReference, join(path, "model"), fmt.Sprintf("%q", a.Model), "the name of a model")
	}
}

func (v *validator) checkRule(name, path string, r Rule) {
	v.checkCount(join(path, "maxReplicas"), r.MaxReplicas)
	v.checkCount(join(path, "minReplicas"), r.MinReplicas)
	v.checkDuration(join(path, "keepAlive"), r.KeepAlive)
	if r.MinReplicas > r.MaxReplicas {
		v.addFault(FaultRule, join(path, "minReplicas"), fmt.Sprint(r.MinReplicas),
			fmt.Sprintf("at most maxReplicas, which is %d", r.MaxReplicas))
	}
	if _, ok := v.after.Models[name]; !ok {
		v.addFault(FaultReference, path, name, "a rule has the name of a model")
	}
	old, had := v.before.Rules[name]
	if had && r.MaxReplicas < old.MaxReplicas {
		v.addWarning(join(path, "maxReplicas"), fmt.Sprintf(
			"lowered from %d to %d: replicas above the new maximum finish their requests and are unloaded", old.MaxReplicas, r.MaxReplicas))
	}
}

func (v *validator) checkTenant(name, path string, t Tenant) {
	v.checkName(path, name)
	switch t.Class {
	case "", ClassInteractive, ClassDeferrable:
	default:
		v.addFault(FaultValue, join(path, "class"), fmt.Sprintf("%q", t.Class),
			`"interactive" or "deferrable"; whether a call may be repeated is for its service to say`)
	}
	v.checkRate(join(path, "requestsPerSecond"), t.RequestsPerSecond)
	v.checkRate(join(path, "weight"), t.Weight)
	v.checkCount(join(path, "concurrency"), t.Concurrency)
	for i, hash := range t.KeyHashes {
		if !keyHashPattern.MatchString(hash) {
			v.addFault(FaultValue, fmt.Sprintf("%s.keyHashes[%d]", path, i), hash, "64 lower-case hex digits, the SHA-256 sum of a key")
		}
	}
	if len(t.KeyHashes) == 0 {
		v.addWarning(path, "the tenant has no keys, so nobody can call under its name")
	}
}

func (v *validator) checkRate(path string, f float64) {
	if f < 0 || math.IsNaN(f) || math.IsInf(f, 0) {
		v.addFault(FaultValue, path, fmt.Sprint(f), "a number of at least 0")
	}
}

// checkDanglingReferences reports items whose service or model the patch removes, and models
// whose service it makes plain.
//
// References to missing items from items that the patch sets have been reported already.
func (v *validator) checkDanglingReferences() {
	eachSorted(v.after.Models, "models", func(name, _ string, m Model) {
		s, ok := v.after.Services[m.Service]
		_, set := v.patch.Set.Models[name]
		switch {
		case !ok && !set:
			v.addInUseFault("services", m.Service, "model", name)
		case ok && s.Kind == KindPlain:
			v.addPlainServiceFault(m.Service, name, set)
		}
	})
	if len(v.patch.Remove.Models) == 0 {
		return
	}
	eachSorted(v.after.Adapters, "adapters", func(name, _ string, a Adapter) {
		_, ok := v.after.Models[a.Model]
		_, set := v.patch.Set.Adapters[name]
		if !ok && !set {
			v.addInUseFault("models", a.Model, "adapter", name)
		}
	})
	eachSorted(v.after.Rules, "rules", func(name, _ string, _ Rule) {
		_, ok := v.after.Models[name]
		_, set := v.patch.Set.Rules[name]
		if !ok && !set {
			v.addInUseFault("models", name, "rule", name)
		}
	})
}

// addInUseFault reports the removal of an item to which another one refers.
func (v *validator) addInUseFault(kind, name, userKind, user string) {
	v.addFault(FaultInUse, "remove."+kind, name, fmt.Sprintf("%s %q refers to it; change or remove that in the same patch", userKind, user))
}

// addPlainServiceFault reports a model whose service is plain. modelSet is true if the patch
// sets the model; otherwise it changes the service.
func (v *validator) addPlainServiceFault(service, model string, modelSet bool) {
	if modelSet {
		v.addFault(FaultReference, "set.models."+model+".service", fmt.Sprintf("%q", service), "the service is plain; a model belongs to a model service")
		return
	}
	v.addFault(FaultInUse, "set.services."+service+".kind", `"plain"`, fmt.Sprintf("model %q belongs to the service", model))
}

// checkSharedKeys reports API keys that belong to two tenants or occur twice in one tenant.
func (v *validator) checkSharedKeys() {
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
			v.addFault(FaultValue, fmt.Sprintf("set.tenants.%s.keyHashes[%d]", name, i), hash, fmt.Sprintf("tenant %q has this key already", owner))
		}
	}
}

// tenantsInOrder returns the names of all tenants, those that the patch does not set first,
// so that a conflict is reported at a tenant that the patch sets.
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
