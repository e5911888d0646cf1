package target

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/fault"
)

const generateBytes = 16 << 20

// Executions is how often the target ran each request, by request id; a run
// that resumes at an offset counts apart.
type Executions struct {
	Runs    map[string]int `json:"runs"`
	Resumes map[string]int `json:"resumes"`
}

// run is the work for one request id, which may come more than once.
type run struct {
	cancels map[*context.CancelFunc]struct{}
}

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req wire.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, generateBytes)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, wire.ReasonInvalid)
		return
	}
	s.active.Add(1)
	defer s.active.Done()
	if s.leaving.Load() {
		refuse(w, http.StatusServiceUnavailable, wire.ReasonLeaving)
		return
	}
	if reason := s.unfit(req); reason != "" {
		refuse(w, http.StatusConflict, reason)
		return
	}
	end, ok := s.engine.BeginWith(req.Replica, req.Adapter)
	if !ok {
		refuse(w, http.StatusConflict, s.unfitNow(req))
		return
	}
	defer end()
	s.generate(w, r, req)
}

// unfit says why the replica can't serve a request, empty if it can.
func (s *Server) unfit(req wire.GenerateRequest) string {
	r, ok := s.engine.Replica(req.Replica)
	if !ok {
		return wire.ReasonNoReplica
	}
	return unfitFor(r, req)
}

// unfitNow says why a request was turned away that looked fit a moment ago.
func (s *Server) unfitNow(req wire.GenerateRequest) string {
	if reason := s.unfit(req); reason != "" || req.Adapter == "" {
		return cmp.Or(reason, wire.ReasonNoReplica)
	}
	// The adapter is there still, on its way out.
	return wire.ReasonNoAdapter
}

func unfitFor(r ports.ReplicaState, req wire.GenerateRequest) string {
	if r.Model != req.Model || r.Phase != ports.PhaseReady {
		return wire.ReasonNoReplica
	}
	if req.Adapter == "" {
		return ""
	}
	for _, adapter := range r.Adapters {
		if adapter == req.Adapter {
			return ""
		}
	}
	return wire.ReasonNoAdapter
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, req wire.GenerateRequest) {
	ctx, forget := s.begin(r.Context(), req)
	defer forget()
	out := &writer{w: w, encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	out.start()
	b := s.batchOf(req.Replica)
	if err := b.enter(ctx, req.Priority); err != nil {
		out.end(wire.Chunk{RequestID: req.RequestID, Done: true, Tokens: req.Offset, Reason: wire.FinishCancelled})
		return
	}
	defer b.leave()
	s.stream(ctx, out, req)
}

func (s *Server) stream(ctx context.Context, out *writer, req wire.GenerateRequest) {
	cut := s.nextCut()
	tokens := Answer(req)
	wait := s.firstDelay
	if s.cache.use(req.Replica, wire.Prefix(req.Model, req.Adapter, req.Messages)) {
		wait /= cachedFirstSpeedup
	}
	for i := min(req.Offset, len(tokens)); i < len(tokens); i++ {
		if i-req.Offset == cut.after {
			out.flush()
			cut.happen(ctx)
		}
		if !pause(ctx, wait) {
			out.end(wire.Chunk{RequestID: req.RequestID, Index: i, Done: true, Tokens: i, Reason: wire.FinishCancelled})
			return
		}
		out.token(wire.Chunk{RequestID: req.RequestID, Index: i, Text: tokens[i]}, s.tokenDelay > 0)
		wait = s.tokenDelay
	}
	n := len(tokens)
	out.end(wire.Chunk{RequestID: req.RequestID, Index: n, Done: true, Tokens: n, Reason: finishOf(req, n)})
}

// cut is how an answer breaks off.
type cut struct {
	// after is the number of tokens before it, -1 for never.
	after int
	stall bool
}

func (s *Server) nextCut() cut {
	var c cut
	s.Panel.Take(func(f *Faults) {
		switch {
		case f.CutNext > 0:
			f.CutNext--
			c = cut{after: f.CutAfter}
		case f.StallNext > 0:
			f.StallNext--
			c = cut{after: f.CutAfter, stall: true}
		default:
			c = cut{after: -1}
		}
	})
	return c
}

// happen ends the connection, or stays silent until the asker gives up.
func (c cut) happen(ctx context.Context) {
	if c.stall {
		<-ctx.Done()
	}
	panic(http.ErrAbortHandler)
}

// begin counts an execution and makes it cancellable by its request id.
func (s *Server) begin(ctx context.Context, req wire.GenerateRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Offset == 0 {
		s.record.Runs[req.RequestID]++
	} else {
		s.record.Resumes[req.RequestID]++
	}
	one := s.runs[req.RequestID]
	if one == nil {
		one = &run{cancels: make(map[*context.CancelFunc]struct{})}
		s.runs[req.RequestID] = one
	}
	one.cancels[&cancel] = struct{}{}
	return ctx, func() { s.forget(req.RequestID, &cancel) }
}

func (s *Server) forget(id string, cancel *context.CancelFunc) {
	(*cancel)()
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.runs[id]
	delete(one.cancels, cancel)
	if len(one.cancels) == 0 {
		delete(s.runs, id)
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req wire.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, orderBytes)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, wire.ReasonInvalid)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.runs[req.RequestID]; one != nil {
		for cancel := range one.cancels {
			(*cancel)()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) batchOf(replica string) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batches[replica]
	if b == nil {
		size := s.sizes[replica]
		if size == 0 {
			size = s.concurrency
		}
		b = newBatch(size)
		s.batches[replica] = b
	}
	return b
}

// Executions returns how often the target ran each request.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Executions{Runs: make(map[string]int), Resumes: make(map[string]int)}
	for id, n := range s.record.Runs {
		e.Runs[id] = n
	}
	for id, n := range s.record.Resumes {
		e.Resumes[id] = n
	}
	return e
}

func refuse(w http.ResponseWriter, status int, reason string) {
	fault.WriteJSON(w, status, wire.EngineError{Reason: reason, NotRun: true})
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writer writes chunks, one a line.
type writer struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	flusher *http.ResponseController
}

// start sends the header at once: it tells the asker that the request is taken.
func (o *writer) start() {
	o.w.Header().Set("Content-Type", "application/x-ndjson")
	o.w.WriteHeader(http.StatusOK)
	o.flush()
}

func (o *writer) token(c wire.Chunk, flush bool) {
	// An asker that has gone is noticed by its context.
	_ = o.encoder.Encode(c)
	if flush {
		o.flush()
	}
}

func (o *writer) end(c wire.Chunk) {
	o.token(c, true)
}

func (o *writer) flush() {
	_ = o.flusher.Flush()
}
