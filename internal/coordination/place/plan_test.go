package place

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/sums"
)

func TestDecode(t *testing.T) {
	expectStored := func(text, want string) {
		t.Helper()
		p, err := Decode([]byte(text), "zone-a", 2)
		got := fmt.Sprint(err)
		if err == nil {
			data, _ := Encode(p)
			got = string(data)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", text, diff)
		}
	}
	expectObject := func(object, want string) {
		t.Helper()
		expectStored(string(sums.Add([]byte(object))), want)
	}
	head := `{"format":2,"zone":"zone-a","shard":2,"epoch":3,"nonce":"n","owner":{}`
	orders := `"sends":1,"unresolved":[{"instance":"e","incarnation":1,"epoch":3}]`
	plan := func(adapters string) string {
		return head + `,"permits":{"m":1},"targets":{"t":{"boot":"b","replicas":[{"id":"r","model":"m","memoryBytes":5,"phase":"decided",` +
			`"adapters":{` + adapters + `},` + orders + `}]}}}`
	}
	full := plan(`"x":{"checkpoint":"c","memoryBytes":2,"unloading":true,` + orders + `}`)
	expectObject(full, string(sums.Add([]byte(full))))
	expectObject(plan(`"x":2`), string(sums.Add([]byte(plan(`"x":{"memoryBytes":2}`)))))
	damaged := `plan of shard zone-a/2 is damaged: `
	expectObject(plan(`"x":{"memoryBytes":2,"future":1}`), damaged+`json: unknown field "future"`)
	expectStored(`{`, damaged+`unexpected end of JSON input`)
	expectStored(`{"format":9}`, `plan of shard zone-a/2 has format 9, this program reads 2`)
	expectStored(full, damaged+`it has no sum`)
	expectObject(head+`,"future":1}`, damaged+`json: unknown field "future"`)
	expectStored(head+`} 1`, damaged+`invalid character '1' after top-level value`)
	expectObject(`{"format":2,"zone":"zone-b","shard":2,"epoch":3,"nonce":"n","owner":{}}`, damaged+`the value names shard zone-b/2`)
	expectObject(`{"format":2,"zone":"zone-a","shard":2,"nonce":"n","owner":{}}`, damaged+`the epoch is missing`)
	expectObject(head+`,"permits":{"m":-1}}`, damaged+`negative number of permits: -1 of m`)
	expectObject(head+`,"targets":{"t":{"replicas":[{"id":"r","model":"m","phase":"gone"}]}}}`,
		damaged+`target t: replica r has unknown phase "gone"`)
	expectObject(head+`,"targets":{"t":{"replicas":[{"id":"r","phase":"decided"}]}}}`, damaged+`target t: replica without ID or model`)
	target := `{"replicas":[{"id":"r","model":"m","phase":"decided"}]}`
	expectObject(head+`,"targets":{"t":`+target+`,"u":`+target+`}}`, damaged+`replica r is on targets t and u`)
}

func TestCharge(t *testing.T) {
	r := Replica{MemoryBytes: 10, Adapters: map[string]Adapter{"x": {MemoryBytes: 2}, "y": {MemoryBytes: 3}}}
	if diff := cmp.Diff(uint64(15), r.Charge()); diff != "" {
		t.Errorf("charge (-want +got):\n%s", diff)
	}
}

// TestEveryDamagedByteIsSeen changes each byte of a stored plan in turn. A lower epoch or
// one more permit would be valid JSON, but would let an old owner act or too many replicas
// load.
func TestEveryDamagedByteIsSeen(t *testing.T) {
	value, err := Encode(Plan{
		Zone: "zone-a", Shard: 2, Epoch: 37, Nonce: "n", Permits: map[string]int{"m": 1},
		Targets: map[string]Target{"t": {Boot: "b", Replicas: []Replica{{ID: "r", Model: "m", MemoryBytes: 5 << 30, Phase: PhaseDecided}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range value {
		damaged := append([]byte(nil), value...)
		damaged[i] ^= 1
		if _, err := Decode(damaged, "zone-a", 2); err == nil {
			t.Errorf("byte %d: %s is decoded without an error", i, damaged)
		}
	}
}
