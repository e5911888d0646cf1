package ports

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/eras"
)

// KV is the client of the platform's key-value service.
type KV interface {
	// Call executes one request and calls done exactly once, on any goroutine. It does not
	// block.
	Call(req KVRequest, done func(KVReply))
}

// Revision is the number of a write in one history of the KV service. As the expected revision of a
// key, zero means that the key must not exist. Numbers of replies of different eras can't be
// compared: see eras.Revision.
type Revision uint64

// LeaseID identifies a lease of the KV service; zero means no lease.
type LeaseID uint64

// KVRequest is one of KVGet, KVList, KVPut, KVDelete, KVWatch, KVGrant, KVRenew
// and KVRevoke.
type KVRequest interface{ isKVRequest() }

// KVGet reads one key.
type KVGet struct{ Key string }

// KVList reads all keys that begin with Prefix, in ascending order.
type KVList struct {
	Prefix string
	// After excludes the keys up to and including this one.
	After string
	// Limit is the maximum number of items; 0 means the limit of the service.
	Limit int
}

// KVPut writes Key if its revision is Expect.
type KVPut struct {
	Key    string
	Value  []byte
	Expect Revision
	// Lease is the lease whose end deletes the key; zero means that the key is kept.
	Lease LeaseID
}

// KVDelete removes Key if its revision is Expect.
type KVDelete struct {
	Key    string
	Expect Revision
}

// KVWatch waits until a key that begins with Prefix changes after revision
// After, or until Wait has passed.
type KVWatch struct {
	Prefix string
	After  Revision
	Wait   time.Duration
}

// KVGrant creates a lease.
type KVGrant struct{ TTL time.Duration }

// KVRenew extends a lease: its TTL starts again.
type KVRenew struct{ Lease LeaseID }

// KVRevoke ends a lease and deletes its keys.
type KVRevoke struct{ Lease LeaseID }

// KeyOf returns the key or prefix of a request, and an empty string for lease requests.
func KeyOf(req KVRequest) string {
	switch r := req.(type) {
	case KVGet:
		return r.Key
	case KVList:
		return r.Prefix
	case KVPut:
		return r.Key
	case KVDelete:
		return r.Key
	case KVWatch:
		return r.Prefix
	}
	return ""
}

func (KVGet) isKVRequest()    {}
func (KVList) isKVRequest()   {}
func (KVPut) isKVRequest()    {}
func (KVDelete) isKVRequest() {}
func (KVWatch) isKVRequest()  {}
func (KVGrant) isKVRequest()  {}
func (KVRenew) isKVRequest()  {}
func (KVRevoke) isKVRequest() {}

// KVStatus is the outcome of a KV call.
type KVStatus uint8

// The outcomes of a KV call.
const (
	// KVOK means that the request was executed.
	KVOK KVStatus = iota
	// KVConflict means that the key has another revision than expected and nothing was
	// changed. The reply contains the current item, if there is one.
	KVConflict
	// KVNotFound means that the key or the lease does not exist.
	KVNotFound
	// KVUnavailable means that the service did not accept the call.
	KVUnavailable
	// KVUnknown means that the reply was lost: a write may have taken effect.
	KVUnknown
	// KVInvalid means that the service rejects the call itself, for example because the
	// value is too large.
	KVInvalid
)

// String returns the name of the status as it appears in logs.
func (s KVStatus) String() string {
	switch s {
	case KVOK:
		return "ok"
	case KVConflict:
		return "conflict"
	case KVNotFound:
		return "notFound"
	case KVUnavailable:
		return "unavailable"
	case KVUnknown:
		return "unknown"
	case KVInvalid:
		return "invalid"
	}
	return "undefined"
}

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
	// Deleted is set in the reply to a watch for a key that was deleted.
	Deleted bool
}

// KVReply is the result of a KV call.
type KVReply struct {
	Status KVStatus
	Items  []Item
	// Revision is the revision of the write, or the service's latest one for reads and
	// watches.
	Revision Revision
	Lease    LeaseID
	// More is set if a list was truncated at its limit.
	More bool
	// Era rises each time that the service comes back from an older copy of its data. It is 0
	// if the service does not tell it.
	Era uint64
	Err error
}

// Reached returns the revision that the service has told, in its era.
func (r KVReply) Reached() eras.Revision {
	return eras.Revision{Era: r.Era, Number: uint64(r.Revision)}
}

// Item returns the first item, and false if there is none.
func (r KVReply) Item() (Item, bool) {
	if len(r.Items) == 0 {
		return Item{}, false
	}
	return r.Items[0], true
}
