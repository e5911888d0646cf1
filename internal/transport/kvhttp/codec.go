package kvhttp

import (
	"encoding/json"
	"errors"
	"fmt"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
)

var errDamaged = errors.New("the reply lacks what its status promises")

// encode returns the path and the body of a request.
func encode(req ports.KVRequest) (string, wire.KVRequest) {
	switch r := req.(type) {
	case ports.KVGet:
		return wire.PathKVGet, wire.KVRequest{Key: r.Key}
	case ports.KVList:
		return wire.PathKVList, wire.KVRequest{Prefix: r.Prefix, After: r.After, Limit: r.Limit}
	case ports.KVPut:
		return wire.PathKVPut, wire.KVRequest{Key: r.Key, Value: r.Value, Expect: r.Expect, Lease: r.Lease}
	case ports.KVDelete:
		return wire.PathKVDelete, wire.KVRequest{Key: r.Key, Expect: r.Expect}
	case ports.KVWatch:
		return wire.PathKVWatch, wire.KVRequest{Prefix: r.Prefix, Since: r.After, Wait: r.Wait}
	case ports.KVGrant:
		return wire.PathKVGrant, wire.KVRequest{TTL: r.TTL}
	case ports.KVRenew:
		return wire.PathKVRenew, wire.KVRequest{Lease: r.Lease}
	case ports.KVRevoke:
		return wire.PathKVRevoke, wire.KVRequest{Lease: r.Lease}
	}
	panic(fmt.Sprintf("kvhttp: undefined request %T", req))
}

// decode reads a reply and checks that it holds what its status promises, so
// that a damaged answer is never taken for a success.
func decode(req ports.KVRequest, data []byte) (ports.KVReply, error) {
	var body wire.KVReply
	if err := json.Unmarshal(data, &body); err != nil {
		return ports.KVReply{}, err
	}
	status, err := statusOf(body.Status)
	if err != nil {
		return ports.KVReply{}, err
	}
	reply := ports.KVReply{Status: status, Revision: body.Revision, Lease: body.Lease, More: body.More}
	for _, item := range body.Items {
		reply.Items = append(reply.Items, ports.Item(item))
	}
	if status == ports.KVOK && !complete(req, reply) {
		return ports.KVReply{}, errDamaged
	}
	return reply, nil
}

func complete(req ports.KVRequest, reply ports.KVReply) bool {
	switch r := req.(type) {
	case ports.KVGet:
		return len(reply.Items) == 1 && reply.Items[0].Key == r.Key
	case ports.KVPut, ports.KVDelete:
		return reply.Revision != 0
	case ports.KVGrant:
		return reply.Lease != 0
	case ports.KVRenew:
		return reply.Lease == r.Lease
	}
	return true
}

func statusOf(word string) (ports.KVStatus, error) {
	for s := ports.KVOK; s <= ports.KVInvalid; s++ {
		if s.String() == word {
			return s, nil
		}
	}
	return 0, fmt.Errorf("undefined status %q", word)
}

func changes(req ports.KVRequest) bool {
	switch req.(type) {
	case ports.KVGet, ports.KVList, ports.KVWatch:
		return false
	}
	return true
}

func stepOf(req ports.KVRequest) string {
	switch r := req.(type) {
	case ports.KVGet:
		return "kv get " + r.Key
	case ports.KVList:
		return "kv list " + r.Prefix
	case ports.KVPut:
		return "kv put " + r.Key
	case ports.KVDelete:
		return "kv delete " + r.Key
	case ports.KVWatch:
		return "kv watch " + r.Prefix
	case ports.KVGrant:
		return "kv grant"
	case ports.KVRenew:
		return fmt.Sprintf("kv renew %d", r.Lease)
	case ports.KVRevoke:
		return fmt.Sprintf("kv revoke %d", r.Lease)
	}
	return "kv call"
}
