package daily

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// noticed is how long the others take to see that an instance came or went.
const noticed = 2 * time.Second

// zone is a fleet whose instances keep each other's counts.
type zone struct {
	*fleet
	net  *world.Net
	kins []*kin
}

// kin is an instance with its teller and its keeper.
type kin struct {
	*instance
	zone    *zone
	at      netip.AddrPort
	telling *Telling
	keeper  *drive.Loop
	asks    map[uint64]func(ports.PeerReply)
	asked   uint64
	// kept is what each neighbour has confirmed to keep.
	kept map[*kin]map[Date]tally
	// seen is the largest total that its rows have shown.
	seen     map[Date]uint64
	isolated bool
}

func newZone(seed uint64, start time.Time) *zone {
	z := &zone{fleet: newFleet(seed, start)}
	z.net = world.NewNet(z.clock, time.Millisecond)
	return z
}

// join starts an instance, in place of the one of that name if there is one.
func (z *zone) join(id string) *kin {
	for _, k := range z.living() {
		if k.id == id {
			k.die()
		}
	}
	k := &kin{
		instance: z.launch(id), zone: z, asks: make(map[uint64]func(ports.PeerReply)),
		kept: make(map[*kin]map[Date]tally), seen: make(map[Date]uint64),
	}
	k.at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(z.kins)))
	k.keeper = drive.NewLoop(NewKeeper(), ports.Env{KV: k.kv, Timer: z.clock}, drive.WithListener(func(v any) {
		answer := v.(TellAnswered)
		done := k.asks[answer.ID]
		delete(k.asks, answer.ID)
		done(ports.PeerReply{Msg: answer.Reply, Err: answer.Err})
	}))
	z.net.AddPeer(k.at, func(msg ports.PeerMessage, done func(ports.PeerReply)) {
		k.asked++
		k.asks[k.asked] = done
		k.keeper.Post(TellArrived{ID: k.asked, Tell: msg.(ports.TellCounts)})
	})
	k.telling = NewTelling(NewTeller(k.member(), k.writer.Nonce(), k.recorder), ports.Env{Peers: k, Timer: z.clock})
	k.telling.Start()
	z.kins = append(z.kins, k)
	z.clock.After(noticed, z.spread)
	return k
}

func (k *kin) member() ports.Member {
	return ports.Member{ID: k.id, Incarnation: k.incarnation, Zone: "bul-a", Addr: k.at, Phase: ports.MemberAlive}
}

// Send passes a message on and notes what its receiver confirms to keep.
func (k *kin) Send(to netip.AddrPort, msg ports.PeerMessage, done func(ports.PeerReply)) {
	counted := make(map[Date]tally)
	for date, c := range k.counted {
		counted[date] = c
	}
	k.zone.net.From(k.at).Send(to, msg, func(r ports.PeerReply) {
		reply, ok := r.Msg.(ports.TellReply)
		if ok && !reply.Resend && k.killed.IsZero() && len(msg.(ports.TellCounts).Counts) > 0 {
			k.kept[k.zone.kin(to)] = counted
		}
		done(r)
	})
}

func (z *zone) kin(at netip.AddrPort) *kin {
	for _, k := range z.kins {
		if k.at == at {
			return k
		}
	}
	return nil
}

func (z *zone) living() []*kin {
	var living []*kin
	for _, k := range z.kins {
		if k.killed.IsZero() {
			living = append(living, k)
		}
	}
	return living
}

// spread tells everybody who lives.
func (z *zone) spread() {
	var members []ports.Member
	for _, k := range z.living() {
		members = append(members, k.member())
	}
	for _, k := range z.living() {
		k.telling.SetMembers(members)
	}
}

// do counts n requests and returns whether their answers may be sent at once.
func (k *kin) do(n int) *waiter {
	k.zone.work(k.instance, n)
	return k.telling.end()
}

func (k *kin) die() {
	k.zone.kill(k.instance)
	k.telling.Stop()
	k.keeper.Stop()
	k.zone.net.AddPeer(k.at, nil)
	k.zone.clock.After(noticed, k.zone.spread)
}

// isolate cuts an instance off from everything, as a freeze does, or ends that.
func (k *kin) isolate(cut bool) {
	k.isolated = cut
	k.kv.SetFaults(world.KVFaults{Latency: fleetLatency, Down: cut || k.zone.outage})
	for _, other := range k.zone.kins {
		if other != k {
			k.zone.net.Cut(k.at, other.at, cut || other.isolated)
			k.zone.net.Cut(other.at, k.at, cut || other.isolated)
		}
	}
}

// heal ends all faults and lets everything settle.
func (z *zone) heal() {
	z.net.Delay = nil
	for _, k := range z.living() {
		k.isolate(false)
	}
	z.setFaults(false, 0)
	z.clock.Advance(2 * maxRetryPause)
}

// checkKept requires of each date that the living are counted exactly, and the
// dead with all that a survivor confirmed to keep and nothing twice.
func (z *zone) checkKept(t rapid.TB, date Date) {
	var sum uint64
	for _, k := range z.kins {
		row, _ := z.storedRow(t, k.instance, date)
		got := row.Counts.sum(KindServed) + row.Counts.sum(KindRefused)
		sum += got
		want := k.counted[date]
		most := want.Served + want.Refused
		least := most
		if !k.killed.IsZero() {
			least = k.survives(date)
		}
		if got < least || got > most {
			t.Fatalf("%s-%d has %d outcomes of %s on the page, wanted %d to %d", k.id, k.incarnation, got, date, least, most)
		}
	}
	if report := z.report(date); report.Served+report.Refused != sum {
		t.Fatalf("the page of %s has %d outcomes, its rows %d", date, report.Served+report.Refused, sum)
	}
}

// checkTold requires that without faults every answer waits for a neighbour, and
// not for long.
func (z *zone) checkTold(t rapid.TB) {
	living := z.living()
	if len(living) < 2 {
		return
	}
	for _, k := range living {
		w := k.do(3)
		if w == nil {
			t.Fatalf("%s-%d tells nobody of its outcomes", k.id, k.incarnation)
		}
		z.clock.Advance(5 * time.Millisecond)
		if !released(w) {
			t.Fatalf("%s-%d waits for a neighbour", k.id, k.incarnation)
		}
	}
	z.clock.Advance(2 * noticed)
}

// survives is what living neighbours have confirmed to keep of a dead instance.
func (k *kin) survives(date Date) uint64 {
	var most uint64
	for other, kept := range k.kept {
		if other.killed.IsZero() {
			most = max(most, kept[date].Served+kept[date].Refused)
		}
	}
	return most
}

// checkGrowth requires that no row shows less than it did.
func (z *zone) checkGrowth(t rapid.TB, date Date) {
	for _, k := range z.kins {
		row, _ := z.storedRow(t, k.instance, date)
		got := row.Counts.sum(KindServed) + row.Counts.sum(KindRefused)
		if got < k.seen[date] {
			t.Fatalf("the row of %s-%d went back from %d to %d outcomes", k.id, k.incarnation, k.seen[date], got)
		}
		k.seen[date] = got
	}
}

// TestKeptCountsEqualTheOracle runs a zone through kills, two at once, freezes,
// late and crossed messages, KV outages, lost answers and a midnight.
func TestKeptCountsEqualTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Date(2026, 3, 28, 15, 59, 30, 0, time.UTC)
		z := newZone(rapid.Uint64().Draw(t, "seed"), start)
		for n := range 4 {
			z.join(fmt.Sprintf("e%d", n))
		}
		z.clock.Advance(2 * noticed)
		pick := func() *kin { return rapid.SampledFrom(z.living()).Draw(t, "instance") }
		kill := func(n int) {
			for range n {
				if len(z.living()) > 1 {
					pick().die()
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { z.checkGrowth(t, DateOf(start, z.zone)) },
			"work": func(t *rapid.T) { pick().do(rapid.IntRange(1, 20).Draw(t, "n")) },
			"pass": func(t *rapid.T) {
				z.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"moment": func(t *rapid.T) {
				z.clock.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			},
			"kill":   func(*rapid.T) { kill(1) },
			"two":    func(*rapid.T) { kill(2) },
			"join":   func(*rapid.T) { z.join(fmt.Sprintf("e%d", len(z.kins)%4)) },
			"freeze": func(*rapid.T) { pick().isolate(true) },
			"cut": func(*rapid.T) {
				if from, to := pick(), pick(); from != to {
					z.net.Cut(from.at, to.at, true)
				}
			},
			"thaw":    func(*rapid.T) { pick().isolate(false) },
			"outage":  func(*rapid.T) { z.setFaults(true, 0) },
			"lossy":   func(*rapid.T) { z.setFaults(false, 0.5) },
			"healthy": func(*rapid.T) { z.setFaults(false, 0) },
			"late": func(*rapid.T) {
				z.net.Delay = func(_, _ netip.AddrPort) time.Duration {
					return time.Duration(z.random.IntN(25)) * time.Millisecond
				}
			},
			"prompt": func(*rapid.T) { z.net.Delay = nil },
		})
		z.heal()
		z.checkTold(t)
		for date := DateOf(start, z.zone); !DateOf(z.clock.Now(), z.zone).before(date); date = DateOf(date.End(z.zone), z.zone) {
			z.checkKept(t, date)
		}
	})
}

// TestAnswerEndsAfterItIsKept kills an instance the moment that it may send the
// end of an answer: the page has the outcome, and says who kept it.
func TestAnswerEndsAfterItIsKept(t *testing.T) {
	z := newZone(3, time.Date(2026, 3, 28, 2, 0, 0, 0, time.UTC))
	victim := z.join("e1")
	z.join("e2")
	z.clock.Advance(2 * noticed)
	for range 5 {
		began := z.clock.Now()
		w := victim.do(3)
		if w == nil {
			t.Fatal("the answer may be sent before its outcome is told")
		}
		for !released(w) {
			z.clock.Advance(time.Millisecond)
		}
		if took := z.clock.Now().Sub(began); took > 5*time.Millisecond {
			t.Errorf("the answer was held up for %v, wanted two latencies of 1 ms", took)
		}
	}
	victim.die()
	z.clock.Advance(10 * time.Second)
	date := DateOf(z.clock.Now(), z.zone)
	report := z.report(date)
	got := fmt.Sprintf("served %d refused %d lost %d uncounted %d", report.Served, report.Refused, report.Lost, report.Completeness.Uncounted)
	if diff := cmp.Diff("served 10 refused 5 lost 0 uncounted 0", got); diff != "" {
		t.Errorf("page (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Gap{{"e1-1", "ended without its last row; a neighbour kept its counts up to 10:00:04"}}, report.Completeness.Gaps); diff != "" {
		t.Errorf("gaps (-want +got):\n%s", diff)
	}
}

func released(w *waiter) bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// TestSilentNeighbour freezes the neighbour that keeps an instance's counts:
// another one does soon, and until then nothing waits for it again.
func TestSilentNeighbour(t *testing.T) {
	z := newZone(3, time.Date(2026, 3, 28, 2, 0, 0, 0, time.UTC))
	victim := z.join("e1")
	z.join("e2")
	z.join("e3")
	z.clock.Advance(2 * noticed)
	for other := range keepers(victim) {
		other.isolate(true)
	}
	began := z.clock.Now()
	w := victim.do(3)
	for !released(w) && z.clock.Now().Sub(began) < time.Second {
		z.clock.Advance(time.Millisecond)
	}
	if took := z.clock.Now().Sub(began); took > tellWait {
		t.Errorf("the answer was held up for %v, wanted at most %v", took, tellWait)
	}
	victim.die()
	z.clock.Advance(10 * time.Second)
	if report := z.report(DateOf(began, z.zone)); report.Served != 4 || report.Refused != 2 {
		t.Errorf("served %d, refused %d, wanted 4 and 2", report.Served, report.Refused)
	}
}

// keepers are the neighbours that an instance tells of three requests.
func keepers(k *kin) map[*kin]bool {
	k.do(3)
	k.zone.clock.Advance(100 * time.Millisecond)
	found := make(map[*kin]bool)
	for other := range k.kept {
		found[other] = true
	}
	return found
}

// midnight is the end of the date on which the requests below begin.
var midnight = time.Date(2026, 3, 28, 16, 0, 0, 0, time.UTC)

// lostAcross lets a request begin a second before midnight and its entry die
// some time after that, and returns how many requests each date shows as lost.
func lostAcross(entries int, after time.Duration, finish bool) (before, later uint64) {
	z := newZone(3, midnight.Add(-10*time.Second))
	victim := z.join("e1")
	for n := 1; n < entries; n++ {
		z.join(fmt.Sprintf("e%d", n+1))
	}
	z.clock.Advance(9 * time.Second)
	victim.recorder.Arrived("assist", "interactive")
	victim.telling.Arrived()
	z.clock.Advance(time.Second + after/2)
	if finish {
		victim.recorder.Served("assist", "interactive")
		victim.telling.end()
	}
	z.clock.Advance(after - after/2)
	victim.die()
	z.clock.Advance(10 * time.Second)
	first := DateOf(midnight.Add(-time.Second), z.zone)
	return z.report(first).Lost, z.report(DateOf(midnight, z.zone)).Lost
}

// TestRequestAcrossMidnight kills an entry after midnight with a request that
// began before: exactly one of the two dates shows it as lost.
func TestRequestAcrossMidnight(t *testing.T) {
	for _, after := range []time.Duration{1500 * time.Millisecond, 30 * time.Second, 2 * time.Minute, time.Hour} {
		for _, entries := range []int{1, 3} {
			if before, later := lostAcross(entries, after, false); before != 0 || later != 1 {
				t.Errorf("%d entries, killed %v after midnight: lost %d and %d, wanted 0 and 1", entries, after, before, later)
			}
			if before, later := lostAcross(entries, after, true); before+later != 0 {
				t.Errorf("%d entries, answered and killed %v after midnight: lost %d and %d, wanted none", entries, after, before, later)
			}
		}
	}
}

// TestKillRightAfterMidnight kills an entry at each moment of the seconds around
// midnight, when its rows change over. Its neighbour keeps the account whole.
func TestKillRightAfterMidnight(t *testing.T) {
	for after := -500 * time.Millisecond; after < 2500*time.Millisecond; after += 13 * time.Millisecond {
		if before, later := lostAcross(3, after, false); before+later != 1 {
			t.Errorf("killed %v after midnight: lost %d and %d, wanted 1 in all", after, before, later)
		}
	}
}

// TestNobodyWaitsForADeadNeighbour leaves an instance with a neighbour that never
// answers: one answer is held up for a moment, and no other one.
func TestNobodyWaitsForADeadNeighbour(t *testing.T) {
	z := newZone(3, time.Date(2026, 3, 28, 2, 0, 0, 0, time.UTC))
	one := z.join("e1")
	z.join("e2")
	z.clock.Advance(2 * noticed)
	z.net.Delay = func(_, _ netip.AddrPort) time.Duration { return time.Hour }
	if w := one.do(3); w == nil {
		t.Error("the answer does not wait for a neighbour that has answered so far")
	}
	z.clock.Advance(tellWait)
	for range 500 {
		z.clock.Advance(10 * time.Millisecond)
		if w := one.do(3); w != nil {
			t.Fatal("an answer waits for a neighbour that has not answered")
		}
	}
	z.net.Delay = nil
	z.clock.Advance(2 * time.Second)
	if w := one.do(3); w == nil {
		t.Error("the answer does not wait for a neighbour that answers again")
	}
}
