package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestBytes guards against messages that exceed an instance's link: snapshots and reports
// of a busy fleet together must stay below 11 KB per second.
func TestBytes(t *testing.T) {
	const reportInterval = 350 * time.Millisecond
	for _, c := range []struct{ instances, targets, models, perSecond, inFlight int }{
		{84, 140, 60, 4700, 4000},
		{300, 1200, 290, 17000, 30000},
		{1000, 4000, 970, 56000, 100000},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		x, s := NewIndex(), NewSums(7, NewIndex())
		for i := range c.targets {
			x.Assign(fmt.Sprint(i), 48)
		}
		now, size := start, 0
		for step := range 6 {
			now = start.Add(time.Duration(step) * reportInterval)
			for m := range c.models {
				s.AddArrivals(now, Model{Service: "llm", Model: fmt.Sprintf("mixa22b%03d", m)}, c.perSecond/c.models/3)
			}
			for i := range c.instances {
				own := Own{InFlight: make([]int, c.targets+1)}
				for range c.inFlight / c.instances {
					own.InFlight[1+random.IntN(c.targets)]++
				}
				for at := range c.targets {
					if own.InFlight[at+1] > 0 {
						var f Figures
						f.Add(0.5 + 2*random.Float64())
						own.AddPace(at+1, f, Told)
					}
				}
				v := NewView(now)
				v.SetTerm(7)
				r := v.Report(now, &own)
				s.Record(now, fmt.Sprint(i), &r)
				data, err := json.Marshal(r)
				if err != nil {
					t.Fatal(err)
				}
				size = len(data)
			}
		}
		snap := s.Snapshot(now, "0")
		data, err := json.Marshal(snap)
		if err != nil {
			t.Fatal(err)
		}
		interval := snapshotInterval(snap)
		perSecond := float64(len(data))/interval.Seconds() + float64(size)/reportInterval.Seconds()
		t.Logf("%d instances: snapshot of %d bytes each %s, report of %d bytes, %.0f bytes/s", c.instances, len(data), interval, size, perSecond)
		if perSecond > 11_000 || interval > 1500*time.Millisecond {
			t.Errorf("%d instances: %.0f bytes/s, interval %s", c.instances, perSecond, interval)
		}
	}
}
