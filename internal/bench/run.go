package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	chatTokens   = 64
	idlePerEntry = 256
)

// Run carries out a plan and reports how it went.
func Run(ctx context.Context, d Deployment, shape Shape, plan Plan) (*Report, error) {
	if len(d.Entries) == 0 {
		return nil, trace.BadParameter("no entries to run against")
	}
	r := newRunner(d, shape)
	defer r.client.CloseIdleConnections()
	if err := r.reach(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	before, cpuErr := cpuOf(ctx, r.client, d.Metrics)
	idle := r.watchIdle(ctx)
	r.play(ctx, plan)
	used := idle()
	if ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err(), "run cut short")
	}
	report := r.record.report(shape.Name)
	report.Accelerators = used
	if after, err := cpuOf(ctx, r.client, d.Metrics); len(d.Metrics) > 0 && err == nil && cpuErr == nil {
		report.addCPU(after - before)
	}
	if err := r.addRuns(ctx, report, plan); err != nil {
		report.Notes = append(report.Notes, err.Error())
	}
	return report, nil
}

type runner struct {
	deployment Deployment
	shape      Shape
	client     *http.Client
	callers    []*Caller
	control    *control
	record     *recorder
}

func newRunner(d Deployment, shape Shape) *runner {
	r := &runner{
		deployment: d,
		shape:      shape,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerEntry}},
		control:    newControl(d),
		record:     newRecorder(),
	}
	for _, url := range d.Entries {
		r.callers = append(r.callers, NewCaller(url, d.Key, r.client))
	}
	return r
}

// reach fails if no entry takes a connection.
func (r *runner) reach(ctx context.Context) error {
	var last Answer
	for _, c := range r.callers {
		last = c.Models(ctx)
		if last.Verdict != Unreached {
			return nil
		}
	}
	return trace.ConnectionProblem(nil, "no entry can be reached: %s", last.Reason)
}

// play starts each call at its time, whether earlier ones have ended or not:
// callers do not wait for each other when a system gets slow.
func (r *runner) play(ctx context.Context, plan Plan) {
	began := time.Now()
	var wait sync.WaitGroup
	for _, t := range plan.Troubles {
		wait.Go(func() { r.trouble(ctx, began, t) })
	}
	for _, shot := range plan.Shots {
		if !sleepUntil(ctx, began.Add(shot.At)) {
			break
		}
		wait.Go(func() { r.record.add(shot, r.shoot(ctx, shot)) })
	}
	wait.Wait()
	r.record.took = time.Since(began)
}

// shoot makes a call at the shot's entry, or as a balancer would, at the next
// one that takes the connection.
func (r *runner) shoot(ctx context.Context, shot Shot) Answer {
	var answer Answer
	for n := range r.callers {
		answer = r.shootAt(ctx, shot, r.callers[(shot.Entry+n)%len(r.callers)])
		if answer.Verdict != Unreached {
			break
		}
	}
	return answer
}

func (r *runner) shootAt(ctx context.Context, shot Shot, caller *Caller) Answer {
	switch shot.Kind {
	case ShotLookup:
		return caller.Call(ctx, Call{
			Service: r.shape.PlainService, Method: http.MethodGet, Path: shot.Path, Deadline: r.shape.Deadline,
		})
	case ShotRunOnce:
		return caller.Call(ctx, Call{
			Service: r.shape.PlainService, Method: http.MethodPost, Path: shot.Path,
			Body: shot.Content, Key: shot.Key, Deadline: r.shape.Deadline,
		})
	}
	return caller.Chat(ctx, Chat{
		Model: shot.Model, Adapter: shot.Adapter, Content: shot.Content, Seed: shot.Seed,
		Tokens: chatTokens, Deadline: r.shape.Deadline,
	})
}

func (r *runner) trouble(ctx context.Context, began time.Time, t Trouble) {
	if !sleepUntil(ctx, began.Add(t.At)) {
		return
	}
	end, err := r.control.begin(ctx, t)
	if err != nil {
		r.record.note(string(t.Kind) + " not brought about: " + err.Error())
		return
	}
	r.record.note(string(t.Kind) + " at " + t.At.Round(time.Millisecond).String())
	sleepUntil(ctx, began.Add(t.At+t.For))
	// A run that was cut short must not leave its faults behind.
	if err := end(context.WithoutCancel(ctx)); err != nil {
		r.record.note(string(t.Kind) + " not ended: " + err.Error())
	}
}

// addRuns compares the plan with what the plain services ran.
func (r *runner) addRuns(ctx context.Context, report *Report, plan Plan) error {
	if len(r.deployment.Services) == 0 {
		report.Notes = append(report.Notes, "doubled runs not checked: no service stand-ins given")
		return nil
	}
	runs, err := r.control.runs(ctx)
	if err != nil {
		return trace.Wrap(err, "doubled runs not checked")
	}
	report.RunsChecked = true
	seen := make(map[string]bool)
	for _, shot := range plan.Shots {
		if shot.Kind != ShotRunOnce || seen[shot.Key] {
			continue
		}
		seen[shot.Key] = true
		if runs[shot.Key] > 1 {
			report.Doubled++
		}
		if runs[shot.Key] > 0 && r.record.refused[shot.Key] && !r.record.taken[shot.Key] {
			report.FalseNotRun++
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
