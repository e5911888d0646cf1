package crash

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// blockedPart is a block of the deadly part, which may be tried trialDelays[0] after its beginning.
func blockedPart() Block {
	return Block{BlockKey: newBlockKey(service, "", []Part{deadly}), Revision: 1, Ends: 5}
}

// TestUnusedTrialEnds has the holder permit a trial for which no request comes. It guards against a
// permission that is used beside later ones of other instances.
func TestUnusedTrialEnds(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	m := NewMonitor(clock)
	b := blockedPart()
	m.Apply(1, &Report{}, &Reply{Version: 1, Blocks: []Block{b}, Trials: []BlockKey{b.BlockKey}})
	isFree := func() bool { return m.Blocking(&Request{Service: service, Parts: []Part{deadly}}) == nil }
	got := []bool{isFree()}
	clock.Advance(trialTime)
	got = append(got, isFree())
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("a request may be sent at once and when others may get a permission (-want +got):\n%s", diff)
	}
}
