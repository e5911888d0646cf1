package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Times of the measurements on virtual time.
const (
	settle = 20 * time.Second
	during = 20 * time.Second
	// patchPeriod is the time between patches at 4,100 a day.
	patchPeriod = 24 * time.Hour / patches
)

func startFleet(zones, perZone int) *fleet.Fleet {
	f := fleet.New(7, zones, perZone)
	f.SetKV(f.Entries, world.KVFaults{})
	f.StartAll()
	f.Timer.Advance(settle)
	return f
}

// gossipBytes is what an entry sends a second for membership, on average.
func gossipBytes(zones, perZone int) float64 {
	f := startFleet(zones, perZone)
	before := sent(f)
	f.Timer.Advance(during)
	return float64(sent(f)-before) / during.Seconds() / float64(len(f.Entries))
}

func sent(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Entries {
		n += e.Sent.Bytes
	}
	return n
}

// memberShare is the processor time of an entry's membership and configuration
// parts, with its share of that of the stand-ins.
func memberShare(perZone int) (float64, error) {
	f := startFleet(2, perZone)
	return share(f.Timer.Advance) / float64(len(f.Entries)), nil
}

// configWatch is the configuration's KV calls a second at 4,100 patches a day.
func configWatch(zones int) (float64, error) {
	const changes = 4
	f := startFleet(zones, 4)
	before := f.Calls()
	for i := range changes {
		e := f.Entries[i%len(f.Entries)]
		base := e.Version()
		answer := f.Patch(e, config.Patch{ID: fmt.Sprintf("p%d", i), Base: base, Author: "operator", Set: config.Items{
			Services: map[string]config.Service{fmt.Sprintf("s%d", i): {Kind: config.KindModel, Class: config.ClassInteractive}},
		}})
		if answer.Err != nil {
			return 0, trace.Wrap(answer.Err, "patch %d in %d zones", i, zones)
		}
		took, _ := f.Spread(f.Entries, answer.Version, patchPeriod)
		f.Timer.Advance(patchPeriod - took)
	}
	after, calls := f.Calls(), 0
	for kind, n := range after {
		calls += n - before[kind]
	}
	return float64(calls) / (changes * patchPeriod.Seconds()), nil
}

// dayWrites is the writes a second of the day rows of all entries while each
// counts something all the time.
func dayWrites(entries int) (float64, error) {
	clock := timer.NewVirtual(start)
	store := kvmem.NewStore(clock)
	random := rand.New(rand.NewPCG(1, 1))
	members := make([]ports.Member, entries)
	var connections []*world.KV
	for i := range entries {
		recorder := daily.NewRecorder(clock, time.UTC)
		timer.Every(clock, 100*time.Millisecond, func() { recorder.Served("supper-assist", config.ClassInteractive) })
		kv := world.NewKV(store, clock, random)
		connections = append(connections, kv)
		writer := daily.NewWriter(daily.Settings{Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1, Location: time.UTC}, recorder, random)
		loop := drive.NewLoop(writer, ports.Env{KV: kv, Timer: clock})
		loop.Post(daily.MembersChanged{Members: members})
		loop.Post(daily.Start{})
	}
	writes := func() int {
		n := 0
		for _, kv := range connections {
			n += kv.Calls()["write"]
		}
		return n
	}
	clock.Advance(time.Second)
	before := writes()
	clock.Advance(time.Minute)
	return float64(writes()-before) / time.Minute.Seconds(), nil
}
