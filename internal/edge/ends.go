package edge

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/platform"
)

const (
	// endCheckTimeout limits how long a request that broke off waits until it is known
	// whether its target has ended.
	endCheckTimeout = 250 * time.Millisecond
	// maxKnownEnds limits the ended targets that are remembered.
	maxKnownEnds = 1024
)

// endChecker finds out whether targets at which requests broke off have ended. A broken
// connection alone does not tell: links and targets reset connections too.
type endChecker struct {
	engines *platform.Engines
	// isLeaving reports whether a target was about to end as planned.
	isLeaving func(fleet.Identity) bool
	// onEnd is called once for each target that has ended unplanned.
	onEnd func(fleet.Target)

	mu sync.Mutex
	// gone holds the targets that have ended, unplanned those of them that were not about
	// to end as planned.
	gone, unplanned *recent.Set[fleet.Identity]
	// running holds the checks under way.
	running map[fleet.Identity]*endCheck
}

// endCheck is one check of a target. Its result is valid once done is closed.
type endCheck struct {
	done   chan struct{}
	result endResult
}

// endResult tells whether a target has ended, and whether it did so unplanned.
type endResult struct {
	isGone, isUnplanned bool
}

func newEndChecker(isLeaving func(fleet.Identity) bool, onEnd func(fleet.Target)) *endChecker {
	return &endChecker{
		engines: platform.NewEngines(), isLeaving: isLeaving, onEnd: onEnd,
		gone: recent.NewSet[fleet.Identity](maxKnownEnds), unplanned: recent.NewSet[fleet.Identity](maxKnownEnds),
		running: make(map[fleet.Identity]*endCheck),
	}
}

// hasCrashed reports whether a target has ended unplanned, so that a request may be to
// blame.
func (c *endChecker) hasCrashed(ctx context.Context, target fleet.Target) bool {
	return c.check(ctx, target).isUnplanned
}

// hasEnded reports whether a target has ended, planned or not, so that what it was sending
// may have broken off.
func (c *endChecker) hasEnded(ctx context.Context, target fleet.Target) bool {
	return c.check(ctx, target).isGone
}

// check returns what is known of a target after endCheckTimeout at the latest. All requests
// that break off at a target at the same time share one check.
func (c *endChecker) check(ctx context.Context, target fleet.Target) endResult {
	check, known := c.start(target)
	if known.isGone {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	select {
	case <-check.done:
		return check.result
	case <-ctx.Done():
		return endResult{}
	}
}

// start returns the check of a target, or the result if it is known to have ended.
func (c *endChecker) start(target fleet.Target) (*endCheck, endResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone.Has(target.Identity) {
		return nil, endResult{isGone: true, isUnplanned: c.unplanned.Has(target.Identity)}
	}
	check := c.running[target.Identity]
	if check == nil {
		check = &endCheck{done: make(chan struct{})}
		c.running[target.Identity] = check
		go c.run(check, target)
	}
	return check, endResult{}
}

func (c *endChecker) run(check *endCheck, target fleet.Target) {
	wasLeaving := c.isLeaving(target.Identity)
	isGone := c.isGone(target)
	result := endResult{isGone: isGone, isUnplanned: isGone && !wasLeaving}
	c.mu.Lock()
	delete(c.running, target.Identity)
	if result.isGone {
		c.gone.Add(target.Identity)
	}
	if result.isUnplanned {
		c.unplanned.Add(target.Identity)
	}
	c.mu.Unlock()
	if result.isUnplanned {
		c.onEnd(target)
	}
	check.result = result
	close(check.done)
}

// isGone reports whether nothing listens at a target's address any more, or another
// incarnation does. A target that does not respond may only be cut off.
func (c *endChecker) isGone(target fleet.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	report, err := c.engines.Report(ctx, target.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return report.Born != 0 && report.Born != target.Born
}
