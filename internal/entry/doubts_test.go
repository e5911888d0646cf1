package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// TestDoubts plays what demands and pulls tell of one zone.
func TestDoubts(t *testing.T) {
	const zone = "zone/pam-a"
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name string
		play func(d *doubts, pass func(time.Duration))
		want bool
	}{
		{"nothing heard", func(*doubts, func(time.Duration)) {}, false},
		{"no answer", func(d *doubts, _ func(time.Duration)) { d.raise(zone) }, true},
		{"failed pull alone", func(d *doubts, _ func(time.Duration)) { d.renew(zone) }, false},
		{"answer after none", func(d *doubts, _ func(time.Duration)) { d.raise(zone); d.clear(zone) }, false},
		{"long ago", func(d *doubts, pass func(time.Duration)) { d.raise(zone); pass(doubtFor) }, false},
		{"long ago, pulls fail since", func(d *doubts, pass func(time.Duration)) {
			d.raise(zone)
			for range 5 {
				pass(pullWait + pullRetry + 2*time.Second)
				d.renew(zone)
			}
		}, true},
	} {
		clock := timer.NewVirtual(start)
		d := newDoubts(clock)
		c.play(d, clock.Advance)
		if got := d.has(zone); got != c.want {
			t.Errorf("%s: doubtful %t, want %t", c.name, got, c.want)
		}
	}
}

func TestLast(t *testing.T) {
	got := last([]string{"pam-a", "bul-a", "pam-b", "bul-b"}, func(zone string) bool { return zone[:3] == "pam" })
	if diff := cmp.Diff([]string{"bul-a", "bul-b", "pam-a", "pam-b"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
