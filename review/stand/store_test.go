package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// maxPageItems limits the items of one page of a list.
const maxPageItems = 500

// store is the platform's metadata store. It is always up and loses nothing.
type store struct {
	kv     *kvmem.Store
	addr   string
	server *http.Server
}

// startStore serves an empty store at a free port of ip.
func startStore(ip string) (*store, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{kv: kvmem.NewStore(timer.NewSystem()), addr: l.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// write sets a key as the operator or a target does.
func (s *store) write(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var have ports.Revision
	s.kv.Call(ports.KVGet{Key: key}, func(r ports.KVReply) {
		if item, ok := r.Item(); ok {
			have = item.Revision
		}
	})
	s.kv.Call(ports.KVPut{Key: key, Value: data, Expect: have}, func(r ports.KVReply) {
		if r.Status != ports.KVOK {
			err = fmt.Errorf("write of %s: %v", key, r.Status)
		}
	})
	return err
}

// remove deletes a key.
func (s *store) remove(key string) {
	var have ports.Revision
	s.kv.Call(ports.KVGet{Key: key}, func(r ports.KVReply) {
		if item, ok := r.Item(); ok {
			have = item.Revision
		}
	})
	s.kv.Call(ports.KVDelete{Key: key, Expect: have}, func(ports.KVReply) {})
}

type txnBody struct {
	Expected []struct {
		Key      string         `json:"key"`
		Revision ports.Revision `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string        `json:"key"`
		Value []byte        `json:"value"`
		Lease ports.LeaseID `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
	TTLMS  int64    `json:"ttl_ms"`
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	if r.URL.Path == "/api/kv-txn" && len(body.SetKeys)+len(body.Remove) == 0 && len(body.Expected) == 1 {
		s.check(w, body.Expected[0].Key, body.Expected[0].Revision)
		return
	}
	req := decodeCall(r, &body)
	if req == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	done := make(chan ports.KVReply, 1)
	s.kv.Call(req, func(reply ports.KVReply) { done <- reply })
	select {
	case reply := <-done:
		answer(w, req, reply)
	case <-r.Context().Done():
	}
}

func (s *store) check(w http.ResponseWriter, key string, revision ports.Revision) {
	s.kv.Call(ports.KVGet{Key: key}, func(r ports.KVReply) {
		if have, _ := r.Item(); have.Revision != revision {
			r.Status = ports.KVConflict
		} else {
			r.Status = ports.KVOK
		}
		answer(w, ports.KVPut{}, r)
	})
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// decodeCall returns the request of a call, nil if there is none such.
func decodeCall(r *http.Request, body *txnBody) ports.KVRequest {
	q := r.URL.Query()
	path := r.URL.Path
	last := ports.LeaseID(number(path[strings.LastIndexByte(path, '/')+1:]))
	switch {
	case path == "/api/kv-key":
		return ports.KVGet{Key: q.Get("key")}
	case path == "/api/kv-range":
		return ports.KVList{Prefix: q.Get("path_prefix"), After: q.Get("after"), Limit: maxPageItems}
	case path == "/api/kv-watch":
		wait := time.Duration(number(q.Get("wait_ms"))) * time.Millisecond
		return ports.KVWatch{Prefix: q.Get("path_prefix"), After: ports.Revision(number(q.Get("after"))), Wait: wait}
	case path == "/api/kv-lease":
		return ports.KVGrant{TTL: time.Duration(body.TTLMS) * time.Millisecond}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		return ports.KVRenew{Lease: last}
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		return ports.KVRevoke{Lease: last}
	case path == "/api/kv-txn" && len(body.Expected) == 1 && len(body.SetKeys) == 1:
		set := body.SetKeys[0]
		return ports.KVPut{Key: set.Key, Value: set.Value, Expect: body.Expected[0].Revision, Lease: set.Lease}
	case path == "/api/kv-txn" && len(body.Expected) == 1 && len(body.Remove) == 1:
		return ports.KVDelete{Key: body.Remove[0], Expect: body.Expected[0].Revision}
	}
	return nil
}

type itemRow struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value"`
	Revision ports.Revision `json:"revision"`
	Lease    ports.LeaseID  `json:"lease"`
	Removed  bool           `json:"removed,omitempty"`
}

// answer writes the store's response to a call.
func answer(w http.ResponseWriter, req ports.KVRequest, r ports.KVReply) {
	rows := make([]itemRow, 0, len(r.Items))
	for _, i := range r.Items {
		rows = append(rows, itemRow{i.Key, i.Value, i.Revision, i.Lease, i.Deleted})
	}
	body := map[string]any{"store_revision": r.Revision}
	status := http.StatusOK
	switch r.Status {
	case ports.KVNotFound:
		status = http.StatusNotFound
	case ports.KVConflict:
		status = http.StatusPreconditionFailed
		body["items"] = rows
	case ports.KVOK:
		fill(body, req, rows, r)
	case ports.KVInvalid, ports.KVUnavailable, ports.KVUnknown:
		status = http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fill(body map[string]any, req ports.KVRequest, rows []itemRow, r ports.KVReply) {
	switch c := req.(type) {
	case ports.KVGet:
		body["key"], body["value"] = rows[0].Key, rows[0].Value
		body["revision"], body["lease"] = rows[0].Revision, rows[0].Lease
	case ports.KVList:
		body["items"], body["more_pages"] = rows, r.More
	case ports.KVWatch:
		body["events"] = rows
	case ports.KVGrant:
		body["lease"], body["ttl_ms"] = r.Lease, c.TTL.Milliseconds()
	default:
		body["revision"] = r.Revision
	}
}
