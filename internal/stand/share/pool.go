package share

import (
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Pool runs pieces of work side by side.
//
// Up to width pieces each advance at full speed. Beyond that all advance at
// width/n of it: eight pieces in a pool of width four take twice their time.
// Whenever a piece comes or goes, the work done so far at the old speed is
// settled and the next end is computed anew.
type Pool struct {
	timer timer.Service
	width int

	mu       sync.Mutex
	slowdown float64
	settled  time.Time
	pieces   map[*piece]struct{}
	cancel   timer.Cancel
}

type piece struct {
	left time.Duration
	done func()
}

// NewPool returns an idle pool.
func NewPool(t timer.Service, width int) *Pool {
	return &Pool{timer: t, width: width, slowdown: 1, settled: t.Now(), pieces: make(map[*piece]struct{})}
}

// Start begins a piece that takes work at full speed and calls done at its end;
// the returned function drops the piece.
func (p *Pool) Start(work time.Duration, done func()) timer.Cancel {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	one := &piece{left: work, done: done}
	p.pieces[one] = struct{}{}
	p.arm()
	return func() { p.drop(one) }
}

// Slow divides the speed of all pieces by factor from now on.
func (p *Pool) Slow(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	p.slowdown = max(factor, 1)
	p.arm()
}

// Len returns the number of pieces in flight.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pieces)
}

func (p *Pool) drop(one *piece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	delete(p.pieces, one)
	p.arm()
}

func (p *Pool) speed() float64 {
	if len(p.pieces) <= p.width {
		return 1 / p.slowdown
	}
	return float64(p.width) / float64(len(p.pieces)) / p.slowdown
}

func (p *Pool) settle() {
	now := p.timer.Now()
	done := time.Duration(float64(now.Sub(p.settled)) * p.speed())
	p.settled = now
	for one := range p.pieces {
		one.left -= done
	}
}

func (p *Pool) arm() {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	if len(p.pieces) == 0 {
		return
	}
	var first *piece
	for one := range p.pieces {
		if first == nil || one.left < first.left {
			first = one
		}
	}
	wait := time.Duration(float64(max(first.left, 0)) / p.speed())
	// The extra nanosecond makes up for rounding down, without which a piece
	// could wake the pool again and again just before its end.
	p.cancel = p.timer.After(wait+1, p.fire)
}

func (p *Pool) fire() {
	p.mu.Lock()
	p.settle()
	var ended []*piece
	for one := range p.pieces {
		if one.left <= 0 {
			ended = append(ended, one)
			delete(p.pieces, one)
		}
	}
	p.arm()
	p.mu.Unlock()
	for _, one := range ended {
		one.done()
	}
}
