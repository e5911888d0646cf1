package world

import (
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Pipe is one direction of a slow link, whose rate all that crosses it shares
// evenly.
type Pipe struct {
	timer timer.Service
	// rate is in bytes a second.
	rate float64
	cut  bool
	jobs []*crossing
	at   time.Time
	wake timer.Cancel
	// carried is how many bytes have crossed.
	carried float64
}

// crossing is something on its way.
type crossing struct {
	left float64
	done func()
}

// NewPipe returns an empty pipe of a rate in bits a second.
func NewPipe(t timer.Service, bitsPerSecond float64) *Pipe {
	const bitsPerByte = 8
	return &Pipe{timer: t, rate: bitsPerSecond / bitsPerByte, at: t.Now()}
}

// Carry calls done once the bytes have crossed.
func (p *Pipe) Carry(bytes uint64, done func()) {
	p.move()
	p.jobs = append(p.jobs, &crossing{left: float64(bytes), done: done})
	p.schedule()
}

// Carried returns how many bytes have crossed.
func (p *Pipe) Carried() float64 {
	p.move()
	return p.carried
}

// Cut stops or restores the pipe; what is on its way waits.
func (p *Pipe) Cut(cut bool) {
	p.move()
	p.cut = cut
	p.schedule()
}

// move takes everything on by what the time since the last move allows.
func (p *Pipe) move() {
	now := p.timer.Now()
	passed := now.Sub(p.at).Seconds()
	p.at = now
	if p.cut || len(p.jobs) == 0 {
		return
	}
	each := passed * p.rate / float64(len(p.jobs))
	for _, j := range p.jobs {
		p.carried += min(each, j.left)
		j.left -= each
	}
}

func (p *Pipe) schedule() {
	if p.wake != nil {
		p.wake()
		p.wake = nil
	}
	if p.cut || len(p.jobs) == 0 {
		return
	}
	least := math.Inf(1)
	for _, j := range p.jobs {
		least = min(least, j.left)
	}
	wait := time.Duration(math.Ceil(max(least, 0) * float64(len(p.jobs)) / p.rate * float64(time.Second)))
	p.wake = p.timer.After(wait, p.arrive)
}

func (p *Pipe) arrive() {
	p.move()
	var arrived []*crossing
	p.jobs = slices.DeleteFunc(p.jobs, func(j *crossing) bool {
		// Less than a byte is what rounding leaves over.
		if j.left < 1 {
			arrived = append(arrived, j)
		}
		return j.left < 1
	})
	p.schedule()
	for _, j := range arrived {
		j.done()
	}
}
