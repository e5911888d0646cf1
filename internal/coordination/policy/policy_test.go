package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const gib = 1 << 30

var noon = time.Date(2026, 3, 28, 12, 0, 0, 0, time.UTC)

// check reports an error with the difference if the texts differ.
func check(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decision (-want +got):\n%s", diff)
	}
}

func preset(t *testing.T, name string, opts ...Option) Set {
	t.Helper()
	w, err := Preset(name)
	if err != nil {
		t.Fatal(err)
	}
	set, err := New(w, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func minutes(values ...int) []time.Duration {
	var all []time.Duration
	for _, v := range values {
		all = append(all, time.Duration(v)*time.Minute)
	}
	return all
}

func TestWeightsOutOfRange(t *testing.T) {
	cases := []struct {
		weights Weights
		opts    []Option
		want    string
	}{
		{Weights{ColdStart: 1, IdleHours: 60}, nil, ""},
		{Weights{ColdStart: -1, IdleHours: 60}, nil, "policy weight coldStart is -1, accepted is 0 to 10000"},
		{Weights{ColdStart: 1, IdleHours: 20_000}, nil, "policy weight idleHours is 20000, accepted is 0 to 10000"},
		{Weights{}, nil, "policy weights coldStart and idleHours are both 0, one has to be above"},
		{Weights{ColdStart: 1}, []Option{WithPreloads(-1)}, "policy preloads is -1, accepted is 0 or more"},
		{Weights{ColdStart: 1}, []Option{WithAcceleratorBytes(0)}, "policy accelerator memory is 0 bytes, it has to be above"},
	}
	for _, c := range cases {
		_, err := New(c.weights, c.opts...)
		got := ""
		if err != nil {
			got = err.Error()
		}
		check(t, c.want, got)
	}
	if _, err := Preset("pulilam"); err == nil || !strings.Contains(err.Error(), `"pulilan"`) {
		t.Errorf("unknown preset: %v, wanted the names of the known ones", err)
	}
}

// TestKeepAlive checks that both presets keep a replica over short gaps, and that only the
// preset with the higher relative cost of cold starts keeps it over long ones.
func TestKeepAlive(t *testing.T) {
	cases := []struct {
		name string
		m    ModelView
		want string
	}{
		{"unknown gaps", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second}, "fixed 10m0s pulilan 4m24s lakeshore 1m6s"},
		{"gaps of 5 min", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second, Gaps: minutes(5, 5, 5, 5, 5, 5, 5, 5)}, "fixed 10m0s pulilan 16m30s lakeshore 5m30s"},
		{"gaps of 30 min", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second, Gaps: minutes(30, 30, 30, 30, 30, 30, 30, 30)}, "fixed 10m0s pulilan 33m0s lakeshore 30s"},
		{"gaps of 6 h", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second, Gaps: minutes(360, 360, 360, 360, 360, 360, 360, 360)}, "fixed 10m0s pulilan 1m6s lakeshore 30s"},
		{"fast reload", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second, ReloadTime: 500 * time.Millisecond, Gaps: minutes(5, 5, 5, 5, 5, 5, 5, 5)}, "fixed 10m0s pulilan 30s lakeshore 30s"},
		{"operators' rule", ModelView{MemoryBytes: 16 * gib, LoadTime: 10 * time.Second, KeepAlive: 7 * time.Minute}, "fixed 7m0s pulilan 7m0s lakeshore 7m0s"},
	}
	sets := []Set{Plain(), preset(t, PresetPulilan), preset(t, PresetLakeshore)}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.m.LastUsed = noon
			check(t, c.want, fmt.Sprintf("fixed %v pulilan %v lakeshore %v", sets[0].KeepAlive.Decide(noon, c.m),
				sets[1].KeepAlive.Decide(noon, c.m), sets[2].KeepAlive.Decide(noon, c.m)))
		})
	}
}

// idleReplica returns a replica of a model that was loaded and last used the given times
// ago.
func idleReplica(id string, size uint64, loadedAgo, usedAgo time.Duration, gaps ...time.Duration) ReplicaView {
	return ReplicaView{
		Replica:    id,
		Model:      ModelView{Model: id, MemoryBytes: size * gib, LoadTime: 20 * time.Second, LastUsed: noon.Add(-usedAgo), Gaps: gaps},
		LoadedAt:   noon.Add(-loadedAgo),
		ReloadTime: 20 * time.Second,
	}
}

func TestPlace(t *testing.T) {
	waiting := ModelView{Model: "m", MemoryBytes: 20 * gib, LoadTime: 20 * time.Second, Waiting: 1, Max: 2}
	ahead := waiting
	ahead.Waiting = 0
	ahead.LastUsed = noon.Add(-25 * time.Minute)
	ahead.Gaps = minutes(300, 300, 300, 300)
	wakes := ModelView{Gaps: minutes(30, 30, 30, 30, 30, 30)}
	cases := []struct {
		name        string
		m           ModelView
		targets     []TargetView
		plain, cost string
	}{
		{
			"a cached checkpoint or a tighter fit", waiting,
			[]TargetView{
				{Target: "a", FreeBytes: 20 * gib, TotalBytes: 80 * gib, Tier: ports.TierRemote},
				{Target: "b", FreeBytes: 60 * gib, TotalBytes: 80 * gib, Tier: ports.TierMemory},
			},
			"a []", "b []",
		},
		{
			"equal tiers: the tighter fit", waiting,
			[]TargetView{
				{Target: "a", FreeBytes: 60 * gib, TotalBytes: 80 * gib, Tier: ports.TierDisk},
				{Target: "b", FreeBytes: 24 * gib, TotalBytes: 80 * gib, Tier: ports.TierDisk},
			},
			"b []", "b []",
		},
		{
			"a target with loads in progress", waiting,
			[]TargetView{
				{Target: "a", FreeBytes: 24 * gib, TotalBytes: 80 * gib, Tier: ports.TierRemote, Loading: 2},
				{Target: "b", FreeBytes: 60 * gib, TotalBytes: 80 * gib, Tier: ports.TierRemote},
			},
			"a []", "b []",
		},
		{
			"a least recently used model whose next request is expected soon", waiting,
			[]TargetView{{
				Target: "a", TotalBytes: 80 * gib, Tier: ports.TierRemote,
				Evictable: []ReplicaView{
					idleReplica("wakes", 30, 2*time.Hour, 28*time.Minute, wakes.Gaps...),
					idleReplica("sleeps", 30, 2*time.Hour, 10*time.Minute, minutes(600, 600, 600, 600, 600, 600)...),
				},
			}},
			"a [wakes]", "a [sleeps]",
		},
		{
			"no more is evicted than needed", waiting,
			[]TargetView{{
				Target: "a", TotalBytes: 80 * gib, Tier: ports.TierRemote,
				Evictable: []ReplicaView{idleReplica("small", 8, 3*time.Hour, 3*time.Hour), idleReplica("large", 24, 2*time.Hour, 2*time.Hour)},
			}},
			"a [large]", "a [large]",
		},
		{
			"a replica that was loaded too recently", waiting,
			[]TargetView{{
				Target: "a", TotalBytes: 80 * gib, Tier: ports.TierRemote,
				Evictable: []ReplicaView{idleReplica("young", 40, 30*time.Second, 20*time.Second)},
			}},
			"a [young]", "refused: no room: 1 idle replicas have not paid for their load yet and the rest is busy",
		},
		{
			"a preload that saves less than it evicts", ahead,
			[]TargetView{{
				Target: "a", TotalBytes: 80 * gib, Tier: ports.TierRemote,
				Evictable: []ReplicaView{idleReplica("wakes", 30, 2*time.Hour, 28*time.Minute, wakes.Gaps...)},
			}},
			"a [wakes]", "refused: would not pay for itself: loading ahead saves 0.00 and evicting 1 replicas loses 16.96",
		},
		{
			"a model larger than any target",
			ModelView{Model: "m", MemoryBytes: 90 * gib, Waiting: 1},
			[]TargetView{{Target: "a", FreeBytes: 80 * gib, TotalBytes: 80 * gib}},
			"refused: no room: the model takes 96636764160 bytes and the largest target has 85899345920",
			"refused: no room: the model takes 96636764160 bytes and the largest target has 85899345920",
		},
		{"no target", waiting, nil, "refused: no room: no target takes loads", "refused: no room: no target takes loads"},
		{
			"all busy", waiting,
			[]TargetView{{Target: "a", FreeBytes: gib, TotalBytes: 80 * gib}},
			"refused: no room: the memory of every target is in use", "refused: no room: the memory of every target is in use",
		},
	}
	plain, cost := Plain(), preset(t, PresetPulilan)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := PlaceInput{Model: c.m, Targets: c.targets}
			check(t, c.plain, placementText(plain.Place.Decide(noon, in)))
			check(t, c.cost, placementText(cost.Place.Decide(noon, in)))
		})
	}
}

func placementText(p Placement) string {
	if p.Refused != "" {
		return "refused: " + p.Refused
	}
	return fmt.Sprintf("%s %v", p.Target, p.Evict)
}

// TestScaleHysteresis changes the work around the limits at which replicas are added and
// removed, each time with an overload long enough to add one.
func TestScaleHysteresis(t *testing.T) {
	var got strings.Builder
	ready := 1
	for _, work := range []int{8, 9, 10, 9, 8, 6, 5, 4, 5, 9, 40, 12, 12, 12, 0, 0, 0} {
		v := ModelView{Ready: ready, Running: work, Concurrency: 10, Min: 1, Max: 4, PressedFor: maxScaleUpDelay}
		ready = Plain().Scale.Decide(noon, ScaleInput{Model: v})
		fmt.Fprintf(&got, "%d:%d ", work, ready)
	}
	check(t, "8:1 9:1 10:2 9:2 8:2 6:2 5:2 4:1 5:1 9:1 40:2 12:2 12:2 12:2 0:1 0:1 0:1 ", got.String())
}

// TestScaleBurst checks the number of replicas during a burst of 24 callers to a cold model
// with batches of 8 and loads of 2 s, and during a longer overload afterwards.
func TestScaleBurst(t *testing.T) {
	var pressure Pressure
	var got strings.Builder
	for _, step := range []struct {
		at                      time.Duration
		ready, running, waiting int
	}{
		{0, 0, 0, 24},
		{2 * time.Second, 1, 8, 16},
		{2500 * time.Millisecond, 1, 8, 8},
		{2900 * time.Millisecond, 1, 8, 4},
		{3100 * time.Millisecond, 1, 8, 0},
		{4 * time.Second, 1, 8, 60},
		{4900 * time.Millisecond, 1, 8, 60},
		{5 * time.Second, 1, 8, 60},
		{7 * time.Second, 2, 16, 60},
	} {
		v := ModelView{
			Ready: step.ready, Running: step.running, Waiting: step.waiting,
			Concurrency: 8, Max: 6, LoadTime: 2 * time.Second,
		}
		v.PressedFor = pressure.Observe(noon.Add(step.at), v)
		fmt.Fprintf(&got, "%v:%d ", step.at, Plain().Scale.Decide(noon, ScaleInput{Model: v}))
	}
	check(t, "0s:1 2s:1 2.5s:1 2.9s:1 3.1s:2 4s:2 4.9s:2 5s:2 7s:4 ", got.String())
}

func TestOrder(t *testing.T) {
	load := func(name string, waiting int, within, since time.Duration) LoadRequest {
		return LoadRequest{
			Model: ModelView{Model: name, Waiting: waiting, FirstDeadline: noon.Add(within), LoadTime: 10 * time.Second},
			Since: noon.Add(-since), Tier: ports.TierRemote,
		}
	}
	loads := []LoadRequest{
		load("ahead", 0, 0, 9*time.Second),
		load("late", 30, 4*time.Second, 8*time.Second),
		load("one", 1, 11*time.Second, 7*time.Second),
		load("many", 12, time.Minute, 2*time.Second),
		load("older one", 1, time.Minute, 8*time.Second),
	}
	names := func(order []int) string {
		var all []string
		for _, i := range order {
			all = append(all, loads[i].Model.Model)
		}
		return strings.Join(all, ", ")
	}
	check(t, "ahead, late, older one, one, many", names(Plain().Order.Decide(noon, loads)))
	check(t, "many, older one, one, late, ahead", names(preset(t, PresetPulilan).Order.Decide(noon, loads)))
}

// TestPreload checks that a model is preloaded shortly before its next request is expected,
// and only once between two requests. A model with irregular or too few gaps, and one that
// is loaded, is not preloaded.
func TestPreload(t *testing.T) {
	rhythm := func(name string, idleFor time.Duration) ModelView {
		return ModelView{
			Model: name, MemoryBytes: 16 * gib, LoadTime: 20 * time.Second, Max: 1,
			LastUsed: noon.Add(-idleFor), Gaps: minutes(30, 30, 30, 30, 30, 30, 30, 30),
		}
	}
	soon, early, vain := rhythm("soon", 28*time.Minute), rhythm("early", 2*time.Minute), rhythm("vain", 28*time.Minute)
	vain.LastPreload = noon.Add(-5 * time.Minute)
	random := rhythm("random", 28*time.Minute)
	random.Gaps = minutes(2, 600, 9, 300, 45, 700)
	loaded := rhythm("loaded", 28*time.Minute)
	loaded.Ready = 1
	fresh := rhythm("fresh", 28*time.Minute)
	fresh.Gaps = fresh.Gaps[:3]
	models := []ModelView{early, vain, random, loaded, fresh, soon}
	check(t, "[soon]", fmt.Sprint(preset(t, PresetLakeshore).Preload.Decide(noon, models)))
	check(t, "[soon early]", fmt.Sprint(preset(t, PresetPulilan).Preload.Decide(noon, models)))
	check(t, "[]", fmt.Sprint(preset(t, PresetPulilan, WithPreloads(0)).Preload.Decide(noon, models)))
	check(t, "[]", fmt.Sprint(Plain().Preload.Decide(noon, models)))
}

func TestKeepGapLeavesOutBursts(t *testing.T) {
	var gaps []time.Duration
	for range 3 {
		gaps = KeepGap(gaps, time.Hour)
		for range 100 {
			gaps = KeepGap(gaps, 2*time.Second)
		}
	}
	check(t, "[1h0m0s 1h0m0s 1h0m0s]", fmt.Sprint(gaps))
	for range 100 {
		gaps = KeepGap(gaps, time.Minute)
	}
	check(t, "32", fmt.Sprint(len(gaps)))
}
