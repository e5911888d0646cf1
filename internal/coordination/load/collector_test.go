package load

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Times of the world of TestLoadOverRelays.
const (
	worldStep     = 50 * time.Millisecond
	worldTargets  = 3
	worldChildren = 4
	worldRelays   = 2
	worldInterval = 350 * time.Millisecond
	// worldOdds is one less than the odds of each change.
	worldOdds = 19
	// worldSpread is by how much the age of a report may differ from the mean without
	// failures: that of a child at its relay and of the relay at the holder.
	worldSpread = 2 * worldInterval
)

// worldInstance is an instance with the history of its requests in flight, one entry a step.
type worldInstance struct {
	instance
	collector *Collector
	position  int
	history   [][]int
	// relay is the position of the relay of a child, -1 for a relay itself.
	relay   int
	movedAt time.Time
	sentAt  time.Time
	// others is what the instance believes, at the age that it believes.
	others [worldTargets + 1]int
}

// relayWorld is a holder, relays and their children.
type relayWorld struct {
	t    *rapid.T
	now  time.Time
	sums *Sums
	all  []*worldInstance
	// fails means that messages are lost and relays are down at times.
	fails bool
	// isDown makes relays neither send nor reply.
	isDown [worldRelays]bool
}

func newRelayWorld(t *rapid.T) *relayWorld {
	w := &relayWorld{t: t, now: start, sums: NewSums(7, NewIndex()), fails: rapid.Bool().Draw(t, "fails")}
	for i := range worldRelays + worldChildren {
		x := &worldInstance{instance: *newInstance(fmt.Sprint("i", i), make([]int, worldTargets)...), collector: NewCollector(), position: i, relay: -1}
		if i >= worldRelays {
			x.relay = i % worldRelays
		}
		w.all = append(w.all, x)
	}
	return w
}

// step lets time pass, changes loads and relays, and has the instances send what is due.
func (w *relayWorld) step() {
	draw := rapid.IntRange(0, worldOdds)
	for _, x := range w.all {
		if draw.Draw(w.t, "change") == 0 {
			x.inFlight[1+draw.Draw(w.t, "target")%worldTargets] = draw.Draw(w.t, "count")
		}
	}
	if w.fails && draw.Draw(w.t, "toggle") == 0 {
		i := draw.Draw(w.t, "relay") % worldRelays
		w.isDown[i] = !w.isDown[i]
	}
	w.sendDue(func() int {
		if !w.fails {
			return worldOdds
		}
		return draw.Draw(w.t, "lost")
	})
}

// sendDue lets one step pass and has the instances send what is due, each with its luck.
func (w *relayWorld) sendDue(luck func() int) {
	w.now = w.now.Add(worldStep)
	for _, x := range w.all {
		x.history = append(x.history, slices.Clone(x.inFlight))
	}
	for _, x := range w.all {
		isDown := x.relay < 0 && w.isDown[x.position]
		if w.now.Sub(x.sentAt) >= worldInterval && !isDown {
			x.sentAt = w.now
			w.send(x, luck())
		}
	}
}

// send sends an instance's report. The message is lost if luck is 0, the reply if it is 1.
func (w *relayWorld) send(x *worldInstance, luck int) {
	r := x.collector.Sum(w.now, x.Report(w.now, &Own{InFlight: x.inFlight}))
	if luck == 0 {
		return
	}
	var s *Snapshot
	switch {
	case x.relay < 0:
		w.sums.Record(w.now, x.name, &r)
		s = w.sums.Snapshot(w.now, x.name)
	case w.isDown[x.relay]:
		// The same report goes to the other relay.
		x.relay, x.movedAt = (x.relay+1)%worldRelays, w.now
		if w.isDown[x.relay] {
			return
		}
		fallthrough
	default:
		c := w.all[x.relay].collector
		c.Put(w.now, x.name, &r)
		s = c.Snapshot(w.now, x.name, 7)
	}
	if s == nil || luck == 1 {
		return
	}
	x.collector.SetSnapshot(7, s, w.now)
	if others, ok := x.Apply(s, w.now); ok {
		clear(x.others[:])
		copy(x.others[:], others)
		w.check(x)
	}
}

// check compares what an instance believes with the loads that the others had at that time.
func (w *relayWorld) check(x *worldInstance) {
	age, _ := x.Age(w.now)
	from, to := age+worldSpread, max(age-worldSpread, 0)
	if w.fails {
		from, to = age+MaxAge, 0
	}
	for target := 1; target <= worldTargets; target++ {
		least, most := 0, 0
		for _, y := range w.all {
			low, high := y.bounds(target, from, to)
			isTwice := w.now.Sub(y.movedAt) <= age+MaxAge
			switch {
			case y != x && isTwice:
				most += 2 * high
			case y != x || isTwice:
				most += high
			}
			if y != x && !w.fails {
				least += low
			}
		}
		if got := x.others[target]; got < least || got > most {
			w.t.Fatalf("%s believes %d of the others at target %d at age %s; they had %d to %d", x.name, got, target, age, least, most)
		}
	}
}

// bounds returns the lowest and highest requests in flight between two ages.
func (x *worldInstance) bounds(target int, from, to time.Duration) (low, high int) {
	n := len(x.history)
	recent := x.history[max(n-1-int(from/worldStep), 0):max(n-int(to/worldStep), 1)]
	low = recent[0][target]
	for _, counts := range recent {
		low, high = min(low, counts[target]), max(high, counts[target])
	}
	return low, high
}

// TestLoadOverRelays guards against requests that are counted for another instance, twice
// or under a wrong age when reports and snapshots pass through relays, with lost messages
// and relays that fail. Once the loads rest, what every instance believes of the others is
// their true sum.
func TestLoadOverRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const restSteps = int(5 * time.Second / worldStep)
		w := newRelayWorld(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			w.step()
		}
		w.isDown = [worldRelays]bool{}
		for range restSteps {
			w.sendDue(func() int { return worldOdds })
		}
		for _, x := range w.all {
			var want [worldTargets + 1]int
			for _, y := range w.all {
				for i, n := range y.inFlight {
					if y != x {
						want[i] += n
					}
				}
			}
			if diff := cmp.Diff(want, x.others); diff != "" {
				t.Fatalf("%s at rest (-want +got):\n%s", x.name, diff)
			}
		}
	})
}

// TestSnapshotForChild guards against a snapshot from which a child would subtract what the
// sums do not contain, or whose age is that at the relay's own question, and against one
// that is sent twice.
func TestSnapshotForChild(t *testing.T) {
	c := NewCollector()
	put := func(at time.Duration, from string, term int64, seq uint64) {
		c.Put(start.Add(at), from, &Report{Term: term, Seq: seq, Counts: newCounts([]int{0, 2}), Told: newCounts([]int{0, int(100 * seq)})})
	}
	put(0, "a", 7, 1)
	put(0, "former term", 6, 1)
	got := []Report{c.Sum(start.Add(300*time.Millisecond), Report{Term: 7, Seq: 50, Counts: newCounts([]int{0, 1})})}
	put(400*time.Millisecond, "a", 7, 3)
	put(400*time.Millisecond, "a", 7, 2)
	put(400*time.Millisecond, "new", 7, 4)
	c.SetSnapshot(7, &Snapshot{Seq: 50, AgeMS: 150}, start.Add(300*time.Millisecond))
	var answers []string
	ask := func(at time.Duration, to string, term int64) {
		answers = append(answers, "none")
		if s := c.Snapshot(start.Add(at), to, term); s != nil {
			answers[len(answers)-1] = fmt.Sprint(s.Seq, " ", s.AgeMS)
		}
	}
	ask(500*time.Millisecond, "new", 7)
	ask(500*time.Millisecond, "former term", 7)
	ask(500*time.Millisecond, "a", 8)
	ask(300*time.Millisecond+MaxAge, "a", 7)
	ask(500*time.Millisecond, "a", 7)
	ask(500*time.Millisecond, "a", 7)
	if diff := cmp.Diff([]string{"none", "none", "none", "none", "1 350", "none"}, answers); diff != "" {
		t.Errorf("number and age (-want +got):\n%s", diff)
	}
	got = append(got, c.Sum(start.Add(500*time.Millisecond), Report{Term: 7, Seq: 51}))
	want := []Report{
		{Term: 7, Seq: 50, Counts: newCounts([]int{0, 3}), Told: newCounts([]int{0, 100}), Instances: 2, AgeMS: 150},
		{Term: 7, Seq: 51, Counts: newCounts([]int{0, 4}), Told: newCounts([]int{0, 350}), Instances: 3, AgeMS: 67},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// TestRelayReportsWaitingTeams guards against a relay that does not pass on which teams wait,
// so that a team beyond its share would not be held back for those behind the relay.
func TestRelayReportsWaitingTeams(t *testing.T) {
	c, now := NewCollector(), time.Unix(1_000_000, 0)
	child := Report{Term: 1, Seq: 1, Waiting: Waiting{"llm": {"m1": "a", "m2": "a"}}}
	c.Put(now, "child", &child)
	got := c.Sum(now, Report{Term: 1, Seq: 1, Waiting: Waiting{"llm": {"m1": "b"}}})
	want := Waiting{"llm": {"m1": severalTeams, "m2": "a"}}
	if diff := cmp.Diff(want, got.Waiting); diff != "" {
		t.Errorf("waiting teams (-want +got):\n%s", diff)
	}
}
