package dedup

import (
	"context"
	"sync"
	"sync/atomic"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Driver runs a Part and lets callers block until their claims are answered.
type Driver struct {
	loop      *drive.Loop
	unwritten atomic.Int64

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan Decision
}

// NewDriver returns a driver that runs part with the services of env.
func NewDriver(part *Part, env ports.Env) *Driver {
	d := &Driver{waiting: make(map[uint64]chan Decision)}
	d.loop = drive.NewLoop(part, env, drive.WithListener(d.handleNote))
	d.loop.Post(Start{})
	return d
}

// Claim returns the decision on a call with a request key. If ctx ends first, the decision
// is DecisionUnavailable, and a claim that is granted later is released.
func (d *Driver) Claim(ctx context.Context, claim Claim) Decision {
	id, answer := d.register()
	d.loop.Post(ClaimRequested{ID: id, Claim: claim})
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return d.withdraw(id, answer)
	}
}

// Finish records how a claimed call ended.
func (d *Driver) Finish(finish Finish) {
	d.loop.Post(CallFinished{Finish: finish})
}

// SetMembers sets the known entries.
func (d *Driver) SetMembers(members []ports.Member) {
	d.loop.Post(MembersChanged{Members: members})
}

// Unwritten returns how many finished calls have not been written to the KV service yet;
// an entry that shuts down waits until there are none.
func (d *Driver) Unwritten() int {
	return int(d.unwritten.Load())
}

// Stop stops the driver; pending claims are not answered.
func (d *Driver) Stop() {
	d.loop.Stop()
}

func (d *Driver) register() (uint64, chan Decision) {
	answer := make(chan Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	d.waiting[d.lastID] = answer
	return d.lastID, answer
}

func (d *Driver) withdraw(id uint64, answer chan Decision) Decision {
	d.mu.Lock()
	_, isWaiting := d.waiting[id]
	delete(d.waiting, id)
	d.mu.Unlock()
	if isWaiting {
		return Decision{Kind: DecisionUnavailable, RetryAfter: unavailableRetryAfter}
	}
	return <-answer
}

func (d *Driver) handleNote(value any) {
	switch v := value.(type) {
	case Backlog:
		d.unwritten.Store(int64(v.Unwritten))
	case ClaimAnswered:
		d.deliver(v)
	}
}

func (d *Driver) deliver(v ClaimAnswered) {
	d.mu.Lock()
	answer, isWaiting := d.waiting[v.ID]
	delete(d.waiting, v.ID)
	d.mu.Unlock()
	if isWaiting {
		answer <- v.Decision
		return
	}
	if v.Decision.Kind == DecisionRun || v.Decision.Kind == DecisionRunUnclaimed {
		d.loop.Post(CallFinished{Finish: Finish{Ticket: v.Decision.Ticket, EndKind: EndNotRun}})
	}
}
