package front

import (
	"context"
	"io"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
)

const (
	// paceBytes is the part of a body that asks for its share of the link at once.
	paceBytes = 16 << 10
	// promptBytes is how much of a body crosses at the priority of its call; the
	// rest of a large one gives way to everybody else's beginnings.
	promptBytes = 64 << 10
)

// priority is what the call gives way to on the link between regions.
func (c *call) priority() link.Priority {
	if c.out.Class == config.ClassDeferrable {
		return link.Deferrable
	}
	return link.Interactive
}

// paced is a body that crosses the link between regions. It is not read faster
// than its share of the link allows, so that whoever sends it is held back and
// nothing piles up here.
type paced struct {
	io.ReadCloser
	ctx    context.Context
	call   *call
	way    link.Direction
	passed int
}

// pace returns a body that takes its share of the link if the replica stands
// across it.
func (c *call) pace(ctx context.Context, choice route.Choice, way link.Direction, body io.ReadCloser) io.ReadCloser {
	if c.h.Link == nil || choice.Ring != route.RingOtherRegion || body == nil {
		return body
	}
	return &paced{ReadCloser: body, ctx: ctx, call: c, way: way}
}

// Read reads a part and waits until it may cross.
func (b *paced) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), paceBytes)])
	if n == 0 {
		return 0, err
	}
	priority := b.call.priority()
	if b.passed >= promptBytes {
		priority = link.Deferrable
	}
	b.passed += n
	if err := b.call.h.Link.Acquire(b.ctx, b.way, priority, b.call.tenant, n); err != nil {
		return 0, err
	}
	return n, err
}
