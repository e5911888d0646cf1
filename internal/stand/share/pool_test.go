package share

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// TestPool starts pieces and reads off when they end, in milliseconds.
func TestPool(t *testing.T) {
	tests := []struct {
		name string
		run  func(start func(name string, work time.Duration) timer.Cancel, p *Pool, clock *timer.Virtual)
		want string
	}{
		{"full speed up to the width", func(start func(string, time.Duration) timer.Cancel, _ *Pool, _ *timer.Virtual) {
			start("a", 100*time.Millisecond)
			start("b", 200*time.Millisecond)
		}, "a@100 b@200"},
		{"in proportion beyond it", func(start func(string, time.Duration) timer.Cancel, _ *Pool, _ *timer.Virtual) {
			for _, name := range []string{"a", "b", "c", "d"} {
				start(name, 100*time.Millisecond)
			}
		}, "a@200 b@200 c@200 d@200"},
		{"faster again when others end", func(start func(string, time.Duration) timer.Cancel, _ *Pool, _ *timer.Virtual) {
			start("a", 100*time.Millisecond)
			start("b", 100*time.Millisecond)
			start("c", 100*time.Millisecond)
			start("d", 300*time.Millisecond)
		}, "a@200 b@200 c@200 d@400"},
		{"dropped piece", func(start func(string, time.Duration) timer.Cancel, _ *Pool, clock *timer.Virtual) {
			start("a", 100*time.Millisecond)
			start("b", 100*time.Millisecond)
			drop := start("c", 100*time.Millisecond)
			clock.Advance(75 * time.Millisecond)
			drop()
		}, "a@125 b@125"},
		{"slowdown while it runs", func(start func(string, time.Duration) timer.Cancel, p *Pool, clock *timer.Virtual) {
			start("a", 100*time.Millisecond)
			clock.Advance(50 * time.Millisecond)
			p.Slow(4)
		}, "a@250"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(0, 0))
			p := NewPool(clock, 2)
			ends := make(map[string]int64)
			start := func(name string, work time.Duration) timer.Cancel {
				return p.Start(work, func() { ends[name] = clock.Now().UnixMilli() })
			}
			tt.run(start, p, clock)
			clock.Advance(time.Second)
			var got []string
			for _, name := range []string{"a", "b", "c", "d"} {
				if at, ok := ends[name]; ok {
					got = append(got, fmt.Sprintf("%s@%d", name, at))
				}
			}
			if diff := cmp.Diff(tt.want, strings.Join(got, " ")); diff != "" {
				t.Errorf("ends (-want +got):\n%s", diff)
			}
			if p.Len() != 0 {
				t.Errorf("%d pieces left", p.Len())
			}
		})
	}
}
