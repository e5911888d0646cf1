package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// faultText returns the faults of an *InvalidError, one per line, or the text of any other
// error.
func faultText(err error) string {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return strings.TrimPrefix(invalid.Error(), "invalid patch: ")
	}
	return fmt.Sprint(err)
}

// checkText fails the test unless got equals want, apart from surrounding white space.
func checkText(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(got)); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}

func TestParsePatchReportsPathOfFault(t *testing.T) {
	tests := []struct{ name, patch, want string }{
		{"unknown key", `{"id":"a","bse":1}`, `bse: unknown key; accepted are id, base, author, set, remove`},
		{"other case", `{"ID":"a"}`, `ID: unknown key; accepted are id, base, author, set, remove`},
		{
			"unknown below a name", `{"set":{"models":{"menu-7b":{"memory":1}}}}`,
			`set.models.menu-7b.memory: unknown key; accepted are service, checkpoint, revision, memoryBytes, loadTime, concurrency`,
		},
		{"duplicate at the top", `{"id":"a","id":"b"}`, `id: the key is given twice`},
		{"duplicate name", `{"set":{"rules":{"m":{},"n":{},"m":{}}}}`, `set.rules.m: the key is given twice`},
		{"duplicate field", `{"set":{"rules":{"m":{"maxReplicas":1,"maxReplicas":2}}}}`, `set.rules.m.maxReplicas: the key is given twice`},
		{"text for bytes", `{"set":{"models":{"menu-7b":{"memoryBytes":"7GB"}}}}`, `set.models.menu-7b.memoryBytes: "7GB": a whole number of at least 0 is expected`},
		{"negative bytes", `{"set":{"models":{"m":{"memoryBytes":-1}}}}`, `set.models.m.memoryBytes: -1: a whole number of at least 0 is expected`},
		{"fraction", `{"set":{"rules":{"m":{"maxReplicas":1.5}}}}`, `set.rules.m.maxReplicas: 1.5: a whole number is expected`},
		{"too many digits", `{"base":99999999999999999999}`, `base: 99999999999999999999: a whole number of at least 0 is expected`},
		{"null", `{"set":{"rules":null}}`, `set.rules: null: an object is expected`},
		{"list for object", `{"set":[]}`, `set: […]: an object is expected`},
		{"object for list", `{"remove":{"rules":{"m":1}}}`, `remove.rules: {…}: a list is expected`},
		{"number in list", `{"remove":{"rules":["m",3]}}`, `remove.rules[1]: 3: text is expected`},
		{"object for number", `{"base":{"a":{"b":[1]}}}`, `base: {…}: a whole number of at least 0 is expected`},
		{"number for duration", `{"set":{"rules":{"m":{"keepAlive":90}}}}`, `set.rules.m.keepAlive: 90: a duration is text such as "90s", not 90`},
		{"bad duration", `{"set":{"rules":{"m":{"keepAlive":"90"}}}}`, `set.rules.m.keepAlive: "90": a duration is text such as "90s", not "90"`},
		{"object for duration", `{"set":{"rules":{"m":{"keepAlive":{}}}}}`, `set.rules.m.keepAlive: {…}: a duration such as "90s" is expected`},
		{"trailing", `{"id":"a"} {"id":"b"}`, `patch: text after the end of the value at byte 12`},
		{"not an object", `7`, `patch: 7: an object is expected`},
		{"empty", ``, `patch: not JSON: the text ends too early`},
		{"cut", `{"id":"a","set":{`, `patch: not JSON: the text ends too early`},
		{"broken", `{"id":}`, `patch: not JSON at byte 6: invalid character '}' looking for beginning of value`},
		{"several at once", `{"x":{"x":1},"base":"1","author":true}`, "x: unknown key; accepted are id, base, author, set, remove\n" +
			"base: \"1\": a whole number of at least 0 is expected\nauthor: true: text is expected"},
		{"too large", `{"author":"` + strings.Repeat("a", MaxPatchBytes) + `"}`, `patch: 900013 bytes: at most 900000 bytes; split the patch`},
	}
	for _, row := range tests {
		t.Run(row.name, func(t *testing.T) {
			_, err := ParsePatch([]byte(row.patch))
			checkText(t, row.want, faultText(err))
		})
	}
}

func TestParsePatchReadsEveryField(t *testing.T) {
	text := `{"id":"p1","base":7,"author":"ana","set":{
		"services":{"desk":{"kind":"plain","class":"lookup","routes":[{"method":"POST","prefix":"/issue","class":"runOnce"}],"deadline":"5s","runWithoutClaim":true}},
		"models":{"menu-7b":{"service":"assist","checkpoint":"menu","revision":"r2","memoryBytes":18446744073709551615,"loadTime":"1m","concurrency":8}},
		"adapters":{"es":{"model":"menu-7b","checkpoint":"es","memoryBytes":5}},
		"rules":{"menu-7b":{"maxReplicas":3,"minReplicas":1,"keepAlive":"2m"}},
		"tenants":{"hall":{"keyHashes":["aa"],"class":"deferrable","requestsPerSecond":1.5,"concurrency":4,"weight":2}}},
		"remove":{"services":["a"],"models":["b"],"adapters":["c"],"rules":["d"],"tenants":["e"]}}`
	want := Patch{
		ID: "p1", Base: 7, Author: "ana",
		Set: Items{
			Services: map[string]Service{"desk": {Kind: KindPlain, Class: ClassLookup, Routes: []Route{{"POST", "/issue", ClassRunOnce}}, Deadline: Duration(5e9), RunWithoutClaim: true}},
			Models:   map[string]Model{"menu-7b": {"assist", "menu", "r2", 1<<64 - 1, Duration(60e9), 8}},
			Adapters: map[string]Adapter{"es": {"menu-7b", "es", 5}},
			Rules:    map[string]Rule{"menu-7b": {3, 1, Duration(120e9)}},
			Tenants:  map[string]Tenant{"hall": {[]string{"aa"}, ClassDeferrable, 1.5, 4, 2}},
		},
		Remove: Names{[]string{"a"}, []string{"b"}, []string{"c"}, []string{"d"}, []string{"e"}},
	}
	got, err := ParsePatch([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("patch (-want +got):\n%s", diff)
	}
}

// baseConfig returns a small valid configuration.
func baseConfig(t *testing.T) *Config {
	t.Helper()
	c, _, err := Apply(&Config{}, Patch{ID: "p0", Set: Items{
		Services: map[string]Service{"assist": {Kind: KindModel, Class: ClassInteractive}, "desk": {Kind: KindPlain, Class: ClassLookup}},
		Models:   map[string]Model{"m": {Service: "assist", Checkpoint: "m", MemoryBytes: 1}, "n": {Service: "assist", Checkpoint: "n", MemoryBytes: 1}},
		Adapters: map[string]Adapter{"a": {Model: "m", Checkpoint: "a", MemoryBytes: 1}},
		Rules:    map[string]Rule{"m": {MaxReplicas: 4}, "n": {MaxReplicas: 1}},
		Tenants:  map[string]Tenant{"hall": {KeyHashes: []string{strings.Repeat("0", 64)}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestApplyReportsEveryFault(t *testing.T) {
	good := Model{Service: "assist", Checkpoint: "c", MemoryBytes: 1}
	key := strings.Repeat("1", 64)
	tests := []struct {
		name  string
		patch Patch
		want  string
	}{
		{"envelope", Patch{ID: "a/b", Base: 3, Author: strings.Repeat("x", 257)}, `
id: "a/b": a name has up to 128 letters, digits, '.', '_' or '-' and begins with a letter or digit
author: ` + strings.Repeat("x", 80) + `…: at most 256 bytes
base: 3: the base must be the current version 1`},
		{"unknown references", Patch{ID: "p", Base: 1, Set: Items{
			Models:   map[string]Model{"x": {Service: "nobody", Checkpoint: "c", MemoryBytes: 1}},
			Adapters: map[string]Adapter{"y": {Model: "none", Checkpoint: "c", MemoryBytes: 1}},
			Rules:    map[string]Rule{"z": {MaxReplicas: 1}},
		}}, `
set.models.x.service: "nobody": the name of a model service
set.adapters.y.model: "none": the name of a model
set.rules.z: z: a rule has the name of a model`},
		{
			"model in a plain service",
			Patch{ID: "p", Base: 1, Set: Items{Models: map[string]Model{"x": {Service: "desk", Checkpoint: "c", MemoryBytes: 1}}}},
			`set.models.x.service: "desk": the service is plain; a model belongs to a model service`,
		},
		{"service turned plain", Patch{ID: "p", Base: 1, Set: Items{Services: map[string]Service{"assist": {Kind: KindPlain, Class: ClassLookup}}}}, `
set.services.assist.kind: "plain": model "m" belongs to the service
set.services.assist.kind: "plain": model "n" belongs to the service`},
		{"removal in use", Patch{ID: "p", Base: 1, Remove: Names{Services: []string{"assist"}, Models: []string{"m"}}}, `
remove.services: assist: model "n" refers to it; change or remove that in the same patch
remove.models: m: adapter "a" refers to it; change or remove that in the same patch
remove.models: m: rule "m" refers to it; change or remove that in the same patch`},
		{"removals", Patch{ID: "p", Base: 1, Set: Items{Models: map[string]Model{"n": good}}, Remove: Names{Models: []string{"n", "zz"}, Tenants: []string{"hall", "hall"}}}, `
remove.models[0]: n: a patch either sets or removes a name
remove.models[1]: zz: no such entry in models
remove.tenants[1]: hall: the name is given twice`},
		{"rules", Patch{ID: "p", Base: 1, Set: Items{Rules: map[string]Rule{"m": {MaxReplicas: 1, MinReplicas: 2}, "n": {MaxReplicas: -1, MinReplicas: -2, KeepAlive: -1}}}}, `
set.rules.m.minReplicas: 2: at most maxReplicas, which is 1
set.rules.n.maxReplicas: -1: a whole number of at least 0
set.rules.n.minReplicas: -2: a whole number of at least 0
set.rules.n.keepAlive: "-1ns": a duration of at least 0`},
		{"services", Patch{ID: "p", Base: 1, Set: Items{Services: map[string]Service{
			"s": {Kind: "gpu", Class: "fast", Deadline: -1}, "t": {Kind: KindModel, Class: ClassLookup, Routes: []Route{{"post", "issue", "x"}}},
		}}}, `
set.services.s.kind: "gpu": "model" or "plain"
set.services.s.class: "fast": "interactive", "deferrable", "lookup" or "runOnce"
set.services.s.deadline: "-1ns": a duration of at least 0
set.services.t.routes[0].class: "x": "interactive", "deferrable", "lookup" or "runOnce"
set.services.t.routes[0].prefix: "issue": a path prefix begins with "/"
set.services.t.routes[0].method: post: an HTTP method in capital letters, or nothing for any
set.services.t.routes: only a plain service has routes`},
		{"values", Patch{ID: "p", Base: 1, Set: Items{
			Models:   map[string]Model{"-x": {Service: "assist", Concurrency: -1, LoadTime: -1, Revision: "a b"}},
			Adapters: map[string]Adapter{"y": {Model: "m"}, "m": {Model: "m", Checkpoint: "c", MemoryBytes: 1}},
		}}, `
set.models.-x: "-x": a name has up to 128 letters, digits, '.', '_' or '-' and begins with a letter or digit
set.models.-x.checkpoint: "": the name of a checkpoint of 1 to 512 bytes
set.models.-x.memoryBytes: 0: the accelerator memory in bytes, more than 0
set.models.-x.loadTime: "-1ns": a duration of at least 0
set.models.-x.concurrency: -1: a whole number of at least 0
set.models.-x.revision: "a b": a name has up to 128 letters, digits, '.', '_' or '-' and begins with a letter or digit
set.adapters.m: m: a model has this name, and callers could not tell them apart
set.adapters.y.checkpoint: "": the name of a checkpoint of 1 to 512 bytes
set.adapters.y.memoryBytes: 0: the accelerator memory in bytes, more than 0`},
		{"tenants", Patch{ID: "p", Base: 1, Set: Items{Tenants: map[string]Tenant{
			"a": {KeyHashes: []string{key, key}, Class: ClassRunOnce, Weight: -1}, "b": {KeyHashes: []string{key, "AB", strings.Repeat("0", 64)}, RequestsPerSecond: -2, Concurrency: -3},
		}}}, `
set.tenants.a.class: "runOnce": "interactive" or "deferrable"; whether a call may be repeated is for its service to say
set.tenants.a.weight: -1: a number of at least 0
set.tenants.b.requestsPerSecond: -2: a number of at least 0
set.tenants.b.concurrency: -3: a whole number of at least 0
set.tenants.b.keyHashes[1]: AB: 64 lower-case hex digits, the SHA-256 sum of a key
set.tenants.a.keyHashes[1]: ` + key + `: tenant "a" has this key already
set.tenants.b.keyHashes[0]: ` + key + `: tenant "a" has this key already
set.tenants.b.keyHashes[2]: ` + strings.Repeat("0", 64) + `: tenant "hall" has this key already`},
	}
	for _, row := range tests {
		t.Run(row.name, func(t *testing.T) {
			before := baseConfig(t)
			_, _, err := Apply(before, row.patch)
			checkText(t, row.want, faultText(err))
			if diff := cmp.Diff(baseConfig(t), before); diff != "" {
				t.Errorf("a rejected patch changed the configuration (-want +got):\n%s", diff)
			}
		})
	}
}

func TestApplyWarns(t *testing.T) {
	_, warnings, err := Apply(baseConfig(t), Patch{ID: "p", Base: 1, Set: Items{
		Services: map[string]Service{"desk": {Kind: KindPlain, Class: ClassLookup, RunWithoutClaim: true}},
		Models:   map[string]Model{"x": {Service: "assist", Checkpoint: "c", MemoryBytes: 1}},
		Rules:    map[string]Rule{"m": {MaxReplicas: 2}},
		Tenants:  map[string]Tenant{"new": {}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	want := []Warning{
		{"set.services.desk.runWithoutClaim", "has no effect: no call of the service is of class runOnce"},
		{"set.models.x", "the model has no rule, so no replica of it may be loaded"},
		{"set.rules.m.maxReplicas", "lowered from 4 to 2: replicas above the new maximum finish their requests and are unloaded"},
		{"set.tenants.new", "the tenant has no keys, so nobody can call under its name"},
	}
	if diff := cmp.Diff(want, warnings); diff != "" {
		t.Errorf("warnings (-want +got):\n%s", diff)
	}
}

func TestDiffAndTouched(t *testing.T) {
	before := baseConfig(t)
	p := Patch{ID: "p", Base: 1, Set: Items{Rules: map[string]Rule{"m": {MaxReplicas: 9}}}, Remove: Names{Adapters: []string{"a"}, Tenants: []string{"hall"}}}
	after, _, err := Apply(before, p)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, fmt.Sprintf("%s %s %s -> %s", c.Kind, c.Path, c.Before, c.After))
	}
	checkText(t, `
removed adapters.a {"model":"m","checkpoint":"a","memoryBytes":1} -> 
changed rules.m {"maxReplicas":4} -> {"maxReplicas":9}
removed tenants.hall {"keyHashes":["`+strings.Repeat("0", 64)+`"]} ->`, strings.Join(lines, "\n"))
	if diff := cmp.Diff([]string{"adapters.a", "rules.m", "tenants.hall"}, Touched(p)); diff != "" {
		t.Errorf("touched (-want +got):\n%s", diff)
	}
	if !sameMap(before.Models, after.Models) {
		t.Error("the models were copied although the patch does not change them")
	}
}

func TestIndex(t *testing.T) {
	c := baseConfig(t)
	c.Services["desk"] = Service{Kind: KindPlain, Class: ClassInteractive, Routes: []Route{{"POST", "/issue", ClassRunOnce}, {"", "/orders", ClassLookup}}}
	c.Tenants["hall"] = Tenant{KeyHashes: []string{strings.Repeat("0", 64)}, Class: ClassDeferrable}
	index := NewIndex(c)
	var lines []string
	for _, name := range []string{"m", "m:a", "a", "n:a", "a:m", "zz", ""} {
		r, err := index.Resolve(name)
		lines = append(lines, fmt.Sprintf("%q: %+v %v", name, r, err))
	}
	for _, call := range [][3]string{{"POST", "/issue/1", "hall"}, {"GET", "/issue/1", "hall"}, {"GET", "/orders", "hall"}, {"GET", "/x", ""}} {
		lines = append(lines, fmt.Sprint(call, " ", index.Class("desk", call[2], call[0], call[1])))
	}
	name, _, ok := index.Tenant(strings.Repeat("0", 64))
	_, _, other := index.Tenant("x")
	lines = append(lines, fmt.Sprintln(name, ok, other))
	checkText(t, `
"m": {Service:assist Model:m Adapter:} <nil>
"m:a": {Service:assist Model:m Adapter:a} <nil>
"a": {Service:assist Model:m Adapter:a} <nil>
"n:a": {Service: Model: Adapter:} model "n" has no adapter "a"
"a:m": {Service: Model: Adapter:} no model or adapter is named "a:m"
"zz": {Service: Model: Adapter:} no model or adapter is named "zz"
"": {Service: Model: Adapter:} no model or adapter is named ""
[POST /issue/1 hall] runOnce
[GET /issue/1 hall] deferrable
[GET /orders hall] lookup
[GET /x ] interactive
hall true false`, strings.Join(lines, "\n"))
}
