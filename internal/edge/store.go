package edge

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/platform"
)

// eraStore is the client of the store that throws away replies of a former history: they come late,
// since the store has come back from an older copy.
type eraStore struct {
	client  *platform.Store
	history *eras.History
	now     func() time.Time
	// onOutdated is called for each reply that is thrown away.
	onOutdated func()
}

// errFormerHistory is the error of a call whose reply is of a former history.
var errFormerHistory = trace.CompareFailed("the reply is of the store's history before it came back from an older copy")

// Call implements ports.KV.
func (s *eraStore) Call(req ports.KVRequest, done func(ports.KVReply)) {
	s.client.Call(req, func(r ports.KVReply) { done(s.accept(r)) })
}

// Do executes one request and waits for its reply.
func (s *eraStore) Do(req ports.KVRequest) ports.KVReply { return s.accept(s.client.Do(req)) }

// DoUntil is like Do, but cancels the request when until ends.
func (s *eraStore) DoUntil(until context.Context, req ports.KVRequest) ports.KVReply {
	return s.accept(s.client.DoUntil(until, req))
}

// Check compares the revision of a key without reading its value, as platform.Store does.
func (s *eraStore) Check(key string, revision ports.Revision) ports.KVReply {
	return s.accept(s.client.Check(key, revision))
}

// accept returns a reply, or that its outcome is unknown if it is of a former history.
func (s *eraStore) accept(r ports.KVReply) ports.KVReply {
	switch r.Status {
	case ports.KVUnavailable, ports.KVUnknown, ports.KVInvalid:
		return r
	case ports.KVOK, ports.KVConflict, ports.KVNotFound:
	}
	if s.history.Note(s.now(), r.Reached()) {
		return r
	}
	s.onOutdated()
	return ports.KVReply{Status: ports.KVUnknown, Err: errFormerHistory}
}
