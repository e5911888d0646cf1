package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Zone is one availability zone of a shape.
type Zone struct {
	Name     string
	Region   string
	Entries  int
	Targets  int
	Services int
}

// Shape is the size of a deployment and how its callers behave.
type Shape struct {
	Name  string
	Zones []Zone
	// ModelService is run by all targets, PlainService by all services.
	ModelService string
	PlainService string
	Models       int
	Adapters     int
	// MemoryBytes is the accelerator memory of a target, ModelBytes the least
	// memory of a model; models come in sizes of one, two and three times that.
	MemoryBytes uint64
	ModelBytes  uint64
	LoadTime    time.Duration
	// ModelClass is the class of model calls, Deadline how long callers wait.
	ModelClass config.Class
	Deadline   time.Duration
	// RunOncePath takes calls that must run at most once, LookupPath idempotent ones.
	RunOncePath string
	LookupPath  string
}

const (
	gib            = 1 << 30
	adapterBytes   = 64 << 20
	mostReplicas   = 6
	modelSizes     = 3
	benchLoadTime  = time.Second
	callerDeadline = 15 * time.Second
)

// Pulilan is the ticketing deployment: bursts of callers who wait.
func Pulilan() Shape {
	return Shape{
		Name: "pulilan",
		Zones: []Zone{
			{Name: "bul-a", Region: "bulacan", Entries: 3, Targets: 7, Services: 1},
			{Name: "bul-b", Region: "bulacan", Entries: 3, Targets: 7, Services: 1},
			{Name: "pam-a", Region: "pampanga", Entries: 2, Targets: 6, Services: 1},
		},
		ModelService: "supper-assist",
		PlainService: "ticket-desk",
		Models:       100,
		Adapters:     100,
		MemoryBytes:  80 * gib,
		ModelBytes:   16 * gib,
		LoadTime:     benchLoadTime,
		ModelClass:   config.ClassInteractive,
		Deadline:     callerDeadline,
		RunOncePath:  "/tickets",
		LookupPath:   "/seats",
	}
}

// Lakeshore is the engraving deployment: most of its work can wait.
func Lakeshore() Shape {
	return Shape{
		Name: "lakeshore",
		Zones: []Zone{
			{Name: "erie-toledo", Region: "erie", Entries: 2, Targets: 4, Services: 1},
			{Name: "erie-buffalo", Region: "erie", Entries: 2, Targets: 4, Services: 1},
			{Name: "superior-duluth", Region: "superior", Entries: 2, Targets: 4, Services: 1},
		},
		ModelService: "design-llm",
		PlainService: "order-desk",
		Models:       65,
		Adapters:     75,
		MemoryBytes:  80 * gib,
		ModelBytes:   16 * gib,
		LoadTime:     benchLoadTime,
		ModelClass:   config.ClassDeferrable,
		Deadline:     2 * callerDeadline,
		RunOncePath:  "/commits",
		LookupPath:   "/orders",
	}
}

// ShapeOf returns the shape of a name, and false if there is none.
func ShapeOf(name string) (Shape, bool) {
	switch name {
	case "pulilan":
		return Pulilan(), true
	case "lakeshore":
		return Lakeshore(), true
	}
	return Shape{}, false
}

// Entries returns the number of entries of all zones.
func (s Shape) Entries() int {
	n := 0
	for _, z := range s.Zones {
		n += z.Entries
	}
	return n
}

// Model returns the name of a model by its number.
func (s Shape) Model(n int) string {
	return fmt.Sprintf("model-%03d", n)
}

// Adapter returns the name of an adapter by its number; adapter n belongs to
// model n modulo the number of models.
func (s Shape) Adapter(n int) string {
	return fmt.Sprintf("adapter-%03d", n)
}

// Patch returns the patch that configures an empty deployment for the shape,
// with one tenant that owns key.
func (s Shape) Patch(key string) config.Patch {
	sum := sha256.Sum256([]byte(key))
	set := config.Items{
		Services: map[string]config.Service{
			s.ModelService: {Kind: config.KindModel, Class: s.ModelClass, Deadline: config.Duration(s.Deadline)},
			s.PlainService: {
				Kind: config.KindPlain, Class: config.ClassLookup, Deadline: config.Duration(s.Deadline),
				Routes: []config.Route{{Method: "POST", Prefix: s.RunOncePath, Class: config.ClassRunOnce}},
			},
		},
		Models:   make(map[string]config.Model),
		Adapters: make(map[string]config.Adapter),
		Rules:    make(map[string]config.Rule),
		Tenants:  map[string]config.Tenant{"bench": {KeyHashes: []string{hex.EncodeToString(sum[:])}}},
	}
	for n := range s.Models {
		set.Models[s.Model(n)] = config.Model{
			Service: s.ModelService, Checkpoint: s.Model(n) + "-r1",
			MemoryBytes: s.ModelBytes * uint64(1+n%modelSizes), LoadTime: config.Duration(s.LoadTime),
		}
		set.Rules[s.Model(n)] = config.Rule{MaxReplicas: mostReplicas}
	}
	for n := range s.Adapters {
		set.Adapters[s.Adapter(n)] = config.Adapter{
			Model: s.Model(n % s.Models), Checkpoint: s.Adapter(n) + "-r1", MemoryBytes: adapterBytes,
		}
	}
	return config.Patch{ID: "bench-" + s.Name, Author: "bench", Set: set}
}
