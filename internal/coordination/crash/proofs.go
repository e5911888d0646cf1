package crash

import "time"

// maxProofs limits each of the two generations of proofs.
const maxProofs = 1 << 13

// proofs holds when subjects were last proved, for those that were proved lately. It
// replaces the older of two generations when the younger is full.
type proofs struct {
	young, old map[Subject]time.Time
}

func newProofs() proofs {
	return proofs{young: make(map[Subject]time.Time), old: make(map[Subject]time.Time)}
}

// set records a proof. One of an answer that began before that of a known proof adds nothing.
func (p *proofs) set(s Subject, at time.Time) {
	if !at.After(p.at(s)) {
		return
	}
	if _, known := p.young[s]; !known && len(p.young) >= maxProofs {
		p.old = p.young
		p.young = make(map[Subject]time.Time)
	}
	p.young[s] = at
}

// at returns when a subject was last proved, the zero time if that is not known.
func (p *proofs) at(s Subject) time.Time {
	if at, known := p.young[s]; known {
		return at
	}
	return p.old[s]
}
