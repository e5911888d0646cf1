package relay

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Times of the watch.
const (
	// watchWait is how long one watch waits at the KV service.
	watchWait = 30 * time.Second
	// retryShortest and retryLongest bound the time between two tries during an outage.
	retryShortest = time.Second
	retryLongest  = 4 * time.Second
)

// watch is the state of waiting for the next version at the KV service.
type watch struct {
	running  bool
	settling bool
	retry    time.Duration
}

// refreshDuty begins to watch if this entry has been chosen for it.
//
// Right after a start every entry sees only itself and so would choose itself;
// the view has to hold for a while before the choice counts.
func (p *Part) refreshDuty() {
	if p.watch.running || p.watch.settling || !p.onDuty() {
		return
	}
	p.watch.settling = true
	p.after(p.spread(settleTime), func() {
		p.watch.settling = false
		if !p.watch.running && p.onDuty() {
			p.watch.running = true
			p.watchRound()
		}
	})
}

// watchRound reads to the end of the log and then waits for what follows.
func (p *Part) watchRound() {
	if !p.onDuty() {
		p.watch.running = false
		return
	}
	p.catchUp(func(err error) {
		if err != nil {
			p.watchLater()
			return
		}
		p.watch.retry = 0
		p.watchNext()
	})
}

// watchNext waits for the key of the next version alone. Deletions of old keys
// do not wake it, and there is no revision to lose: a key that exists already
// is answered at once.
func (p *Part) watchNext() {
	if !p.onDuty() {
		p.watch.running = false
		return
	}
	p.keepSnapshots()
	next := p.config.Version + 1
	p.kv(ports.KVWatch{Prefix: logKey(next), Wait: watchWait}, func(r ports.KVReply) {
		if !p.answered("watch the log", r.Status) {
			p.watchLater()
			return
		}
		if err := p.takeLog(r.Items); err != nil {
			p.watchLater()
			return
		}
		if p.config.Version >= next {
			p.watchNext()
			return
		}
		// Nothing came. The log itself tells whether that is true, or whether
		// this entry was away for so long that its next version is trimmed.
		if len(r.Items) > 0 {
			p.watchLater()
			return
		}
		p.watchRound()
	})
}

func (p *Part) watchLater() {
	p.watch.retry = min(max(2*p.watch.retry, retryShortest), retryLongest)
	p.after(p.spread(p.watch.retry), p.watchRound)
}
