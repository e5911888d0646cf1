package elect

import (
	"encoding/json"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// unknownArrival is used if no record tells the ArrivalMS of the last holder. One of a former
// version sends orders for up to 1.35 s after it has lost the key, and gives each of them 0.8 s.
const unknownArrival = 2300 * time.Millisecond

// eraStep is added to fencing tokens and term numbers for each era of the store. It exceeds the number of
// revisions that a store can lose when it comes back from an older copy.
const eraStep = 1 << 32

// holderValue is the value of both keys. That of the lease key has the holder only.
type holderValue struct {
	Holder netip.AddrPort `json:"holder"`
	// Token is the fencing token of the holder's orders, 0 if it follows from the revision of
	// this value.
	Token uint64 `json:"token,omitempty"`
	// Era is the store's era as of the holder's term.
	Era uint64 `json:"era,omitempty"`
	// ArrivalMS is how long after the loss of the key an order of the holder may arrive.
	ArrivalMS int64 `json:"arrivalMs,omitempty"`
	// Settled means that the holder has stopped sending orders, and that none of them is on its
	// way any more.
	Settled bool `json:"settled,omitempty"`
	// HasUnread means that a target may have read orders of the holder before this one within the
	// handover, or not yet; if the holder has settled, that it may not have read all orders of either.
	HasUnread bool `json:"hasUnread,omitempty"`
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

// tokenOf returns the fencing token that a record written at a revision stands for.
func tokenOf(v holderValue, revision ports.Revision) uint64 {
	if v.Token != 0 {
		return v.Token
	}
	return v.Era*eraStep + uint64(revision)
}

// ownRecord returns the value by which this instance records that it may send orders. After its
// own term it keeps the token: orders of a former process on this machine may still be on
// their way, and must not arrive with a lower token than later ones.
func (p *Part) ownRecord() holderValue {
	v := holderValue{Holder: p.self, Era: p.era, ArrivalMS: (orderValidity + p.orderTime).Milliseconds(), HasUnread: p.hasUnread}
	if p.lastRecord.Holder == p.self && p.isRecordCurrent() {
		v.Token = tokenOf(p.lastRecord, p.recordRevision)
	}
	return v
}

// isRecordCurrent reports whether the record certainly names the last instance that may have
// sent orders. A store that has come back from an older copy may have lost a later record, and a
// record that names no holder can't be read.
func (p *Part) isRecordCurrent() bool {
	switch {
	case p.recordRevision == 0:
		return p.era == 0 || p.isFirstStart
	case !p.lastRecord.Holder.IsValid():
		return false
	}
	return p.lastRecord.Era == p.era
}
