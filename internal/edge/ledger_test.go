package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/usage"
)

// newTeamHolder returns a coordinator that is certain to be the holder of the term with a
// number, and issues the permits of one team.
func newTeamHolder(t *testing.T, number uint64) *coordinator {
	k := newTestCoordinator(t)
	now := k.clock.Now()
	k.teamQuotas.setTeams(now, usage.Bounds{}, []usage.Limit{{Team: "t", Rate: 1000, Burst: 1000, Largest: 1}})
	k.setStatus(elect.Status{IsHolder: true, TermNumber: number, OrderFrom: now, HeldUntil: now.Add(time.Minute)})
	return k
}

// TestSupersededHolderIssuesNoPermits asks an instance for its ledger that is still certain to be
// the holder. It guards against a former holder that learns late that it has lost its key, and
// issues the permits of teams beside its successor, who begins with another ledger.
func TestSupersededHolderIssuesNoPermits(t *testing.T) {
	for _, c := range []struct {
		name            string
		number          uint64
		wantsHandedOver bool
	}{
		{"by the successor", 8, true},
		{"by a holder before it, late", 6, false},
		{"by an instance that names no number", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newTeamHolder(t, 7)
			if _, err := k.answerPermits(usage.Message{From: "i2"}); err != nil {
				t.Fatalf("before the request: %v", err)
			}
			h, _ := k.handOver(ledgerRequest{From: "i3", Term: 99, TermNumber: c.number})
			_, err := k.answerPermits(usage.Message{From: "i2"})
			if got := h != nil; got != c.wantsHandedOver || (err != nil) != c.wantsHandedOver {
				t.Errorf("ledger handed over: %v, answer to the next message: %v; wanted the ledger and a refusal: %v",
					got, err, c.wantsHandedOver)
			}
		})
	}
}

// TestLedgerEndsWithAnotherHolder has an instance become the holder again soon after its last term.
// It guards against one that goes on with its own ledger although another instance has issued
// permits meanwhile, which the ledger counts as unused.
func TestLedgerEndsWithAnotherHolder(t *testing.T) {
	self, other := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	var got []bool
	for _, between := range []elect.Status{{}, {Holder: other}} {
		k := newTeamHolder(t, 7)
		first := k.term()
		now := k.clock.Now()
		k.setStatus(elect.Status{})
		k.setStatus(between)
		k.setStatus(elect.Status{
			Holder: self, Former: self, IsHolder: true, TermNumber: 9, OrderFrom: now.Add(time.Second), HeldUntil: now.Add(time.Minute),
		})
		r, err := k.answerPermits(usage.Message{From: "i2"})
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, r.Former == first)
	}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("the ledger goes on without and with another holder (-want +got):\n%s", diff)
	}
}
