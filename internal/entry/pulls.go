package entry

import (
	"context"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/transport/peer"
)

// newsGrace is how soon after an accepted demand its news should arrive.
const newsGrace = time.Second

// pulls are the pulls of routing tables that are under way, by source.
//
// A pull is held by the other side for as long as there is no news, so that one
// over a silent connection looks like one from a quiet zone until it times out.
// A demand tells the two apart: an owner that accepts one has news of the model,
// or had it before and this entry missed it. A pull that is then not answered
// within newsGrace is begun anew over another connection; if it was sound, that
// costs one message.
type pulls struct {
	mu      sync.Mutex
	running map[string]*pulling
}

// pulling is one pull until its answer.
type pulling struct {
	giveUp  context.CancelCauseFunc
	watched bool
}

// begin notes a pull; the caller calls end once it is answered.
func (p *pulls) begin(ctx context.Context, source string) (asking context.Context, end func()) {
	asking, giveUp := context.WithCancelCause(ctx)
	one := &pulling{giveUp: giveUp}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[string]*pulling)
	}
	p.running[source] = one
	return asking, func() {
		giveUp(nil)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.running[source] == one {
			delete(p.running, source)
		}
	}
}

// watch returns the pull that is under way, unless it is being watched already.
func (p *pulls) watch(source string) *pulling {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.running[source]
	if one == nil || one.watched {
		return nil
	}
	one.watched = true
	return one
}

// expectNews gives a pull up that stays silent after a member has accepted a demand.
func (e *Entry) expectNews(m ports.Member) {
	one := e.pulls.watch(e.sourceOf(m))
	if one == nil {
		return
	}
	e.spawn(func(ctx context.Context) {
		if e.sleep(ctx, newsGrace) {
			one.giveUp(peer.ErrSilent)
		}
	})
}
