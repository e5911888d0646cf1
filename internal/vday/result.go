package vday

import (
	"slices"
	"strings"
	"time"
)

// Result is what one run measured.
type Result struct {
	Requests int
	// Waits are those of all requests for a replica, 0 where one was ready and
	// the deadline where the request was refused.
	Waits []time.Duration
	// ColdWaits are the waits of the requests that found no ready replica.
	ColdWaits []time.Duration
	IdleHours float64
	Refusals  map[string]int
	Loads     int
	Preloads  int
	Evictions int
	// Unfinished are the requests that still waited at the end of the day.
	Unfinished int
}

// Refused is the number of refusals for all reasons.
func (r Result) Refused() int {
	n := 0
	for _, count := range r.Refusals {
		n += count
	}
	return n
}

// reasonClass drops the numbers from a reason, so that reasons can be counted.
func reasonClass(reason string) string {
	class, _, _ := strings.Cut(reason, ":")
	return class
}

// quantile returns the duration that a share q does not exceed.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
