package load

// Place is a target among which requests are spread. Its level is the expected time of a
// request there, or any other measure of cost that grows with each request.
type Place struct {
	// Start is the level of the target's next request.
	Start float64
	// Width is the number of requests that raise the level by 1; it is above 0.
	Width float64
}

// room returns how many requests raise the target to a level.
func (o *Place) room(level float64) float64 {
	if o.Start >= level {
		return 0
	}
	return (level - o.Start) * o.Width
}

// Level returns the common level to which n requests raise the lowest of the places.
// There must be at least one place, and n must be above 0.
func Level(places []Place, n float64) float64 {
	// The level of all places is lowered by leaving out those that are above it, until
	// none is. Few rounds are needed, and no order.
	level := meanLevel(places, n, 0, false)
	for {
		next := meanLevel(places, n, level, true)
		if next >= level {
			return level
		}
		level = next
	}
}

// meanLevel returns the level to which n requests raise the places that start below a
// bound, or all places, as if requests could also be removed from them.
func meanLevel(places []Place, n, below float64, isBounded bool) float64 {
	sum, capacity := n, 0.0
	for i := range places {
		o := &places[i]
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

// Choose returns the position of the place that a request goes to if all instances
// together send n requests, this one included. The probability of an place is
// proportional to what it lacks to the common level; point is uniform in [0, 1). The
// second result is the probability of the place.
func Choose(places []Place, n, point float64) (int, float64) {
	// The room of all places at the common level is n.
	level, total := Level(places, n), n
	left := point * total
	chosen, room := 0, 0.0
	for i := range places {
		r := places[i].room(level)
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

// Probabilities returns the probability with which Choose takes each of the places.
func Probabilities(places []Place, n float64) []float64 {
	level := Level(places, n)
	out := make([]float64, len(places))
	for i := range places {
		out[i] = places[i].room(level) / n
	}
	return out
}
