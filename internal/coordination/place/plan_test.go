package place

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDecode(t *testing.T) {
	expect := func(text, want string) {
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
	head := `{"format":1,"zone":"zone-a","shard":2,"epoch":3,"nonce":"n","owner":{}`
	orders := `"sends":1,"unresolved":[{"instance":"e","incarnation":1,"epoch":3}]`
	plan := func(adapters string) string {
		return head + `,"permits":{"m":1},"targets":{"t":{"boot":"b","replicas":[{"id":"r","model":"m","memoryBytes":5,"phase":"decided",` +
			`"adapters":{` + adapters + `},` + orders + `}]}}}`
	}
	full := plan(`"x":{"checkpoint":"c","memoryBytes":2,"unloading":true,` + orders + `}`)
	expect(full, full)
	expect(plan(`"x":2`), plan(`"x":{"memoryBytes":2}`))
	damaged := `plan of shard zone-a/2 is damaged: `
	expect(plan(`"x":{"memoryBytes":2,"future":1}`), damaged+`json: unknown field "future"`)
	expect(`{`, damaged+`unexpected end of JSON input`)
	expect(`{"format":9}`, `plan of shard zone-a/2 has format 9, this program reads 1`)
	expect(head+`,"future":1}`, damaged+`json: unknown field "future"`)
	expect(head+`} 1`, damaged+`invalid character '1' after top-level value`)
	expect(`{"format":1,"zone":"zone-b","shard":2,"epoch":3,"nonce":"n","owner":{}}`, damaged+`it names shard zone-b/2`)
	expect(`{"format":1,"zone":"zone-a","shard":2,"nonce":"n","owner":{}}`, damaged+`it has no epoch`)
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

// TestRankMovesLittle: when an entry goes, only its own keys change hands, and
// no entry is preferred for more than twice its share of 400 keys.
func TestRankMovesLittle(t *testing.T) {
	all := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	counts := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprintf("zone/z/shard/%d", i)
		before, after := Rank(key, all)[0], Rank(key, all[1:])[0]
		counts[before]++
		if before != "e0" && before != after {
			t.Errorf("%s moved from %s to %s", key, before, after)
		}
	}
	for _, id := range all {
		if counts[id] < 25 || counts[id] > 100 {
			t.Errorf("%s is preferred for %d of 400 keys", id, counts[id])
		}
	}
}
