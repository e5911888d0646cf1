package cfglog_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/stand/seeds"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

func TestMain(m *testing.M) { seeds.Main(m, 1) }

// randomFleet applies random actions to a fleet; the fleet's oracle checks the invariants
// at every step.
type randomFleet struct {
	fleet      *fleet.Fleet
	patchCount int
	// requests counts the requests for each patch by its ID; refused holds the errors of
	// patches that were certainly not accepted.
	requests map[string]int
	refused  map[string]string
	sent     map[string]config.Patch
	patchIDs []string
}

func newRandomFleet(seed uint64, opts ...fleet.Option) *randomFleet {
	f := fleet.New(seed, 3, 2, opts...)
	f.SetKV(f.Entries, noFaults)
	f.StartAll()
	f.Timer.Advance(10 * time.Second)
	return &randomFleet{fleet: f, requests: map[string]int{}, refused: map[string]string{}, sent: map[string]config.Patch{}}
}

func (m *randomFleet) entry(t *rapid.T) *fleet.Entry {
	return m.fleet.Entries[rapid.IntRange(0, len(m.fleet.Entries)-1).Draw(t, "entry")]
}

func (m *randomFleet) group(t *rapid.T) []*fleet.Entry {
	if z := rapid.IntRange(-1, 2).Draw(t, "zone"); z >= 0 {
		return m.fleet.Zone(z)
	}
	return m.fleet.Entries
}

func (m *randomFleet) ask(e *fleet.Entry, p config.Patch) {
	if !e.Running() {
		return
	}
	m.requests[p.ID]++
	e.Ask(p, func(a cfglog.PatchAnswered) {
		if isNotAccepted(a.Err) {
			m.refused[p.ID] = a.Err.Error()
		}
	})
}

func isNotAccepted(err error) bool {
	var unavailable *cfglog.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.Outcome == cfglog.OutcomeNotAccepted
	}
	return err != nil
}

func (m *randomFleet) patch(t *rapid.T) {
	e := m.entry(t)
	back := config.Version(rapid.IntRange(0, 1).Draw(t, "back"))
	m.patchCount++
	id := fmt.Sprintf("p%d", m.patchCount)
	p := patchOf(id, e.Version()-min(back, e.Version()))
	m.sent[id] = p
	m.patchIDs = append(m.patchIDs, id)
	m.ask(e, p)
}

// repeat sends a patch again with the same ID, to any entry and possibly on a newer base.
func (m *randomFleet) repeat(t *rapid.T) {
	if len(m.patchIDs) == 0 {
		return
	}
	p := m.sent[rapid.SampledFrom(m.patchIDs).Draw(t, "patch")]
	e := m.entry(t)
	if rapid.Bool().Draw(t, "rebased") {
		p.Base = e.Version()
	}
	m.ask(e, p)
}

// race sends patches on the same base from several operators at once.
func (m *randomFleet) race(t *rapid.T) {
	base := m.fleet.Oracle.Newest()
	for range rapid.IntRange(2, 8).Draw(t, "operators") {
		m.patchCount++
		id := fmt.Sprintf("p%d", m.patchCount)
		m.sent[id] = patchOf(id, base)
		m.patchIDs = append(m.patchIDs, id)
		m.ask(m.entry(t), m.sent[id])
	}
}

func (m *randomFleet) wait(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, 12 * time.Second, time.Minute})
	m.fleet.Timer.Advance(d.Draw(t, "wait"))
}

func (m *randomFleet) faults(t *rapid.T) {
	m.fleet.SetKV(m.group(t), rapid.SampledFrom([]world.KVFaults{
		{}, {Down: true}, {LoseAnswers: 0.3}, {LoseAnswers: 1}, {Latency: 2 * time.Second}, {Latency: 2 * time.Second, LoseAnswers: 0.5},
	}).Draw(t, "faults"))
}

func (m *randomFleet) cut(t *rapid.T) {
	cut := rapid.Bool().Draw(t, "cut")
	zone := m.fleet.Zone(rapid.IntRange(0, 2).Draw(t, "zone"))
	if rapid.Bool().Draw(t, "oneWay") {
		m.fleet.Net.Cut(zone[0].Self.Addr, m.entry(t).Self.Addr, cut)
		return
	}
	m.fleet.Cut(zone, m.fleet.Entries, cut)
}

func (m *randomFleet) restart(t *rapid.T) {
	for _, e := range m.group(t) {
		e.Start()
	}
}

func (m *randomFleet) kill(t *rapid.T) { m.entry(t).Stop() }

func (m *randomFleet) freeze(t *rapid.T) { m.entry(t).Freeze() }

func (m *randomFleet) thaw(t *rapid.T) { m.entry(t).Thaw() }

// slow delays every message by a different time, so that replies arrive out of order.
func (m *randomFleet) slow(t *rapid.T) {
	most := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 3 * time.Second}).Draw(t, "most")
	n := time.Duration(0)
	m.fleet.Net.Delay = func(_, _ netip.AddrPort) time.Duration {
		n += 7 * time.Millisecond
		return n % max(most, 1)
	}
}

// late makes the writes of an entry take effect long after their replies count as lost.
func (m *randomFleet) late(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{0, 700 * time.Millisecond, 8 * time.Second}).Draw(t, "by")
	m.entry(t).Late = func(req ports.KVRequest) time.Duration {
		if _, write := req.(ports.KVPut); write {
			return by
		}
		return 0
	}
}

// check fails the test if the oracle has found an error.
func (m *randomFleet) check(t *rapid.T) {
	for _, e := range m.fleet.Oracle.Errors {
		t.Fatal(e)
	}
}

// checkSettled ends all faults and checks that one more patch comes into force
// everywhere, and that no patch took effect that was reported as not accepted.
func (m *randomFleet) checkSettled(t *rapid.T) {
	f := m.fleet
	f.SetKV(f.Entries, noFaults)
	f.Cut(f.Entries, f.Entries, false)
	f.Net.Delay = nil
	for _, e := range f.Entries {
		e.Late = nil
		e.Thaw()
		if !e.Running() {
			e.Start()
		}
	}
	f.Timer.Advance(time.Minute)
	base := f.Oracle.Newest()
	answer := f.Patch(f.Entries[0], patchOf("last", base))
	if answer.Err != nil {
		t.Fatalf("last patch: %v", answer.Err)
	}
	if took, ok := f.Spread(f.Entries, answer.Version, maxSpreadTime); !ok {
		t.Fatalf("version %d is not in force everywhere after %s", answer.Version, took)
	}
	m.check(t)
	for id, why := range m.refused {
		if v, ok := f.Oracle.Logged(id); ok && m.requests[id] == 1 {
			t.Fatalf("patch %s was refused (%s) but is version %d", id, why, v)
		}
	}
}

func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Half of the runs keep so few versions that they use snapshots, trimmed logs and
		// whole configurations from peers.
		opts := []fleet.Option{fleet.WithListLag(30 * time.Second)}
		if rapid.Bool().Draw(t, "keepLittle") {
			opts = append(opts, fleet.WithRetention(3, 24, 4))
		}
		m := newRandomFleet(uint64(rapid.IntRange(1, 1000).Draw(t, "seed")), opts...)
		t.Repeat(map[string]func(*rapid.T){
			"patch": m.patch, "repeat": m.repeat, "race": m.race, "wait": m.wait, "waitMore": m.wait, "faults": m.faults,
			"cut": m.cut, "restart": m.restart, "kill": m.kill, "freeze": m.freeze, "thaw": m.thaw, "slow": m.slow, "late": m.late, "": m.check,
		})
		m.checkSettled(t)
	})
}
