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
	// endCheckInterval is the time between two questions of a check.
	endCheckInterval = 10 * time.Millisecond
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

// check returns what is known of a target after endCheckTimeout at the latest. Requests
// that break off at a target at the same time share checks. The answer of a check that
// was under way before may be older than the end of the target, so that after one that
// found it alive the next one counts.
func (c *endChecker) check(ctx context.Context, target fleet.Target) endResult {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	for isSecond := false; ; isSecond = true {
		check, isNew, known := c.start(target)
		if known.isGone {
			return known
		}
		select {
		case <-check.done:
		case <-ctx.Done():
			return endResult{}
		}
		if isNew || isSecond || check.result.isGone {
			return check.result
		}
	}
}

// start returns the check of a target and whether it has just begun, or the result if the
// target is known to have ended.
func (c *endChecker) start(target fleet.Target) (check *endCheck, isNew bool, known endResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone.Has(target.Identity) {
		return nil, false, endResult{isGone: true, isUnplanned: c.unplanned.Has(target.Identity)}
	}
	check = c.running[target.Identity]
	if check != nil {
		return check, false, endResult{}
	}
	check = &endCheck{done: make(chan struct{})}
	c.running[target.Identity] = check
	go c.run(check, target)
	return check, true, endResult{}
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
//
// The kernel closes the connections of a process that is killed one after the other, and
// still accepts new ones until it closes the listener. So a connection that breaks before
// its answer tells nothing yet, and the target is asked again.
func (c *endChecker) isGone(target fleet.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	for {
		report, err := c.engines.Report(ctx, target.Addr)
		switch {
		case err == nil:
			return report.Born != 0 && report.Born != target.Born
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case errors.Is(err, platform.ErrNoReport):
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(endCheckInterval):
		}
	}
}
