package vday

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// concurrency is the number of requests that one replica batches.
const concurrency = 8

// maxReplicas bounds the replicas of a rarely used model.
const maxReplicas = 2

// model is what the driver knows of one model.
type model struct {
	ModelSpec
	lastUsed    time.Time
	lastPreload time.Time
	gaps        []time.Duration
	waiting     []*caller
	// replicas are those that load or are ready.
	replicas []*replica
	since    time.Time
	preload  bool
	refused  string
	pressure policy.Pressure
}

// caller is a request that waits for a replica.
type caller struct {
	request  Request
	arrived  time.Time
	deadline time.Time
	done     bool
}

// replica is one copy of a model on a target.
type replica struct {
	id       string
	model    *model
	target   *target
	ready    bool
	gone     bool
	loadedAt time.Time
	lastUsed time.Time
	running  int
	idleFrom time.Time
}

// target is one accelerator with the checkpoints cached beside it.
type target struct {
	id       string
	zone     string
	total    uint64
	free     uint64
	replicas []*replica
	host     cache
	disk     cache
}

// tier is where the model's checkpoint is cached.
func (t *target) tier(m *model) ports.Tier {
	switch {
	case t.host.has(m.Name):
		return ports.TierMemory
	case t.disk.has(m.Name):
		return ports.TierDisk
	default:
		return ports.TierRemote
	}
}

// cache holds checkpoints up to a size, the latest used last.
type cache struct {
	limit uint64
	held  []ModelSpec
	names map[string]bool
}

func (c *cache) has(name string) bool {
	return c.names[name]
}

// use moves a checkpoint to the end and drops the first ones beyond the limit.
func (c *cache) use(m ModelSpec) {
	c.held = slices.DeleteFunc(c.held, func(h ModelSpec) bool { return h.Name == m.Name })
	c.held = append(c.held, m)
	var sum uint64
	for i := len(c.held) - 1; i >= 0; i-- {
		sum += c.held[i].MemoryBytes
		if sum > c.limit {
			c.held = slices.Clone(c.held[i+1:])
			break
		}
	}
	c.names = make(map[string]bool, len(c.held))
	for _, h := range c.held {
		c.names[h.Name] = true
	}
}

// view is what policies see of a model.
func (m *model) view() policy.ModelView {
	v := policy.ModelView{
		Model:       m.Name,
		MemoryBytes: m.MemoryBytes,
		LoadTime:    m.LoadTime,
		LastUsed:    m.lastUsed,
		Gaps:        m.gaps,
		Waiting:     len(m.waiting),
		Max:         maxReplicas,
		Concurrency: concurrency,
	}
	if len(m.waiting) > 0 {
		v.FirstDeadline = m.waiting[0].deadline
	}
	for _, r := range m.replicas {
		if r.ready {
			v.Ready++
			v.Running += r.running
		}
	}
	return v
}

// touch notes a use.
func (m *model) touch(now time.Time, keep func([]time.Duration, time.Duration) []time.Duration) {
	if !m.lastUsed.IsZero() {
		m.gaps = keep(m.gaps, now.Sub(m.lastUsed))
	}
	m.lastUsed = now
}
