package front_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// token is what every fake engine generates at a position of an answer.
func token(req wire.GenerateRequest, index int) string {
	return fmt.Sprintf("%s/%s/%s/%d:%d ", req.Model, req.Adapter, req.Messages[len(req.Messages)-1].Content, req.Seed, index)
}

// engine is a fake of all targets, with a script of what goes wrong.
type engine struct {
	mu        sync.Mutex
	generated int
	cancelled []string
	requests  []wire.GenerateRequest
	// fault is asked before each chunk; an error ends the stream with it.
	fault func(at netip.AddrPort, req wire.GenerateRequest, index int) error
	// alter changes a chunk before it is delivered; false keeps it back.
	alter func(at netip.AddrPort, chunk wire.Chunk) []wire.Chunk
	alive func(at netip.AddrPort) error
	pause time.Duration
	// kept tells that calls go over connections that carried others before.
	kept bool
}

func (e *engine) Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest, over func(kept bool)) (front.Stream, error) {
	over(e.kept)
	e.mu.Lock()
	e.requests = append(e.requests, req)
	e.mu.Unlock()
	if e.fault != nil {
		if err := e.fault(at, req, -1); err != nil {
			if errors.Is(err, errSilent) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return nil, err
		}
	}
	e.mu.Lock()
	e.generated++
	e.mu.Unlock()
	return &engineStream{engine: e, at: at, req: req, next: req.Offset}, nil
}

// sends returns the requests that engines were asked.
func (e *engine) sends() []wire.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests)
}

func (e *engine) Cancel(_ context.Context, _ netip.AddrPort, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, requestID)
	return nil
}

func (e *engine) Alive(_ context.Context, at netip.AddrPort) error {
	if e.alive == nil {
		return nil
	}
	return e.alive(at)
}

type engineStream struct {
	engine *engine
	at     netip.AddrPort
	req    wire.GenerateRequest
	next   int
	ready  []wire.Chunk
}

func (s *engineStream) Next(ctx context.Context) (wire.Chunk, error) {
	for {
		if len(s.ready) > 0 {
			chunk := s.ready[0]
			s.ready = s.ready[1:]
			return chunk, nil
		}
		if err := s.step(ctx); err != nil {
			return wire.Chunk{}, err
		}
	}
}

func (s *engineStream) step(ctx context.Context) error {
	if s.engine.pause > 0 {
		select {
		case <-time.After(s.engine.pause):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.engine.fault != nil {
		if err := s.engine.fault(s.at, s.req, s.next); err != nil {
			if errors.Is(err, errSilent) {
				<-ctx.Done()
				return ctx.Err()
			}
			return err
		}
	}
	if s.next > s.req.MaxTokens {
		return io.EOF
	}
	chunk := wire.Chunk{RequestID: s.req.RequestID, Index: s.next, Text: token(s.req, s.next)}
	if s.next == s.req.MaxTokens {
		chunk = wire.Chunk{RequestID: s.req.RequestID, Done: true, Tokens: s.next, Reason: "length"}
	}
	s.next++
	s.ready = []wire.Chunk{chunk}
	if s.engine.alter != nil {
		s.ready = s.engine.alter(s.at, chunk)
	}
	return nil
}

func (s *engineStream) Close() {}

var errSilent = fmt.Errorf("the connection goes silent")

// plainSender sends to plain services by an ordinary transport.
type plainSender struct {
	http.RoundTripper
	// fault may fail a send before or after it.
	before, after func(req *http.Request) error
}

func (s *plainSender) Send(req *http.Request, _ bool) (*http.Response, error) {
	if s.before != nil {
		if err := s.before(req); err != nil {
			return nil, err
		}
	}
	resp, err := s.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if s.after != nil {
		if err := s.after(req); err != nil {
			resp.Body.Close()
			return nil, err
		}
	}
	return resp, nil
}

// rig is an entry's request path over fakes.
type rig struct {
	clock  timer.System
	t      testing.TB
	config *config.Config
	table  *route.Table
	queues *queue.Queues
	limits *admit.TenantLimits
	engine *engine
	sender *plainSender
	// services replaces sender.
	services front.Services
	// engines replaces engine.
	engines front.Engine
	bounds  front.Bounds
	link    *link.Link
	// idle bounds callers that stall.
	idle    time.Duration
	store   *kvmem.Store
	driver  *dedup.Driver
	handler *front.Handler
	demand  queue.Demander

	mu       sync.Mutex
	outcomes []front.Outcome
	demands  []ports.Demand
	ids      int
}

func testConfig() *config.Config {
	return &config.Config{
		Version: 1,
		Services: map[string]config.Service{
			"assist": {Kind: config.KindModel, Class: config.ClassInteractive, Deadline: config.Duration(20 * time.Second)},
			"proofs": {Kind: config.KindModel, Class: config.ClassDeferrable, Deadline: config.Duration(time.Minute)},
			"tickets": {Kind: config.KindPlain, Class: config.ClassInteractive, Routes: []config.Route{
				{Method: "POST", Prefix: "/issue", Class: config.ClassRunOnce},
				{Method: "GET", Prefix: "/orders", Class: config.ClassLookup},
			}},
		},
		Models: map[string]config.Model{
			"menu":  {Service: "assist"},
			"proof": {Service: "proofs"},
		},
		Adapters: map[string]config.Adapter{"river": {Model: "menu"}, "gold": {Model: "proof"}},
	}
}

func newRig(t testing.TB, change ...func(*rig)) *rig {
	r := &rig{t: t, config: testConfig(), engine: &engine{}, sender: &plainSender{RoundTripper: http.DefaultTransport}}
	clock := r.clock
	r.table = route.NewTable("bul-a", "bulacan", clock, 1)
	r.limits = admit.NewTenantLimits()
	r.queues = queue.New(r.table, queue.DemandFunc(r.askFor), clock)
	r.table.OnChange(r.queues.Process)
	r.store = kvmem.NewStore(clock)
	r.driver = newDriver(r.store, "entry-1", 1)
	for _, f := range change {
		f(r)
	}
	if r.services == nil {
		r.services = r.sender
	}
	if r.engines == nil {
		r.engines = r.engine
	}
	r.handler = front.New(front.Deps{
		Config: r.configuration,
		Table:  r.table, Room: r.queues, Limits: r.limits, Claims: r.driver,
		Engine: r.engines, Services: r.services, Timer: clock,
		Observe: r.observe, NewID: r.newID, ReadIdle: r.idle, WriteIdle: r.idle, Bounds: r.bounds, Link: r.link,
	})
	return r
}

func (r *rig) configuration() *config.Config { return r.config }

func (r *rig) observe(o front.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("id-%d", r.ids)
}

func (r *rig) askFor(ctx context.Context, demand ports.Demand) (ports.DemandReply, error) {
	r.mu.Lock()
	r.demands = append(r.demands, demand)
	r.mu.Unlock()
	if r.demand == nil {
		return ports.DemandReply{Status: ports.DemandAccepted}, nil
	}
	return r.demand.Demand(ctx, demand)
}

func replicaRow(id, model string, port uint16) ports.Replica {
	return ports.Replica{
		ID: id, Model: model, Target: "target-" + id, Zone: "bul-a", Region: "bulacan",
		Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Phase: ports.PhaseReady, Concurrency: 8,
	}
}

func (r *rig) rows(seq uint64, rows ...ports.Replica) {
	r.table.Apply("entry-1", ports.TableDelta{Stream: 1, Seq: seq, Replicas: rows})
}
