package load

// Option is a target among which requests are spread. Its level is the expected time of a
// request there, or any other measure of cost that grows with each request.
type Option struct {
	// Start is the level of the target's next request.
	Start float64
	// Width is the number of requests that raise the level by 1; it is above 0.
	Width float64
}

// room returns how many requests raise the target to a level.
func (o *Option) room(level float64) float64 {
	if o.Start >= level {
		return 0
	}
	return (level - o.Start) * o.Width
}

// Level returns the common level to which n requests raise the lowest of the options.
// There must be at least one option, and n must be above 0.
func Level(options []Option, n float64) float64 {
	// The level of all options is lowered by leaving out those that are above it, until
	// none is. Few rounds are needed, and no order.
	level := meanLevel(options, n, 0, false)
	for {
		next := meanLevel(options, n, level, true)
		if next >= level {
			return level
		}
		level = next
	}
}

// meanLevel returns the level to which n requests raise the options that start below a
// bound, or all options, as if requests could also be removed from them.
func meanLevel(options []Option, n, below float64, isBounded bool) float64 {
	sum, capacity := n, 0.0
	for i := range options {
		o := &options[i]
		if isBounded && o.Start >= below {
			continue
		}
		sum += o.Start * o.Width
		capacity += o.Width
	}
	if capacity == 0 {
		return below
	}
	return sum / capacity
}

// Choose returns the position of the option that a request goes to if all instances
// together send n requests, this one included. The probability of an option is
// proportional to what it lacks to the common level; point is uniform in [0, 1). The
// second result is the probability of the option.
func Choose(options []Option, n, point float64) (int, float64) {
	// The room of all options at the common level is n.
	level, total := Level(options, n), n
	left := point * total
	chosen, room := 0, 0.0
	for i := range options {
		r := options[i].room(level)
		if r == 0 {
			continue
		}
		chosen, room = i, r
		if left < r {
			break
		}
		left -= r
	}
	return chosen, room / total
}
