package place

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/sums"
)

// FuzzDecode: whatever is read without an error survives being written back.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":2,"zone":"zone-a","shard":2,"epoch":3,"nonce":"n","owner":{},"permits":{"m":1}}`))
	f.Add([]byte(`{"format":2,"zone":"zone-a","shard":2,"epoch":3,"targets":{"t":{"replicas":[{"id":"r","model":"m","phase":"unloading"}]}}}`))
	f.Fuzz(func(t *testing.T, object []byte) {
		if len(object) == 0 {
			return
		}
		p, err := Decode(sums.Add(object), "zone-a", 2)
		if err != nil {
			return
		}
		again, err := Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		q, err := Decode(again, "zone-a", 2)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		third, err := Encode(q)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(again), string(third)); diff != "" {
			t.Errorf("written again (-want +got):\n%s", diff)
		}
	})
}
