package bench

import (
	"context"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// samplePeriod is the period at which targets are looked at.
const samplePeriod = 250 * time.Millisecond

// Accelerators is the use of the accelerator memory of all targets, as shares
// of all memory over the time of a run.
type Accelerators struct {
	Over time.Duration `json:"overNanos"`
	// Busy is the share of replicas with a request, Loading that of replicas not
	// ready yet, Idle that of replicas which wait for one.
	Busy    float64 `json:"busy"`
	Loading float64 `json:"loading"`
	Idle    float64 `json:"idle"`
	Free    float64 `json:"free"`
	// Loads is the number of loads of models that began.
	Loads int `json:"loads"`
}

// use adds up samples of memory in bytes.
type use struct {
	mu                         sync.Mutex
	busy, loading, idle, total float64
}

func (u *use) add(state ports.TargetState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total += float64(state.MemoryBytes)
	for _, r := range state.Replicas {
		switch {
		case r.Phase == ports.PhaseLoading:
			u.loading += float64(r.MemoryBytes)
		case r.Running > 0 || r.Phase == ports.PhaseUnloading:
			u.busy += float64(r.MemoryBytes)
		default:
			u.idle += float64(r.MemoryBytes)
		}
	}
}

// watchIdle samples the targets until the returned function is called, which
// gives the result, or nil if there are no targets to look at.
func (r *runner) watchIdle(ctx context.Context) func() *Accelerators {
	if len(r.deployment.Targets) == 0 {
		return func() *Accelerators { return nil }
	}
	ctx, cancel := context.WithCancel(ctx)
	began := time.Now()
	before := r.loads(ctx)
	var u use
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleepUntil(ctx, time.Now().Add(samplePeriod)) {
			r.sample(ctx, &u)
		}
	}()
	return func() *Accelerators {
		loads := r.loads(ctx) - before
		cancel()
		<-done
		if u.total == 0 {
			return nil
		}
		a := &Accelerators{
			Over: time.Since(began), Loads: loads,
			Busy: u.busy / u.total, Loading: u.loading / u.total, Idle: u.idle / u.total,
		}
		a.Free = 1 - a.Busy - a.Loading - a.Idle
		return a
	}
}

// sample looks at all targets; one that does not answer is left out, with its
// memory, so that shares stay shares of what was seen.
func (r *runner) sample(ctx context.Context, u *use) {
	var wait sync.WaitGroup
	for _, url := range r.deployment.Targets {
		wait.Go(func() {
			var state ports.TargetState
			if err := r.control.read(ctx, url+"/state", &state); err == nil {
				u.add(state)
			}
		})
	}
	wait.Wait()
}

// loads adds up the loads that the targets began since they were started.
func (r *runner) loads(ctx context.Context) int {
	sum := 0
	for _, url := range r.deployment.Targets {
		var record struct{ Loads map[string]int }
		if err := r.control.read(ctx, url+"/record", &record); err != nil {
			continue
		}
		for _, n := range record.Loads {
			sum += n
		}
	}
	return sum
}
