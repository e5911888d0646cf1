package elect

import (
	"encoding/json"
	"net/netip"
	"time"
)

// unknownArrival is used for records without ArrivalMS. Their holders sent orders for up to
// 1.35 s after they had lost the key, and gave each of them 0.8 s.
const unknownArrival = 2300 * time.Millisecond

// holderValue is the value of both keys. That of the lease key has the holder only.
type holderValue struct {
	Holder netip.AddrPort `json:"holder"`
	// ArrivalMS is how long after the loss of the key an order of the holder may arrive.
	ArrivalMS int64 `json:"arrivalMs,omitempty"`
	// Settled means that the holder has stopped sending orders, and that none of them is on its
	// way any more.
	Settled bool `json:"settled,omitempty"`
}

func (v holderValue) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// No field of the value can fail to be encoded.
		panic(err)
	}
	return data
}

// decode decodes a value. An invalid one names no holder.
func decode(data []byte) holderValue {
	var v holderValue
	if err := json.Unmarshal(data, &v); err != nil {
		return holderValue{}
	}
	return v
}

// arrival returns how long after the loss of the key an order of the holder may arrive.
func (v holderValue) arrival() time.Duration {
	if v.ArrivalMS <= 0 {
		return unknownArrival
	}
	return time.Duration(v.ArrivalMS) * time.Millisecond
}

// ownRecord returns the value by which this instance records that it may send orders.
func (p *Part) ownRecord() holderValue {
	return holderValue{Holder: p.self, ArrivalMS: (orderValidity + p.orderTime).Milliseconds()}
}
