package slope

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// shardRun is one owner of one shard before targets, on virtual time.
type shardRun struct {
	clock  *timer.Virtual
	kv     *world.KV
	loop   *drive.Loop
	shard  *owner.Shard
	models int
	asks   uint64
	loads  int
}

const zone, region = "bul-a", "bulacan"

// newShardRun starts an owner before targets that hold one replica each, with
// two models for each target.
func newShardRun(targets int) *shardRun {
	clock := timer.NewVirtual(start)
	r := &shardRun{clock: clock, models: 2 * targets}
	net := world.NewNet(clock, time.Millisecond)
	var rows []ports.Instance
	for i := range targets {
		row := ports.Instance{
			ID: fmt.Sprintf("target-%04d", i), Kind: ports.InstanceTarget, Zone: zone, Region: region,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		}
		rows = append(rows, row)
		net.AddEngine(row.Addr, engmem.NewEngine(row.ID, "boot-1", 24*gib, func(_ string, tier ports.Tier, done func(error)) {
			r.loads++
			clock.After(engmem.LoadTime(tier, 8*time.Second), func() { done(nil) })
		}))
	}
	self := ports.Member{
		ID: "entry-1", Incarnation: 1, Zone: zone, Region: region, Phase: ports.MemberAlive,
		Addr: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	r.kv = world.NewKV(kvmem.NewStore(clock), clock, rand.New(rand.NewPCG(1, 1)))
	r.kv.SetFaults(world.KVFaults{Latency: 4 * time.Millisecond})
	r.shard = owner.New(owner.Settings{Self: self, Zone: zone, Region: region},
		policy.Plain(policy.WithKeepAlive(time.Minute)), rand.New(rand.NewPCG(1, 2)))
	side := net.From(self.Addr)
	r.loop = drive.NewLoop(r.shard, ports.Env{KV: r.kv, Engine: side, Peers: side, Timer: clock})
	r.loop.Post(owner.ConfigChanged{Config: configOf(r.models)})
	r.loop.Post(owner.Start{})
	r.loop.Post(owner.MembersChanged{Members: []ports.Member{self}})
	r.loop.Post(owner.TargetsChanged{Targets: rows})
	timer.Every(clock, 2*time.Second, func() { r.loop.Post(owner.TargetsChanged{Targets: rows}) })
	clock.Advance(settle)
	return r
}

func (r *shardRun) calls() int {
	n := 0
	for _, c := range r.kv.Calls() {
		n += c
	}
	return n
}

const idleTime = 5 * time.Minute

// idleCalls is the owner's KV calls a second with nothing to decide.
func idleCalls(targets int) (float64, error) {
	r := newShardRun(targets)
	before := r.calls()
	r.clock.Advance(idleTime)
	return float64(r.calls()-before) / idleTime.Seconds(), nil
}

// share returns the processor time of advancing virtual time, in percent of a
// core that does this all the time.
func share(advance func(time.Duration)) float64 {
	const span = time.Minute
	begin := time.Now()
	advance(span)
	return 100 * time.Since(begin).Seconds() / span.Seconds()
}

// ownerShare is the processor time of an owner with nothing to decide, with
// that of the stand-ins for targets and KV service.
func ownerShare(targets int) (float64, error) {
	return share(newShardRun(targets).clock.Advance), nil
}

// loadCalls is the owner's KV calls for one model that wakes up and falls idle,
// beyond those that it makes with nothing to decide.
func loadCalls(targets int) (float64, error) {
	idle, err := idleCalls(targets)
	if err != nil {
		return 0, err
	}
	const wakes, apart = 30, 10 * time.Second
	r := newShardRun(targets)
	before, began := r.calls(), r.clock.Now()
	for i := range wakes {
		r.asks++
		r.loop.Post(owner.DemandAsked{ID: r.asks, Demand: ports.Demand{
			Model: fmt.Sprintf("model-%05d", i%r.models), Class: config.ClassInteractive, Waiting: 1, Within: 30 * time.Second, From: "entry-1", Zone: zone,
		}})
		r.clock.Advance(apart)
	}
	r.clock.Advance(idleTime)
	if r.loads == 0 {
		return 0, trace.Errorf("the shard's owner loaded nothing before %d targets", targets)
	}
	took := r.clock.Now().Sub(began).Seconds()
	return (float64(r.calls()-before) - idle*took) / float64(r.loads), nil
}
