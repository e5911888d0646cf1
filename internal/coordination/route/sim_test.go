package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// The simulation has eight entries and twelve replicas of eight slots, both spread over two
// zones of one region and one zone of another. Load reports are up to half a second old.
const (
	simEntries     = 8
	simReplicas    = 12
	simConcurrency = 8
	simPrefixes    = 400
	// simCache is the number of prefixes that a replica caches.
	simCache  = 60
	simLag    = 500 * time.Millisecond
	simTime   = 60 * time.Second
	simMiss   = 200 * time.Millisecond
	simHit    = 40 * time.Millisecond
	simDecode = 150 * time.Millisecond
)

// simulation sends requests to replicas that serve them in order of arrival.
type simulation struct {
	clock       *timer.Virtual
	random      *rand.Rand
	replicas    []*simReplica
	waits       []time.Duration
	hits        int
	crossRegion int
	served      int
}

// simReplica is a simulated replica.
type simReplica struct {
	// free has the time at which each slot becomes free.
	free  instants
	cache []uint64
	// running are the end times of the requests that the replica has.
	running []time.Time
}

// instants is a heap of times, the earliest first.
type instants []time.Time

func (t instants) Len() int           { return len(t) }
func (t instants) Less(i, j int) bool { return t[i].Before(t[j]) }
func (t instants) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *instants) Push(x any)        { *t = append(*t, x.(time.Time)) }
func (t *instants) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// serve adds a request to a replica and returns when it ends.
func (s *simulation) serve(n int, prefix uint64) time.Time {
	r := s.replicas[n]
	now := s.clock.Now()
	start := heap.Pop(&r.free).(time.Time)
	if start.Before(now) {
		start = now
	}
	first := simMiss
	if i := slices.Index(r.cache, prefix); i >= 0 {
		first = simHit
		s.hits++
		r.cache = slices.Delete(r.cache, i, i+1)
	} else if len(r.cache) >= simCache {
		r.cache = r.cache[1:]
	}
	r.cache = append(r.cache, prefix)
	decode := time.Duration(float64(simDecode) * (0.5 + s.random.Float64()))
	end := start.Add(first + decode)
	heap.Push(&r.free, end)
	r.running = append(slices.DeleteFunc(r.running, func(t time.Time) bool { return t.Before(now) }), end)
	s.waits = append(s.waits, start.Sub(now)+first)
	s.served++
	return end
}

// chooser picks a replica for a request at an entry; done releases the slot.
type chooser func(entry int, prefix uint64) (replica int, done func(took time.Duration))

// simulate sends requests at a rate of load times the capacity of the replicas without cache
// hits.
func simulate(load float64, seed uint64, choose func(*simulation) chooser) *simulation {
	s := &simulation{clock: timer.NewVirtual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(seed, 2))}
	for range simReplicas {
		r := &simReplica{free: make(instants, simConcurrency)}
		s.replicas = append(s.replicas, r)
	}
	pick := choose(s)
	zipf := rand.NewZipf(s.random, 1.1, 4, simPrefixes-1)
	capacity := simReplicas * simConcurrency / (simMiss + simDecode).Seconds()
	end := s.clock.Now().Add(simTime)
	for s.clock.Now().Before(end) {
		entry, prefix := s.random.IntN(simEntries), zipf.Uint64()+1
		n, done := pick(entry, prefix)
		if (n%3 == 2) != (entry%3 == 2) {
			s.crossRegion++
		}
		began := s.clock.Now()
		finish := s.serve(n, prefix)
		s.clock.After(finish.Sub(began), func() { done(finish.Sub(began)) })
		s.clock.Advance(time.Duration(s.random.ExpFloat64() / (load * capacity) * float64(time.Second)))
	}
	slices.Sort(s.waits)
	return s
}

func (s *simulation) String() string {
	at := func(p float64) time.Duration { return s.waits[int(p*float64(len(s.waits)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("first token p50 %v p95 %v p99 %v, prefix hits %2.0f %%, over the link %2.0f %%",
		at(.5), at(.95), at(.99), 100*float64(s.hits)/float64(s.served), 100*float64(s.crossRegion)/float64(s.served))
}

// roundRobin returns the baseline: each entry picks the replicas in turn.
func roundRobin(*simulation) chooser {
	next := make([]int, simEntries)
	return func(entry int, _ uint64) (int, func(time.Duration)) {
		next[entry]++
		return (next[entry] + 5*entry) % simReplicas, func(time.Duration) {}
	}
}

// tableChooser returns a chooser that picks with a table at each entry, updated by load reports
// that lag. If usePrefix, queries have the prompt's prefix.
func tableChooser(usePrefix bool) func(*simulation) chooser {
	return func(s *simulation) chooser {
		var entries []*route.Table
		zones := [][2]string{{"bul-a", "bulacan"}, {"bul-b", "bulacan"}, {"pam-a", "pampanga"}}
		for e := range simEntries {
			t := route.NewTable(zones[e%3][0], zones[e%3][1], s.clock, uint64(e))
			var rows []ports.Replica
			for i := range simReplicas {
				z := zones[i%3]
				rows = append(rows, row(fmt.Sprint(i), in(z[0], z[1]), func(r *ports.Replica) { r.Concurrency = simConcurrency }))
			}
			t.Apply("s", ports.TableDelta{Stream: 1, Seq: 1, Replicas: rows})
			entries = append(entries, t)
		}
		timer.Every(s.clock, simLag, func() { s.report(entries) })
		return func(e int, prefix uint64) (int, func(time.Duration)) {
			q := route.Query{Key: "m"}
			if usePrefix {
				q.Prefix = prefix
			}
			c, status := entries[e].Pick(q, s.clock.Now())
			if status != route.Picked {
				// An entry would queue the request; the simulation queues it at a random
				// replica instead.
				return s.random.IntN(simReplicas), func(time.Duration) {}
			}
			n := 0
			if _, err := fmt.Sscan(c.Replica.ID, &n); err != nil {
				panic(err)
			}
			return n, func(took time.Duration) { c.Release(s.clock.Now(), route.Result{Duration: took}) }
		}
	}
}

// report applies the current load of all replicas to the table of every entry. The report is
// half a second old by the time of the next one.
func (s *simulation) report(entries []*route.Table) {
	now := s.clock.Now()
	for i, r := range s.replicas {
		running := 0
		for _, end := range r.running {
			if end.After(now) {
				running++
			}
		}
		for _, t := range entries {
			t.ApplyLoad("t-"+fmt.Sprint(i), false, 0, []route.Load{{Replica: fmt.Sprint(i), Running: running}})
		}
	}
}

// TestRoutingTrial compares routing by the table with round robin: it has to have more prefix
// hits and send less over the link, and first tokens must not be late while slots are free.
func TestRoutingTrial(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		base := simulate(load, 1, roundRobin)
		blind := simulate(load, 1, tableChooser(false))
		ours := simulate(load, 1, tableChooser(true))
		t.Logf("load %2.0f %%: round robin     %s", 100*load, base)
		t.Logf("load %2.0f %%: without prefix  %s", 100*load, blind)
		t.Logf("load %2.0f %%: here            %s", 100*load, ours)
		if ours.hits <= base.hits {
			t.Errorf("no more prefix hits than round robin at load %.1f", load)
		}
		if ours.crossRegion >= base.crossRegion {
			t.Errorf("no less over the link than round robin at load %.1f", load)
		}
		if wait := ours.waits[len(ours.waits)*95/100]; wait > 2*simMiss {
			t.Errorf("first token after %v at p95 at load %.1f, though the replicas have free slots", wait, load)
		}
	}
}
