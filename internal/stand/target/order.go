package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/fault"
)

const (
	orderBytes = 64 << 10
	// adapterMark tells the loads of adapters from those of models.
	adapterMark = "adapter:"
)

var errLoadFault = errors.New("load failed")

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order ports.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, orderBytes)).Decode(&order); err != nil {
		fault.WriteJSON(w, http.StatusBadRequest, wire.EngineError{Reason: wire.ReasonInvalid, NotRun: true})
		return
	}
	fault.WriteJSON(w, http.StatusOK, s.order(r.Context(), order))
}

// Order carries out one order. Loads of models answer when they have begun;
// those of adapters, which take milliseconds, when they are done, as engines do.
func (s *Server) Order(order ports.Order) ports.OrderReply {
	return s.order(s.ctx, order)
}

func (s *Server) order(ctx context.Context, order ports.Order) ports.OrderReply {
	switch order.Kind {
	case ports.OrderLoad:
		s.noteSize(order)
	case ports.OrderLoadAdapter:
		return s.orderAdapter(ctx, order)
	}
	return s.carryOut(order)
}

func (s *Server) carryOut(order ports.Order) ports.OrderReply {
	reply := s.engine.Order(order)
	if reply.State != nil {
		s.addLoad(reply.State)
	}
	return reply
}

func (s *Server) orderAdapter(ctx context.Context, order ports.Order) ports.OrderReply {
	// The replica makes the name unique among the loads of the engine.
	order.Checkpoint = adapterMark + order.Replica + "/" + order.Checkpoint
	loaded := s.adapterLoad(order.Checkpoint)
	reply := s.carryOut(order)
	if reply.Status != ports.OrderTaken || slices.Contains(adaptersOf(reply, order.Replica), order.Adapter) {
		return reply
	}
	select {
	case <-loaded:
		state := s.engine.State()
		s.addLoad(&state)
		reply.State = &state
	case <-ctx.Done():
	}
	return reply
}

func adaptersOf(reply ports.OrderReply, replica string) []string {
	for _, r := range reply.State.Replicas {
		if r.Replica == replica {
			return r.Adapters
		}
	}
	return nil
}

// adapterLoad returns what is closed when the next load of that name is done.
func (s *Server) adapterLoad(name string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading[name] == nil {
		s.loading[name] = make(chan struct{})
	}
	return s.loading[name]
}

func (s *Server) adapterLoaded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.loading[name]; c != nil {
		close(c)
		delete(s.loading, name)
	}
}

func (s *Server) noteSize(order ports.Order) {
	if order.Concurrency <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[order.Replica] = order.Concurrency
}

// addLoad replaces the engine's count of requests, which doesn't tell those
// that wait from those that run.
func (s *Server) addLoad(state *ports.TargetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	loaded := make(map[string]bool, len(state.Replicas))
	for i := range state.Replicas {
		r := &state.Replicas[i]
		loaded[r.Replica] = true
		if b := s.batches[r.Replica]; b != nil {
			r.Running, r.Queued = b.load()
		}
	}
	s.cache.keep(loaded)
	for id := range s.batches {
		if !loaded[id] {
			delete(s.batches, id)
			delete(s.sizes, id)
		}
	}
}

// load is the engine's Loader.
func (s *Server) load(checkpoint string, tier ports.Tier, done func(error)) {
	if adapter, ok := strings.CutPrefix(checkpoint, adapterMark); ok {
		s.adapters.Start(s.adapterTime(adapter), func() {
			done(nil)
			s.adapterLoaded(checkpoint)
		})
		return
	}
	go func() { done(s.loadModel(checkpoint, tier)) }()
}

func (s *Server) adapterTime(checkpoint string) time.Duration {
	if s.adapterMore <= 0 {
		return s.adapterLeast
	}
	h := fnv.New64a()
	h.Write([]byte(checkpoint))
	return s.adapterLeast + time.Duration(h.Sum64()%uint64(s.adapterMore))
}

func (s *Server) loadModel(checkpoint string, tier ports.Tier) error {
	if s.Panel.Get().FailLoads {
		return errLoadFault
	}
	remote := s.loadTime(checkpoint)
	if tier == ports.TierRemote && s.platform != "" {
		return s.fetch(checkpoint, remote)
	}
	t := time.NewTimer(engmem.LoadTime(tier, remote))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *Server) fetch(checkpoint string, remote time.Duration) error {
	body, err := json.Marshal(wire.FetchRequest{Checkpoint: checkpoint, LoadTime: remote, Target: s.row.ID})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.platform+wire.PathFetch, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read %s from the weight store: %w", checkpoint, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("read %s from the weight store: HTTP status %d", checkpoint, resp.StatusCode)
	}
	return nil
}

func serveDown(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusServiceUnavailable, wire.EngineError{Reason: "down", NotRun: true})
}
