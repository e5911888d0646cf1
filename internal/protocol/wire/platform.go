package wire

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Paths of the platform's services.
const (
	PathKVGet     = "/kv/get"
	PathKVList    = "/kv/list"
	PathKVPut     = "/kv/put"
	PathKVDelete  = "/kv/delete"
	PathKVWatch   = "/kv/watch"
	PathKVGrant   = "/kv/grant"
	PathKVRenew   = "/kv/renew"
	PathKVRevoke  = "/kv/revoke"
	PathInstances = "/instances"
	PathFetch     = "/store/fetch"
)

// KVRequest is the body of every KV call; each path uses the fields that it needs.
type KVRequest struct {
	Key    string         `json:"key,omitempty"`
	Prefix string         `json:"prefix,omitempty"`
	After  string         `json:"after,omitempty"`
	Limit  int            `json:"limit,omitempty"`
	Value  []byte         `json:"value,omitempty"`
	Expect ports.Revision `json:"expect,omitempty"`
	Lease  ports.LeaseID  `json:"lease,omitempty"`
	Since  ports.Revision `json:"since,omitempty"`
	Wait   time.Duration  `json:"waitNanos,omitempty"`
	TTL    time.Duration  `json:"ttlNanos,omitempty"`
}

// KVItem is a key with its value.
type KVItem struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value,omitempty"`
	Revision ports.Revision `json:"revision"`
	Lease    ports.LeaseID  `json:"lease,omitempty"`
	Deleted  bool           `json:"deleted,omitempty"`
}

// KVReply is the answer to a KV call; Status is a ports.KVStatus in words.
type KVReply struct {
	Status   string         `json:"status"`
	Items    []KVItem       `json:"items,omitempty"`
	Revision ports.Revision `json:"revision"`
	Lease    ports.LeaseID  `json:"lease,omitempty"`
	More     bool           `json:"more,omitempty"`
}

// FetchRequest reads a checkpoint from the weight store; the answer comes when
// the read is over.
type FetchRequest struct {
	Checkpoint string        `json:"checkpoint"`
	LoadTime   time.Duration `json:"loadNanos"`
	Target     string        `json:"target"`
}
