package dedup

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEveryDamagedByteIsSeen changes each byte of a stored bucket in turn. An undetected
// change could turn an outcome or a key into another valid one, and a call would run
// twice or get a wrong answer.
func TestEveryDamagedByteIsSeen(t *testing.T) {
	claim := recordID(Claim{Service: "ticket-desk", Tenant: "residents", Key: "k"})
	value := encodeBucket(map[string]*record{claim: newRecord(record{
		Sum: "abc", Entry: "bul-a-e1", Incarnation: 7, Nonce: 9, TimeLeft: time.Second, EndKind: EndAnswered,
		Outcome: &Outcome{Status: 201, Body: []byte("seat 4"), BodyKept: true},
	})}, false)
	for i := range value {
		damaged := append([]byte(nil), value...)
		damaged[i] ^= 1
		if _, _, err := decodeBucket(damaged, nil); err == nil {
			t.Errorf("byte %d: the damage in %s is not detected", i, damaged)
		}
	}
}

func TestDecodeBucket(t *testing.T) {
	tests := []struct{ value, want string }{
		{string(encodeBucket(nil, true)), ""},
		{`{`, "claims are damaged: unexpected end of JSON input"},
		{`{"format":9,"split":true}`, "claims have format 9, this program reads 1"},
		{`{"format":1,"claims":{}}`, "claims are damaged: it has no sum"},
	}
	for _, tt := range tests {
		got := ""
		if _, _, err := decodeBucket([]byte(tt.value), nil); err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.value, diff)
		}
	}
}
