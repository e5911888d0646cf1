package platf

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/fault"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
)

// requestBytes bounds a KV call: the largest value in base64 with its key.
const requestBytes = 2 * kvmem.MaxValueBytes

// Counts is how many calls reached the platform, by kind; a waiting watch
// counts as one.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
	Fetches uint64 `json:"fetches"`
}

type counters struct{ reads, writes, watches, lists, fetches atomic.Uint64 }

// Counts returns the calls counted since the start or the last reset.
func (s *Server) Counts() Counts {
	return Counts{
		Reads:   s.counts.reads.Load(),
		Writes:  s.counts.writes.Load(),
		Watches: s.counts.watches.Load(),
		Lists:   s.counts.lists.Load(),
		Fetches: s.counts.fetches.Load(),
	}
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) resetCounts(w http.ResponseWriter, _ *http.Request) {
	s.counts.reads.Store(0)
	s.counts.writes.Store(0)
	s.counts.watches.Store(0)
	s.counts.lists.Store(0)
	s.counts.fetches.Store(0)
	fault.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) serveKV(w http.ResponseWriter, r *http.Request) {
	var body wire.KVRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestBytes)).Decode(&body); err != nil {
		writeReply(w, ports.KVReply{Status: ports.KVInvalid})
		return
	}
	req, ok := requestOf(r.URL.Path, body)
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.count(req)
	answer := make(chan ports.KVReply, 1)
	s.store.Call(req, func(reply ports.KVReply) { answer <- reply })
	select {
	case reply := <-answer:
		writeReply(w, reply)
	case <-r.Context().Done():
	}
}

func (s *Server) count(req ports.KVRequest) {
	switch req.(type) {
	case ports.KVGet, ports.KVList:
		s.counts.reads.Add(1)
	case ports.KVWatch:
		s.counts.watches.Add(1)
	default:
		s.counts.writes.Add(1)
	}
}

func requestOf(path string, b wire.KVRequest) (ports.KVRequest, bool) {
	switch path {
	case wire.PathKVGet:
		return ports.KVGet{Key: b.Key}, true
	case wire.PathKVList:
		return ports.KVList{Prefix: b.Prefix, After: b.After, Limit: b.Limit}, true
	case wire.PathKVPut:
		return ports.KVPut{Key: b.Key, Value: b.Value, Expect: b.Expect, Lease: b.Lease}, true
	case wire.PathKVDelete:
		return ports.KVDelete{Key: b.Key, Expect: b.Expect}, true
	case wire.PathKVWatch:
		return ports.KVWatch{Prefix: b.Prefix, After: b.Since, Wait: b.Wait}, true
	case wire.PathKVGrant:
		return ports.KVGrant{TTL: b.TTL}, true
	case wire.PathKVRenew:
		return ports.KVRenew{Lease: b.Lease}, true
	case wire.PathKVRevoke:
		return ports.KVRevoke{Lease: b.Lease}, true
	}
	return nil, false
}

func writeReply(w http.ResponseWriter, reply ports.KVReply) {
	body := wire.KVReply{
		Status:   reply.Status.String(),
		Revision: reply.Revision,
		Lease:    reply.Lease,
		More:     reply.More,
	}
	for _, item := range reply.Items {
		body.Items = append(body.Items, wire.KVItem(item))
	}
	fault.WriteJSON(w, http.StatusOK, body)
}

// serveDown tells a caller that its call was not taken.
func serveDown(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusServiceUnavailable, wire.KVReply{Status: ports.KVUnavailable.String()})
}
