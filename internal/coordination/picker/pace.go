package picker

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
)

const (
	// usualWeight is the weight of one response time in the service's usual one.
	usualWeight = 0.02
	// paceToldTTL is how long after a response with a pace the response times of its
	// service are not used.
	paceToldTTL = 10 * time.Second
)

// usualTime is the mean time to a response.
type usualTime struct {
	seconds float64
	n       int
}

// add adds a response time. The first ones all have the same weight.
func (u *usualTime) add(seconds float64) {
	u.n++
	u.seconds += max(usualWeight, 1/float64(u.n)) * (seconds - u.seconds)
}

// setReportedPace records the pace that a response reports; 0 means that it reports none.
func (p *Picker) setReportedPace(now time.Time, r *target, figure float64) {
	if figure <= 0 {
		return
	}
	p.paceToldAt[r.Service] = now
	p.observePace(now, r, figure, load.Told)
}

func (p *Picker) observePace(now time.Time, r *target, figure float64, from load.Source) {
	if from == load.Told {
		// The few response times of one instance say too little.
		r.pace.Observe(now, figure, from)
		r.slowness = r.pace.Current(now)
	}
	if r.paceSource != from {
		r.paceSource, r.figures = from, load.Figures{}
	}
	r.figures.Add(figure)
}

// SetReportedPace records the pace that a response reports while the request is still
// running, as a multiple of the usual time; 0 means that it reports none.
func (s *Reservation) SetReportedPace(figure float64) {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.setReportedPace(s.picker.timer.Now(), s.state, figure)
}

// recordResponseTime adds a time to a response to the usual one, and derives the target's
// pace from it if no target of the service reports one. Time that the request probably waited at the target for
// others does not count.
func (p *Picker) recordResponseTime(now time.Time, s *Reservation) {
	r := s.state
	took := now.Sub(s.reservedAt).Seconds()
	if took <= 0 {
		return
	}
	took /= max(1, (s.Load+1)/float64(max(r.Slots, 1)))
	key := modelKey{r.Service, s.model}
	usual := p.usualTimes[key]
	if usual == nil {
		usual = &usualTime{}
		p.usualTimes[key] = usual
	}
	usual.add(took)
	if told, ok := p.paceToldAt[r.Service]; ok && now.Sub(told) < paceToldTTL {
		return
	}
	p.observePace(now, r, took/usual.seconds, load.Timed)
}
