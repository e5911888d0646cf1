package vday

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
)

const gib = 1 << 30

// Shape is the size of a deployment and of its load.
type Shape struct {
	Name  string
	Zones []string
	// TargetsPerZone are the targets left to rarely used models.
	TargetsPerZone int
	// AcceleratorBytes is the memory of a target's accelerator.
	AcceleratorBytes uint64
	// HostBytes bounds the checkpoints cached in a target's memory, DiskBytes
	// those on its disk.
	HostBytes, DiskBytes uint64
	Models               int
	// StoreLoads is the number of loads a second, and at once, that the weight
	// store allows.
	StoreLoads int
	// Deadline is how long callers wait.
	Deadline time.Duration
	// DayCurve is the load of each hour against the busiest.
	DayCurve [24]float64
	// BurstCallers bounds the callers of one burst.
	BurstCallers int
	// Storms are the times of a day at which many models are called for at
	// once, and StormModels how many.
	Storms, StormModels int
	// Preset names the policy weights of the deployment.
	Preset string
}

// Shapes returns the deployments by the order in which they are reported.
func Shapes() []Shape {
	return []Shape{
		{
			Name:             "pulilan",
			Zones:            []string{"bul-a", "bul-b", "pam-a"},
			TargetsPerZone:   4,
			AcceleratorBytes: 80 * gib,
			HostBytes:        160 * gib,
			DiskBytes:        500 * gib,
			Models:           100,
			StoreLoads:       4,
			Deadline:         60 * time.Second,
			DayCurve: [24]float64{
				.05, .03, .02, .02, .05, .15, .3, .4, .5, .55, .6, .7,
				.7, .6, .5, .55, .7, .9, 1, .95, .7, .4, .2, .1,
			},
			BurstCallers: 40,
			Storms:       3,
			StormModels:  30,
			Preset:       "pulilan",
		},
		{
			Name:             "lakeshore",
			Zones:            []string{"erie-toledo", "erie-buffalo", "superior-duluth"},
			TargetsPerZone:   3,
			AcceleratorBytes: 80 * gib,
			HostBytes:        160 * gib,
			DiskBytes:        500 * gib,
			Models:           65,
			StoreLoads:       4,
			Deadline:         5 * time.Minute,
			DayCurve: [24]float64{
				.05, .05, .05, .05, .05, .1, .2, .5, .9, 1, 1, .9,
				.7, .9, 1, .95, .8, .5, .3, .25, .2, .15, .1, .05,
			},
			BurstCallers: 12,
			Storms:       2,
			StormModels:  15,
			Preset:       "lakeshore",
		},
	}
}

// ShapeByName returns one deployment.
func ShapeByName(name string) (Shape, error) {
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, trace.BadParameter("deployment %q is not known, accepted are pulilan and lakeshore", name)
}

// ModelSpec is one rarely used model.
type ModelSpec struct {
	Name        string        `json:"name"`
	MemoryBytes uint64        `json:"memoryBytes"`
	LoadTime    time.Duration `json:"loadNanos"`
}

// rhythm is how a model's sessions follow each other.
type rhythm int

const (
	// steady sessions come at a nearly fixed distance.
	steady rhythm = iota
	// random sessions come independently of each other, more by day.
	random
	// rare sessions come a few times a day.
	rare
	// bursty sessions are few and bring many callers at once.
	bursty
	rhythms
)

// newModels draws the models; one in ten is large.
func newModels(s Shape, r *rand.Rand) []ModelSpec {
	models := make([]ModelSpec, s.Models)
	for i := range models {
		size := 8 + r.IntN(24)
		if r.IntN(10) == 0 {
			size = 48 + r.IntN(24)
		}
		models[i] = ModelSpec{
			Name:        fmt.Sprintf("model-%03d", i),
			MemoryBytes: uint64(size) * gib,
			LoadTime:    time.Duration(size) * time.Second / 2,
		}
	}
	return models
}
