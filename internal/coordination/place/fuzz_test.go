package place

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/sums"
)

// FuzzDecode checks that a value that decodes without an error can be encoded and decoded
// again without a change.
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
		encoded, err := Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		q, err := Decode(encoded, "zone-a", 2)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		reencoded, err := Encode(q)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(encoded), string(reencoded)); diff != "" {
			t.Errorf("written again (-want +got):\n%s", diff)
		}
	})
}
