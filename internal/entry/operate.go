package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/transport/opapi"
)

// patchBytes is how much of a patch is read; whatever is longer is refused by
// the parser, which has the exact bound.
const patchBytes = 2 << 20

// operations answers the operators' API.
type operations struct{ *Entry }

// Patch applies a patch.
func (o operations) Patch(ctx context.Context, _ *operator.PatchPayload, body io.ReadCloser) (*operator.PatchResult, error) {
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, patchBytes))
	if err != nil {
		return nil, opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "halfSent", "the patch broke off: "+err.Error())
	}
	patch, err := config.ParsePatch(data)
	if err != nil {
		return nil, patchProblem(err)
	}
	answer, err := o.parts.patches.call(ctx, func(id uint64) {
		o.parts.cfglog.Post(cfglog.PatchRequested{ID: id, Patch: patch})
	})
	if err != nil {
		return nil, unavailable("outcomeUnknown", "send the same patch with the same id again: "+trace.UserMessage(err))
	}
	if answer.Err != nil {
		return nil, patchProblem(answer.Err)
	}
	result := &operator.PatchResult{Version: uint64(answer.Version), Repeated: answer.Repeated}
	for _, w := range answer.Warnings {
		result.Warnings = append(result.Warnings, w.Path+": "+w.Text)
	}
	return result, nil
}

// patchProblem is the problem document of a patch that was not accepted.
func patchProblem(err error) *operator.Problem {
	var invalid *config.InvalidError
	var conflict *cfglog.ConflictError
	var future *cfglog.FutureBaseError
	var down *cfglog.UnavailableError
	var reused *cfglog.IDReusedError
	var damaged *config.DamagedError
	var format *config.FormatError
	switch {
	case errors.As(err, &invalid):
		p := opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "invalid", "nothing of the patch was applied")
		for _, f := range invalid.Faults {
			p.Problems = append(p.Problems, f.String())
		}
		return p
	case errors.As(err, &conflict):
		p := opapi.NewProblem("conflict", http.StatusConflict, "staleBase", conflict.Error())
		current := uint64(conflict.Current)
		p.Current = &current
		p.Changes = conflict.Since
		return p
	case errors.As(err, &future):
		return opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "futureBase", future.Error())
	case errors.As(err, &reused):
		return opapi.NewProblem("conflict", http.StatusConflict, "idReused", reused.Error())
	case errors.As(err, &damaged):
		return unavailable("valueDamaged", damaged.Error())
	case errors.As(err, &format):
		return unavailable("valueNewer", format.Error())
	case errors.As(err, &down):
		return unavailable(string(down.Outcome), down.Error())
	}
	return opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "invalid", trace.UserMessage(err))
}

func unavailable(reason, detail string) *operator.Problem {
	return opapi.NewProblem("unavailable", http.StatusServiceUnavailable, reason, detail)
}

// Config reads the configuration at a version.
func (o operations) Config(ctx context.Context, p *operator.ConfigPayload) (any, error) {
	answer, err := o.parts.reads.call(ctx, func(id uint64) {
		o.parts.cfglog.Post(cfglog.ReadRequested{ID: id, Version: config.Version(p.Version)})
	})
	if err == nil {
		err = answer.Err
	}
	if err != nil {
		return nil, readProblem(err)
	}
	return answer.Config, nil
}

// History lists the patches after a version.
func (o operations) History(ctx context.Context, p *operator.HistoryPayload) (any, error) {
	answer, err := o.parts.history.call(ctx, func(id uint64) {
		o.parts.cfglog.Post(cfglog.HistoryRequested{ID: id, After: config.Version(p.After), Limit: p.Limit})
	})
	if err == nil {
		err = answer.Err
	}
	if err != nil {
		return nil, readProblem(err)
	}
	return answer.Records, nil
}

func readProblem(err error) *operator.Problem {
	if trace.IsNotFound(err) {
		return opapi.NewProblem("notFound", http.StatusNotFound, "unknownVersion", trace.UserMessage(err))
	}
	return unavailable("unavailable", trace.UserMessage(err))
}

// Day reads the day page.
func (o operations) Day(ctx context.Context, p *operator.DayPayload) (any, error) {
	date, err := o.date(p.Date)
	if err != nil {
		return nil, opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "invalidDate", trace.UserMessage(err))
	}
	report, err := o.day(ctx, date)
	if err != nil {
		return nil, unavailable("unavailable", trace.UserMessage(err))
	}
	return report, nil
}

// Drain starts a graceful shutdown, or takes a target or a zone out of use.
func (o operations) Drain(_ context.Context, p *operator.DrainPayload) (*operator.DrainResult, error) {
	switch p.Scope {
	case "target":
		return o.drainTargets(p, p.Name)
	case "zone":
		if p.Name != o.self.Zone {
			return nil, opapi.NewProblem("notFound", http.StatusNotFound, "otherZone",
				fmt.Sprintf("this entry serves zone %s; ask an entry of %q", o.self.Zone, p.Name))
		}
		return o.drainTargets(p, "")
	}
	if p.Undo {
		return nil, opapi.NewProblem("invalid", http.StatusUnprocessableEntity, "cannotUndo", "the drain of an entry ends with the entry")
	}
	if p.Name != "" && p.Name != o.self.ID {
		return nil, opapi.NewProblem("notFound", http.StatusNotFound, "otherEntry",
			fmt.Sprintf("this is entry %s; send the call to %s itself", o.self.ID, p.Name))
	}
	o.spawn(func(context.Context) { o.StartDrain() })
	return &operator.DrainResult{Scope: p.Scope, Name: o.self.ID, State: "draining"}, nil
}

// Status tells how this entry sees the deployment.
func (o operations) Status(context.Context, *operator.StatusPayload) (*operator.StatusResult, error) {
	waiting, _ := o.queues.Size()
	counts := o.kv.Counts()
	result := &operator.StatusResult{
		ID:            o.self.ID,
		Zone:          o.self.Zone,
		Region:        o.self.Region,
		Ready:         o.ready.Load(),
		Draining:      o.stopping.Load(),
		ConfigVersion: uint64(o.config().Version),
		KvReachable:   o.kvReachable(),
		KvCalls: map[string]uint64{
			"reads": counts.Reads, "writes": counts.Writes, "watches": counts.Watches, "lists": counts.Lists,
		},
		Waiting:  int(waiting),
		InFlight: o.front.InFlight(),
		Members:  []*operator.MemberStatus{},
		Shards:   []*operator.ShardStatus{},
		Replicas: []*operator.ReplicaStatus{},
	}
	for _, m := range o.members() {
		result.Members = append(result.Members, memberStatus(m))
	}
	for _, s := range o.shardStatuses() {
		result.Shards = append(result.Shards, shardStatus(s))
	}
	for _, r := range o.zone.Rows() {
		result.Replicas = append(result.Replicas, replicaStatus(r))
	}
	return result, nil
}

// silentKV is how long no answer of the KV service counts as an outage.
const silentKV = 15 * time.Second

func (e *Entry) kvReachable() bool {
	last := e.kv.LastAnswer()
	return !last.IsZero() && e.timer.Now().Sub(last) < silentKV
}

// shardStatuses asks each shard's loop for its state between two steps.
func (e *Entry) shardStatuses() []owner.Status {
	statuses := make([]owner.Status, 0, len(e.parts.shards))
	for _, s := range e.parts.shards {
		seen := make(chan owner.Status, 1)
		s.loop.Inspect(func() { seen <- s.part.Status() })
		select {
		case status := <-seen:
			statuses = append(statuses, status)
		case <-e.ctx.Done():
		}
	}
	return statuses
}

func memberStatus(m ports.Member) *operator.MemberStatus {
	shards := m.Shards
	if shards == nil {
		shards = []int{}
	}
	return &operator.MemberStatus{
		ID: m.ID, Zone: m.Zone, Region: m.Region, Addr: m.Addr.String(), Phase: string(m.Phase),
		ConfigVersion: uint64(m.ConfigVersion), Shards: shards,
	}
}

func shardStatus(s owner.Status) *operator.ShardStatus {
	out := &operator.ShardStatus{
		Zone: s.Zone, Shard: s.Shard, Epoch: uint64(s.Epoch), Mode: s.Stage, Targets: len(s.Targets), Permits: s.Permits,
	}
	for _, t := range s.Targets {
		out.ChargedBytes += t.ChargedBytes
	}
	if s.OffPlan {
		detail := fmt.Sprintf("cut off from the KV service; %d changes of the plan are not written", s.Unwritten)
		out.Detail = &detail
	}
	return out
}

func replicaStatus(r ports.Replica) *operator.ReplicaStatus {
	adapters := r.Adapters
	if adapters == nil {
		adapters = []string{}
	}
	return &operator.ReplicaStatus{
		ID: r.ID, Model: r.Model, Target: r.Target, Zone: r.Zone, Shard: r.Shard, Phase: string(r.Phase),
		Adapters: adapters, Running: r.Running, Queued: r.Queued, Leaving: r.Leaving,
	}
}
