package meter

import (
	"sync/atomic"

	"chivecroft.example/chivecroft/internal/state/shard"
)

// other is the label of whatever exceeds a bound.
const other = "other"

// labels admits a bounded number of label values, first come first served.
type labels struct {
	limit int64
	used  atomic.Int64
	known *shard.Map[string, struct{}]
}

func newLabels(limit int) *labels {
	return &labels{limit: int64(limit), known: shard.NewMap[string, struct{}]()}
}

// admit returns value, or other if there is no room for a further one.
func (l *labels) admit(value string) string {
	if _, ok := l.known.Get(value); ok {
		return value
	}
	if l.used.Load() >= l.limit {
		return other
	}
	admitted := true
	l.known.Update(value, func(_ struct{}, present bool) (struct{}, bool) {
		if !present && l.used.Add(1) > l.limit {
			l.used.Add(-1)
			admitted = false
		}
		return struct{}{}, admitted
	})
	if !admitted {
		return other
	}
	return value
}
