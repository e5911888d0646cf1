package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/transport/opapi"
)

const (
	// settleTimeout bounds the wait until every entry has the configuration and
	// knows the instances.
	settleTimeout = 30 * time.Second
	settlePoll    = 50 * time.Millisecond
)

// patchText makes version 1: a model service with two models and an adapter, a
// plain service whose tickets are issued at most once, and a tenant.
const patchText = `{
  "id": "demo-1", "base": 0, "author": "demo",
  "set": {
    "services": {
      "supper-assist": {"kind": "model", "class": "interactive", "deadline": "30s"},
      "ticket-desk": {"kind": "plain", "class": "lookup", "deadline": "10s",
        "routes": [{"method": "POST", "prefix": "/tickets", "class": "runOnce"}]}
    },
    "models": {
      "menu-7b": {"service": "supper-assist", "checkpoint": "menu-7b-r1", "memoryBytes": 17179869184, "loadTime": "1s"},
      "banquet-70b": {"service": "supper-assist", "checkpoint": "banquet-70b-r1", "memoryBytes": 51539607552, "loadTime": "1s"}
    },
    "adapters": {"menu-tagalog": {"model": "menu-7b", "checkpoint": "menu-tagalog-r1", "memoryBytes": 104857600}},
    "rules": {"menu-7b": {"maxReplicas": 2}, "banquet-70b": {"maxReplicas": 1}},
    "tenants": {"residents": {"keyHashes": ["%s"]}}
  }
}`

// session plays one visit of an operator and a caller.
type session struct {
	deployment *Deployment
	client     *http.Client
	report     Report
}

// Report is what happened in a session.
type Report struct {
	Steps []Step       `json:"steps"`
	Day   daily.Report `json:"day"`
}

// Step is one thing that was done and what came of it.
type Step struct {
	Step string `json:"step"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Took is the time until the whole answer, FirstToken until its first part.
	Took       time.Duration `json:"tookNanos"`
	FirstToken time.Duration `json:"firstTokenNanos,omitempty"`
	Result     string        `json:"result"`
}

func newSession(d *Deployment) *session {
	return &session{deployment: d, client: &http.Client{}}
}

// play runs the whole session and fails if an answer is not what it should be.
func (s *session) play(ctx context.Context) (Report, error) {
	steps := []func(context.Context) error{
		s.playPatch, s.playCold, s.playWarm, s.playAdapter, s.playService, s.playOnce, s.playRefusal, s.playDay,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return s.report, trace.Wrap(err)
		}
	}
	return s.report, nil
}

func (s *session) patch(ctx context.Context) (*operator.PatchResult, error) {
	api, err := opapi.NewClient(s.deployment.Operators(0), OperatorKey, s.client)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	body := io.NopCloser(strings.NewReader(fmt.Sprintf(patchText, KeyHash(CallerKey))))
	result, err := api.Patch(ctx, body)
	if err != nil {
		return nil, trace.Wrap(err, "patch")
	}
	return result, s.settle(ctx, result.Version)
}

// settle waits until every entry has the version, is ready and knows of the
// others' zones, and some entry owns each shard.
func (s *session) settle(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for n := range s.deployment.Entries {
		api, err := opapi.NewClient(s.deployment.Operators(n), OperatorKey, s.client)
		if err != nil {
			return trace.Wrap(err)
		}
		for {
			status, err := api.Status(ctx)
			if err != nil {
				return trace.Wrap(err, "waiting for version %d", version)
			}
			if status.Ready && status.ConfigVersion >= version && ownedHere(status) && s.zonesKnown(status) {
				break
			}
			time.Sleep(settlePoll)
		}
	}
	return nil
}

// zonesKnown tells whether the entry knows a member of each zone.
func (s *session) zonesKnown(status *operator.StatusResult) bool {
	known := make(map[string]bool)
	for _, m := range status.Members {
		known[m.Zone] = true
	}
	return len(known) == s.deployment.zones
}

// ownedHere tells whether every shard of the entry's zone has an owner and targets.
func ownedHere(status *operator.StatusResult) bool {
	owned := 0
	for _, m := range status.Members {
		if m.Zone == status.Zone {
			owned += len(m.Shards)
		}
	}
	return owned >= len(status.Shards)
}

func (s *session) note(step Step) {
	s.report.Steps = append(s.report.Steps, step)
}

func (s *session) playPatch(ctx context.Context) error {
	began := time.Now()
	result, err := s.patch(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	s.note(Step{
		Step: "patch", Took: time.Since(began),
		Result: fmt.Sprintf("version %d is in force at all %d entries", result.Version, len(s.deployment.Entries)),
	})
	return nil
}

func (s *session) playCold(ctx context.Context) error {
	return s.chat(ctx, "cold model", "menu-7b")
}

func (s *session) playWarm(ctx context.Context) error {
	return s.chat(ctx, "warm model", "menu-7b")
}

func (s *session) playAdapter(ctx context.Context) error {
	return s.chat(ctx, "adapter", "menu-7b:menu-tagalog")
}

func (s *session) playService(ctx context.Context) error {
	return s.send(ctx, "plain service", http.MethodGet, "/services/ticket-desk/seats", "", nil, http.StatusOK)
}

// playOnce buys the same ticket at two entries: the second gets the outcome of
// the first.
func (s *session) playOnce(ctx context.Context) error {
	header := http.Header{"Idempotency-Key": {"ticket-17"}}
	for n, step := range []string{"run-once call", "its repeat elsewhere"} {
		err := s.sendTo(ctx, n, step, http.MethodPost, "/services/ticket-desk/tickets", `{"seat":"B17"}`, header, http.StatusOK)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	runs := 0
	for _, service := range s.deployment.Services {
		runs += service.Executions().Runs["ticket-17"]
	}
	if runs != 1 {
		return trace.Errorf("the ticket was issued %d times", runs)
	}
	return nil
}

// playRefusal asks for a cold model with less time than its load takes.
func (s *session) playRefusal(ctx context.Context) error {
	body := `{"model":"banquet-70b","messages":[{"role":"user","content":"Seats for ninety?"}]}`
	header := http.Header{"X-Deadline": {"300ms"}}
	return s.send(ctx, "refusal", http.MethodPost, "/v1/chat/completions", body, header, http.StatusServiceUnavailable)
}

func (s *session) playDay(ctx context.Context) error {
	api, err := opapi.NewClient(s.deployment.Operators(0), OperatorKey, s.client)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := api.Day(ctx, "")
	if err != nil {
		return trace.Wrap(err, "day page")
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, &s.report.Day))
}
