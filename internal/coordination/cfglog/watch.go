package cfglog

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Times of the watch.
const (
	// watchTimeout is how long one watch call waits for a change.
	watchTimeout = 30 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between two attempts during an
	// outage.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
)

// watch is the state of watching the KV service for the next version.
type watch struct {
	running    bool
	settling   bool
	retryDelay time.Duration
}

// watchIfDelegate starts to watch if this entry is a delegate.
//
// Right after a start every entry sees only itself and would choose itself, so the choice
// must hold for settleDelay before it counts.
func (p *Part) watchIfDelegate() {
	if p.watch.running || p.watch.settling || !p.isDelegate() {
		return
	}
	p.watch.settling = true
	p.afterFunc(p.jitter(settleDelay), func() {
		p.watch.settling = false
		if !p.watch.running && p.isDelegate() {
			p.watch.running = true
			p.catchUpAndWatch()
		}
	})
}

// catchUpAndWatch reads the log to its end and then watches for the next version.
func (p *Part) catchUpAndWatch() {
	if !p.isDelegate() {
		p.watch.running = false
		return
	}
	p.catchUp(func(err error) {
		if err != nil {
			p.retryWatch()
			return
		}
		p.watch.retryDelay = 0
		p.watchNext()
	})
}

// watchNext watches only the key of the next version. Deletions of old keys do not wake
// it, and there is no start revision that could become unavailable: a key that exists
// already is returned at once.
func (p *Part) watchNext() {
	if !p.isDelegate() {
		p.watch.running = false
		return
	}
	p.writeSnapshotIfDue()
	next := p.config.Version + 1
	p.callKV(ports.KVWatch{Prefix: logKey(next), Wait: watchTimeout}, func(r ports.KVReply) {
		if !p.recordReply("watch the log", r.Status) {
			p.retryWatch()
			return
		}
		if err := p.applyLog(r.Items); err != nil {
			p.retryWatch()
			return
		}
		if p.config.Version >= next {
			p.watchNext()
			return
		}
		// No change was reported. Reading the log shows whether there is none, or whether
		// this entry was away for so long that the next version has been trimmed.
		if len(r.Items) > 0 {
			p.retryWatch()
			return
		}
		p.catchUpAndWatch()
	})
}

func (p *Part) retryWatch() {
	p.watch.retryDelay = min(max(2*p.watch.retryDelay, minRetryDelay), maxRetryDelay)
	p.afterFunc(p.jitter(p.watch.retryDelay), p.catchUpAndWatch)
}
