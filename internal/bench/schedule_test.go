package bench

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/config"
)

var testLoad = Load{Duration: 10 * time.Second, Rate: 20, Bursts: 5, Burst: 12, HotModels: 4, Faults: true}

func TestSameSeedSamePlan(t *testing.T) {
	for _, shape := range []Shape{Pulilan(), Lakeshore()} {
		first := NewPlan(shape, testLoad, 7)
		if diff := cmp.Diff(first, NewPlan(shape, testLoad, 7)); diff != "" {
			t.Errorf("%s: the same seed gives another plan (-first +second):\n%s", shape.Name, diff)
		}
		if cmp.Equal(first, NewPlan(shape, testLoad, 8)) {
			t.Errorf("%s: another seed gives the same plan", shape.Name)
		}
	}
}

// TestPlanIsFixed pins a small plan, so that a change of the draws shows as one:
// figures of earlier runs are not comparable after it.
func TestPlanIsFixed(t *testing.T) {
	plan := NewPlan(Pulilan(), Load{Duration: time.Second, Rate: 2, Bursts: 1, Burst: 2, HotModels: 2}, 1)
	var got []string
	for _, s := range plan.Shots {
		got = append(got, fmt.Sprintf("%s %s %s%s%s", s.At.Round(time.Millisecond), s.Kind, s.Model, s.Adapter, s.Path))
	}
	want := []string{
		"209ms lookup /seats/0",
		"363ms warm model-000adapter-000",
		"465ms cold model-098",
		"468ms cold model-098",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

func TestPlanShape(t *testing.T) {
	shape := Pulilan()
	plan := NewPlan(shape, testLoad, 3)
	if !slices.IsSortedFunc(plan.Shots, func(a, b Shot) int { return int(a.At - b.At) }) {
		t.Error("the calls are out of order")
	}
	cold := make(map[string]int)
	warm := make(map[string]bool)
	keys := make(map[string]string)
	for _, s := range plan.Shots {
		switch s.Kind {
		case ShotCold:
			cold[s.Model]++
		case ShotWarm:
			warm[s.Model] = true
		case ShotRunOnce:
			if body, seen := keys[s.Key]; seen && body != s.Content {
				t.Errorf("key %s repeats with another body", s.Key)
			}
			keys[s.Key] = s.Content
		}
	}
	for model, n := range cold {
		if warm[model] || n != testLoad.Burst {
			t.Errorf("%s gets %d calls of a burst, in steady use: %t", model, n, warm[model])
		}
	}
	if len(cold) != testLoad.Bursts || len(plan.Troubles) == 0 {
		t.Errorf("%d bursts and %d troubles", len(cold), len(plan.Troubles))
	}
}

// TestPatchIsValid applies the patches of both shapes to an empty configuration.
func TestPatchIsValid(t *testing.T) {
	for _, shape := range []Shape{Pulilan(), Lakeshore()} {
		after, warnings, err := config.Apply(&config.Config{}, shape.Patch("key"))
		if err != nil || len(warnings) != 0 {
			t.Fatalf("%s: %v, %v", shape.Name, err, warnings)
		}
		if len(after.Models) != shape.Models || len(after.Adapters) != shape.Adapters {
			t.Errorf("%s: %d models and %d adapters", shape.Name, len(after.Models), len(after.Adapters))
		}
	}
}

func TestLoadCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Load)
		want   string
	}{
		{"no time", func(l *Load) { l.Duration = 0 }, "duration is 0s instead of more than 0s and at most 24h0m0s"},
		{"negative rate", func(l *Load) { l.Rate = -1 }, "rate is -1 instead of 0 to 100000"},
		{"negative burst", func(l *Load) { l.Burst = -1 }, "bursts and burst are 5 and -1 instead of 0 or more"},
		{"no hot model", func(l *Load) { l.HotModels = 0 }, "hot-models is 0 instead of 1 or more"},
	}
	for _, tt := range tests {
		load := testLoad
		tt.change(&load)
		if err := load.Check(); err == nil || err.Error() != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.want)
		}
	}
}
