package place

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/sums"
)

func TestDecode(t *testing.T) {
	stored := func(text, want string) {
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
	expect := func(object, want string) {
		t.Helper()
		stored(string(sums.Add([]byte(object))), want)
	}
	head := `{"format":2,"zone":"zone-a","shard":2,"epoch":3,"nonce":"n","owner":{}`
	orders := `"sends":1,"unresolved":[{"instance":"e","incarnation":1,"epoch":3}]`
	plan := func(adapters string) string {
		return head + `,"permits":{"m":1},"targets":{"t":{"boot":"b","replicas":[{"id":"r","model":"m","memoryBytes":5,"phase":"decided",` +
			`"adapters":{` + adapters + `},` + orders + `}]}}}`
	}
	full := plan(`"x":{"checkpoint":"c","memoryBytes":2,"unloading":true,` + orders + `}`)
	expect(full, string(sums.Add([]byte(full))))
	expect(plan(`"x":2`), string(sums.Add([]byte(plan(`"x":{"memoryBytes":2}`)))))
	damaged := `plan of shard zone-a/2 is damaged: `
	expect(plan(`"x":{"memoryBytes":2,"future":1}`), damaged+`json: unknown field "future"`)
	stored(`{`, damaged+`unexpected end of JSON input`)
	stored(`{"format":9}`, `plan of shard zone-a/2 has format 9, this program reads 2`)
	stored(full, damaged+`it has no sum`)
	expect(head+`,"future":1}`, damaged+`json: unknown field "future"`)
	stored(head+`} 1`, damaged+`invalid character '1' after top-level value`)
	expect(`{"format":2,"zone":"zone-b","shard":2,"epoch":3,"nonce":"n","owner":{}}`, damaged+`it names shard zone-b/2`)
	expect(`{"format":2,"zone":"zone-a","shard":2,"nonce":"n","owner":{}}`, damaged+`it has no epoch`)
	expect(head+`,"permits":{"m":-1}}`, damaged+`it holds -1 permits of m`)
	expect(head+`,"targets":{"t":{"replicas":[{"id":"r","model":"m","phase":"gone"}]}}}`,
		damaged+`target t: replica r has the unknown phase "gone"`)
	expect(head+`,"targets":{"t":{"replicas":[{"id":"r","phase":"decided"}]}}}`, damaged+`target t: a replica lacks its id or model`)
	twice := `{"replicas":[{"id":"r","model":"m","phase":"decided"}]}`
	expect(head+`,"targets":{"t":`+twice+`,"u":`+twice+`}}`, damaged+`replica r is on t and on u`)
}

func TestCharge(t *testing.T) {
	r := Replica{MemoryBytes: 10, Adapters: map[string]Adapter{"x": {MemoryBytes: 2}, "y": {MemoryBytes: 3}}}
	if diff := cmp.Diff(uint64(15), r.Charge()); diff != "" {
		t.Errorf("charge (-want +got):\n%s", diff)
	}
}

// TestEveryDamagedByteIsSeen changes each byte of a stored plan in turn. A lower
// epoch or one more permit would be as valid as the true one, and would break
// what the plan is there for.
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
			t.Errorf("byte %d: %s is taken for whole", i, damaged)
		}
	}
}
