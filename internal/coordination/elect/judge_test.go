package elect

import (
	"fmt"
	"time"
)

// order is an order on its way to a target.
type order struct {
	instance int
	token    uint64
	// handover is the minimum time between the orders of two instances as of its check.
	handover time.Duration
	arrival  time.Time
}

// judge checks orders in the order of their arrival at a target that does not check tokens.
type judge struct {
	last    order
	hasLast bool
	// highest is the highest token so far; senders maps each token to its instance.
	highest uint64
	senders map[uint64]int
}

// arrived returns how an order breaks the rules, or an empty string.
func (j *judge) arrived(o order) string {
	last, hasLast := j.last, j.hasLast
	j.last, j.hasLast = o, true
	highest := j.highest
	j.highest = max(j.highest, o.token)
	if j.senders == nil {
		j.senders = make(map[uint64]int)
	}
	sender, isKnown := j.senders[o.token]
	if !isKnown {
		j.senders[o.token] = o.instance
	}
	switch gap := o.arrival.Sub(last.arrival); {
	case hasLast && last.instance != o.instance && gap < o.handover:
		return fmt.Sprintf("an order of instance %d arrives %v after one of instance %d", o.instance, gap, last.instance)
	case isKnown && sender != o.instance:
		return fmt.Sprintf("instances %d and %d send orders with token %d", sender, o.instance, o.token)
	case o.token < highest:
		return fmt.Sprintf("an order of instance %d has token %d after %d", o.instance, o.token, highest)
	}
	return ""
}
