package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/route"
)

// Bounds of run-once calls.
const (
	// keptBytes bounds the body of an outcome that is kept.
	keptBytes = 4 << 10
	// onceAttempts bounds the instances tried while nothing can have been sent.
	onceAttempts = 3
	// onceLeast is the time that has to be left when a claimed call is sent.
	onceLeast = 50 * time.Millisecond
)

// headerOutcome tells that an answer is the kept outcome of an earlier call.
const headerOutcome = "X-Idempotent-Replay"

// serviceOnce runs a call to a plain service at most once.
func (c *call) serviceOnce(p *passage) *Problem {
	key, problem := c.requestKey()
	if problem != nil {
		return problem
	}
	body, problem := c.readAll(c.h.Bounds.OnceBytes)
	if problem != nil {
		return unchecked(problem)
	}
	p.replay = body
	sum := callSum(c.r.Method, p.path+"?"+p.query, c.r.Header.Get("Content-Type"), body)
	return c.claimed(key, sum, func(t *ticket) *Problem { return c.passOnce(p, t) })
}

// chatOnce runs a chat completion at most once; it is not streamed, since a
// stream that was cut could only be resumed by running it again.
func (c *call) chatOnce(g *generation, req chatRequest, body []byte) *Problem {
	if req.Stream {
		return refuse(http.StatusBadRequest, reasonStreamRunOnce, "a run-once completion can't be streamed")
	}
	key, problem := c.requestKey()
	if problem != nil {
		return problem
	}
	sum := callSum(c.r.Method, pathChat, "", body)
	return c.claimed(key, sum, func(t *ticket) *Problem { return c.completeOnce(g, req, t) })
}

func (c *call) requestKey() (string, *Problem) {
	key := c.r.Header.Get(headerRequestKey)
	switch {
	case key == "":
		return "", refuse(http.StatusBadRequest, reasonNoRequestKey, "a run-once call needs the header "+headerRequestKey)
	case !printable(key):
		return "", refuse(http.StatusBadRequest, reasonBadRequestKey, headerRequestKey+" is up to 200 printable characters")
	}
	return key, nil
}

// callSum identifies a call, so that a key used for another one is noticed.
func callSum(parts ...any) string {
	h := sha256.New()
	for _, part := range parts {
		text := fmt.Appendf(nil, "%s", part)
		fmt.Fprintf(h, "%d:", len(text))
		h.Write(text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// unchecked marks a refusal that came before the key was looked up.
func unchecked(p *Problem) *Problem {
	p.KeyUnchecked = p.NotRun
	return p
}

// claimed runs a call if its key is free, and else gives its outcome.
//
// The call goes on when the caller leaves: its outcome is kept for the repeat.
func (c *call) claimed(key, sum string, run func(*ticket) *Problem) *Problem {
	c.ctx = context.WithoutCancel(c.ctx)
	looked := false
	problem := c.limited(func() *Problem {
		decision := c.h.Claims.Claim(c.ctx, dedup.Claim{
			Service: c.out.Service, Tenant: c.tenant, Key: key, BodySum: sum, TimeLeft: c.left(),
			WithoutKV: c.dir.config.Services[c.out.Service].RunWithoutClaim,
		})
		c.out.Claim = string(decision.Kind)
		looked = decision.Kind != dedup.DecisionUnavailable
		return c.heed(decision, run)
	})
	if problem != nil && !looked {
		return unchecked(problem)
	}
	return problem
}

func (c *call) heed(d dedup.Decision, run func(*ticket) *Problem) *Problem {
	switch d.Kind {
	case dedup.DecisionRun, dedup.DecisionRunUnclaimed:
		t := &ticket{claims: c.h.Claims, ticket: d.Ticket}
		defer t.close()
		return run(t)
	case dedup.DecisionOutcome:
		return c.replay(d.Outcome)
	case dedup.DecisionInProgress:
		return fail(http.StatusConflict, reasonInProgress, "the call with this key runs").after(d.RetryAfter)
	case dedup.DecisionUnknown:
		return fail(http.StatusConflict, reasonUnknownOutcome, "the call with this key may have run")
	case dedup.DecisionMismatch:
		return refuse(http.StatusUnprocessableEntity, reasonKeyReused, "the key belongs to another call")
	case dedup.DecisionFull:
		return refuse(http.StatusServiceUnavailable, reasonNoClaims, "no more keys can be kept").after(d.RetryAfter)
	case dedup.DecisionUnavailable:
	}
	return refuse(http.StatusServiceUnavailable, reasonNoClaims, "the key could not be claimed").after(d.RetryAfter)
}

// replay gives a repeat the outcome of the call that ran.
func (c *call) replay(o dedup.Outcome) *Problem {
	if !o.BodyKept {
		p := fail(http.StatusConflict, reasonBodyNotKept, "the call with this key ran; its answer's body was not kept")
		p.OutcomeUnknown = false
		p.OutcomeStatus = o.Status
		return p
	}
	c.w.Header().Set(headerOutcome, "true")
	c.conclude(nil)
	c.answerHead(o.Status, http.Header(o.Header).Clone())
	c.w.Write(o.Body)
	return nil
}

// passOnce sends a claimed call to one instance. Another one is tried only
// while nothing can have reached the first.
func (c *call) passOnce(p *passage, t *ticket) *Problem {
	for attempt := 1; ; attempt++ {
		choice, problem := p.place()
		if problem != nil {
			return problem
		}
		if c.left() < onceLeast {
			choice.Release(c.h.Timer.Now(), route.Result{})
			return refuse(http.StatusGatewayTimeout, admit.ReasonDeadline, "too little time was left to run the call")
		}
		t.sent()
		r := <-p.send(choice, true)
		if r.err == nil {
			defer r.cancel()
			return c.relay(r, t)
		}
		problem = p.failed(r)
		if !problem.NotRun {
			return problem
		}
		t.unsent()
		if attempt == onceAttempts || c.ctx.Err() != nil {
			return problem
		}
		c.out.Retries++
	}
}

// completeOnce generates a claimed completion.
func (c *call) completeOnce(g *generation, req chatRequest, t *ticket) *Problem {
	g.once = true
	t.sent()
	var text strings.Builder
	problem := g.run(func(s string) error {
		text.WriteString(s)
		return nil
	})
	if problem != nil {
		if problem.NotRun {
			t.unsent()
		}
		return problem
	}
	answer := encode(g.completion(req.Model, text.String()))
	t.begin(http.StatusOK, http.Header{"Content-Type": {contentJSON}})
	t.add(answer)
	t.end(true)
	return c.writeBody(http.StatusOK, answer)
}

// ticket follows a claimed call to its end and reports it, whatever happens.
type ticket struct {
	claims  Claims
	ticket  dedup.Ticket
	endKind dedup.EndKind
	outcome dedup.Outcome
	body    bytes.Buffer
	dropped bool
	closed  bool
}

// sent notes that from now on the call may have run.
func (t *ticket) sent() { t.endKind = dedup.EndUnknown }

// unsent notes that nothing was sent after all.
func (t *ticket) unsent() { t.endKind = dedup.EndNotRun }

// begin takes the head of the answer.
func (t *ticket) begin(status int, header http.Header) {
	t.endKind = dedup.EndAnswered
	t.outcome.Status = status
	t.outcome.Header = header.Clone()
}

// add takes a part of the body.
func (t *ticket) add(part []byte) {
	if t.dropped {
		return
	}
	if t.body.Len()+len(part) > keptBytes {
		t.dropped = true
		t.body = bytes.Buffer{}
		return
	}
	t.body.Write(part)
}

// end takes the end of the body and reports the call's end. It has to come
// before the caller can have seen the answer whole: a repeat may follow at once.
func (t *ticket) end(whole bool) {
	t.outcome.BodyKept = whole && !t.dropped
	if t.outcome.BodyKept {
		t.outcome.Body = t.body.Bytes()
	}
	t.close()
}

// close reports the end of the call, once.
func (t *ticket) close() {
	if t.closed {
		return
	}
	t.closed = true
	if t.endKind == "" {
		t.endKind = dedup.EndNotRun
	}
	t.claims.Finish(dedup.Finish{Ticket: t.ticket, EndKind: t.endKind, Outcome: t.outcome})
}
