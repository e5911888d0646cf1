package once

import (
	"context"
	"sync"
	"sync/atomic"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Driver runs a Part and lets callers wait for their verdicts.
type Driver struct {
	loop      *drive.Loop
	unwritten atomic.Int64

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan Verdict
}

// NewDriver returns a driver that runs part through env.
func NewDriver(part *Part, env ports.Env) *Driver {
	d := &Driver{waiting: make(map[uint64]chan Verdict)}
	d.loop = drive.NewLoop(part, env, drive.WithListener(d.listen))
	d.loop.Post(Start{})
	return d
}

// Claim returns what a call with a request key gets. A claim that is granted
// after ctx has ended is given back.
func (d *Driver) Claim(ctx context.Context, claim Claim) Verdict {
	id, answer := d.register()
	d.loop.Post(ClaimAsked{ID: id, Claim: claim})
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return d.withdraw(id, answer)
	}
}

// Finish records how a claimed call ended.
func (d *Driver) Finish(finish Finish) {
	d.loop.Post(Finished{Finish: finish})
}

// SetMembers tells which entries are known.
func (d *Driver) SetMembers(members []ports.Member) {
	d.loop.Post(MembersChanged{Members: members})
}

// Unwritten returns how many ends of calls are not written yet; a stopping
// entry waits until there are none.
func (d *Driver) Unwritten() int {
	return int(d.unwritten.Load())
}

// Stop ends the driver; claims that wait get no answer from it.
func (d *Driver) Stop() {
	d.loop.Stop()
}

func (d *Driver) register() (uint64, chan Verdict) {
	answer := make(chan Verdict, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	d.waiting[d.next] = answer
	return d.next, answer
}

func (d *Driver) withdraw(id uint64, answer chan Verdict) Verdict {
	d.mu.Lock()
	_, waits := d.waiting[id]
	delete(d.waiting, id)
	d.mu.Unlock()
	if waits {
		return Verdict{Kind: VerdictUnavailable, RetryAfter: unavailableRetry}
	}
	return <-answer
}

func (d *Driver) listen(value any) {
	switch v := value.(type) {
	case Backlog:
		d.unwritten.Store(int64(v.Unwritten))
	case ClaimAnswered:
		d.deliver(v)
	}
}

func (d *Driver) deliver(v ClaimAnswered) {
	d.mu.Lock()
	answer, waits := d.waiting[v.ID]
	delete(d.waiting, v.ID)
	d.mu.Unlock()
	if waits {
		answer <- v.Verdict
		return
	}
	if v.Verdict.Kind == VerdictRun || v.Verdict.Kind == VerdictRunUnclaimed {
		d.loop.Post(Finished{Finish: Finish{Ticket: v.Verdict.Ticket, Ending: EndedNotRun}})
	}
}
