package elect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestUnreadableRecord has an instance find a record that it can't decode. It guards against orders
// at once after those of a holder that the record names in another form.
func TestUnreadableRecord(t *testing.T) {
	r := newFixture(1, 1)
	r.kill(0)
	r.store.Call(ports.KVPut{Key: recordKey, Value: []byte("{")}, func(ports.KVReply) {})
	r.start(0)
	r.advance(time.Second)
	s := r.nodes[0].status
	if diff := cmp.Diff(WaitUnknown, s.Start.Wait); diff != "" {
		t.Errorf("reason for the wait (-want +got):\n%s", diff)
	}
	if wait := s.OrderFrom.Sub(s.Start.CountedFrom); wait < unknownArrival+testHandover {
		t.Errorf("first orders after %v, want %v", wait, unknownArrival+testHandover)
	}
}
