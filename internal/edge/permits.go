package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/usage"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
)

const (
	pathPermits = "/permits"
	// permitTimeout is well below the time that a request waits for a permit, so that its
	// ask can be repeated.
	permitTimeout = 250 * time.Millisecond
	// permitBatchTime is the minimum time between two messages.
	permitBatchTime = 5 * time.Millisecond
	// permitRetryDelay is the delay after a message without a reply.
	permitRetryDelay = 50 * time.Millisecond
	// permitIdleWait is how long the loop sleeps while no quotas are used.
	permitIdleWait = time.Second
	// largestTokens is the number of tokens of the largest plausible request.
	largestTokens = 15_000
	// maxPermitMessages limits the messages in flight of an instance, maxPermitConns those of
	// all instances, since each has a connection to the holder. Asks that come meanwhile go
	// with the next message.
	maxPermitMessages = 32
	maxPermitConns    = maxPeerConns * 3 / 4
)

// permitRefusal is the body of the response of an instance that is not the holder, with the
// holder that it knows. Stop says that its own ledger has stopped.
type permitRefusal struct {
	Holder netip.AddrPort `json:"holder,omitzero"`
	Stop   *usage.Stop    `json:"stop,omitempty"`
}

// servePermits answers the message of another instance.
func (e *Edge) servePermits(w http.ResponseWriter, r *http.Request) {
	var m usage.Message
	err := json.NewDecoder(r.Body).Decode(&m)
	if err == nil && m.From == "" {
		err = errNoSender
	}
	if err != nil {
		rejectMessage(w, r, err)
		return
	}
	acceptMessage(r)
	out, err := e.coordinator.answerPermits(m)
	if err == nil {
		e.writeJSON(w, r, out)
		return
	}
	refusal := permitRefusal{}
	if stop := (stopError{}); errors.As(err, &stop) {
		refusal.Stop = &stop.Stop
	}
	if s := e.coordinator.holderStatus(); !s.IsHolder {
		refusal.Holder = s.Holder
	}
	data, err := json.Marshal(refusal)
	if err != nil {
		e.log.Error().Err(err).Msg("cannot encode the refusal")
	}
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write(data)
}

// setQuotas applies the quotas of a configuration, which may be nil.
func (e *Edge) setQuotas(c *fleet.Config) {
	if c == nil {
		return
	}
	var limits []usage.Limit
	for i := range c.Teams {
		if t := &c.Teams[i]; t.HasQuota() {
			l := usage.Limit{Team: t.Name, Rate: t.Rate, Burst: t.Burst, Largest: 1}
			if t.Unit == fleet.UnitTokens {
				l.Largest = largestTokens
			}
			limits = append(limits, l)
		}
	}
	b := quotaBounds(e.bounds.Load())
	e.coordinator.teamQuotas.setTeams(e.clock.Now(), b, limits)
	e.permits.setTeams(b, limits)
}

func quotaBounds(b *platform.Bounds) usage.Bounds {
	return usage.Bounds{Window: b.QuotaWindow, Excess: b.QuotaExcess, Slack: b.QuotaSlack}
}

// permitClient obtains the permits of this instance's requests.
type permitClient struct {
	e *Edge
	// wake receives a value when a message is due.
	wake chan struct{}

	mu       sync.Mutex
	share    *usage.Share
	inFlight int
	// retryAt is when the next message may be sent after one without a reply.
	retryAt time.Time
	isAlone bool
	// deadHolder is the address of the holder that was found dead last, unless there has been
	// another one since.
	deadHolder netip.AddrPort
}

func newPermitClient(e *Edge) *permitClient {
	return &permitClient{e: e, wake: make(chan struct{}, 1), share: usage.NewShare(e.boot.Instance, nil)}
}

func (c *permitClient) setTeams(b usage.Bounds, limits []usage.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.SetTeams(b, limits)
}

// Acquire waits for a permit whose start has come, at most for patience.
func (c *permitClient) Acquire(ctx context.Context, d usage.Demand, patience time.Duration) (usage.Outcome, error) {
	out, err := c.request(ctx, d, patience)
	if err != nil {
		return out, err
	}
	if out.Status != usage.Granted {
		c.e.metrics.quotaUsed(d.Team, out.Status.String(), d.Amount)
		return out, nil
	}
	if wait := out.Permit.Start.Sub(c.e.clock.Now()); wait > 0 {
		sleep(ctx, wait)
	}
	if err := ctx.Err(); err != nil {
		c.Return(out.Permit)
		return out, err
	}
	c.e.metrics.quotaUsed(d.Team, out.Status.String(), d.Amount)
	return out, nil
}

func (c *permitClient) request(ctx context.Context, d usage.Demand, patience time.Duration) (usage.Outcome, error) {
	var decided chan usage.Outcome
	c.mu.Lock()
	now := c.e.clock.Now()
	d.Until = now.Add(patience)
	out, pending := c.share.Request(now, d, func(o usage.Outcome) { decided <- o })
	if pending != nil {
		decided = make(chan usage.Outcome, 1)
	}
	isDue := c.share.IsMessageDue()
	c.mu.Unlock()
	if isDue {
		c.signal()
	}
	if pending == nil {
		return out, nil
	}
	select {
	case out = <-decided:
		return out, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Cancel(pending)
	select {
	case out = <-decided:
		c.share.Return(out.Permit)
	default:
	}
	return out, ctx.Err()
}

// IsValid reports whether a permit has not expired.
func (c *permitClient) IsValid(p usage.Permit) bool { return c.e.clock.Now().Before(p.Until) }

// Return takes back a permit whose request has not run and will not.
func (c *permitClient) Return(p usage.Permit) {
	if p.Amount <= 0 {
		return
	}
	c.e.metrics.quotaUsed(p.Team, "returned", p.Amount)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Return(p)
}

// fits reports whether a team's bucket can ever hold an amount.
func (c *permitClient) fits(team string, amount float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share.Fits(team, amount)
}

func (c *permitClient) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run sends the messages until ctx ends.
func (c *permitClient) run(ctx context.Context) {
	var levelsAt time.Time
	for ctx.Err() == nil {
		sent, wait := c.next()
		if sent != nil {
			go c.exchange(ctx, sent)
			sleep(ctx, permitBatchTime)
			continue
		}
		if now := c.e.clock.Now(); c.e.isHolder() && now.Sub(levelsAt) > permitIdleWait {
			c.e.metrics.quotaLevels(c.e.coordinator.teamQuotas.levels(now))
			levelsAt = now
		}
		waitFor(ctx, c.wake, wait)
	}
}

// permitMessages returns how many messages an instance may have in flight in a fleet of the
// given number of instances.
func permitMessages(members int) int {
	return min(max(maxPermitConns/max(members, 1), 1), maxPermitMessages)
}

// next returns the message that is due or, if none is, the time until one may be.
func (c *permitClient) next() (*usage.Sent, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.e.clock.Now()
	c.share.Expire(now)
	if wait := c.retryAt.Sub(now); wait > 0 {
		return nil, wait
	}
	if c.inFlight >= permitMessages(int(c.e.members.Load())) {
		return nil, permitBatchTime
	}
	heartbeat, isUsed := c.share.NextHeartbeat(now)
	if !c.share.IsMessageDue() && (!isUsed || heartbeat > 0) {
		if !isUsed {
			heartbeat = permitIdleWait
		}
		return nil, heartbeat
	}
	c.inFlight++
	return c.share.Message(now), 0
}

// exchange sends a message and applies its reply.
func (c *permitClient) exchange(ctx context.Context, sent *usage.Sent) {
	to := c.e.coordinator.holderStatus()
	r, why, err := c.ask(ctx, to, sent.Message)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	now := c.e.clock.Now()
	if err == nil {
		c.share.Apply(now, sent, r)
		if !to.IsHolder {
			c.e.coordinator.teamQuotas.dropFormer()
		}
	} else {
		c.retryAt = now.Add(permitRetryDelay)
		stop := stopError{}
		if errors.As(err, &stop) {
			c.share.Stopped(now, sent, stop.Stop)
		} else {
			c.share.Fail(now, sent, why)
		}
		if why == usage.HolderDead {
			c.deadHolder = to.Holder
		}
	}
	if alone := c.share.IsAlone(now) || c.share.HasStopped(); alone != c.isAlone {
		c.isAlone = alone
		c.e.log.Warn().Bool("alone", alone).Bool("holderGone", why == usage.NotHolder).
			Bool("holderDead", why == usage.HolderDead).Bool("ledgerStopped", errors.As(err, &stopError{})).
			Str("asked", to.Holder.String()).Err(err).Msg("permits without a holder")
	}
}

var errNoPermits = trace.CompareFailed("the instance asked for permits is not a steady holder")

// stopError is the error of a message to an instance whose ledger has stopped.
type stopError struct{ usage.Stop }

func (stopError) Error() string { return "the ledger of the instance asked for permits has stopped" }

// noteHolder notes a change of the holder. It returns when the former holder of a new term was
// found dead, zero if it was not.
func (c *permitClient) noteHolder(s elect.Status) (deadAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Holder.IsValid() && !s.IsHolder && s.Holder != c.deadHolder {
		c.deadHolder = netip.AddrPort{}
	}
	if s.IsHolder && s.Former.IsValid() && s.Former == c.deadHolder {
		return c.share.DeadAt()
	}
	return time.Time{}
}

// ask sends a message to the holder. If that fails, it returns what is known of why.
func (c *permitClient) ask(ctx context.Context, status elect.Status, m usage.Message) (usage.Reply, usage.Failure, error) {
	switch {
	case status.IsHolder:
		r, err := c.e.coordinator.answerPermits(m)
		if err != nil {
			return r, usage.NotHolder, err
		}
		return r, usage.NoReply, nil
	case !status.Holder.IsValid():
		// The ledger of an own term may have stopped.
		_, err := c.e.coordinator.answerPermits(m)
		if !errors.As(err, &stopError{}) {
			err = errNoHolder
		}
		return usage.Reply{}, usage.NotHolder, err
	}
	return c.e.peerClient.permits(ctx, status.Holder, m)
}

// permits sends a message to another instance.
func (p *peerClient) permits(ctx context.Context, to netip.AddrPort, m usage.Message) (r usage.Reply, why usage.Failure, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	a, err := p.postJSON(ctx, to, pathPermits, m)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// Only a new connection can be refused: nothing listens at the address any more.
		return r, usage.HolderDead, trace.Wrap(err, "permits from %s", to)
	case err != nil:
		return r, usage.NoReply, trace.Wrap(err, "permits from %s", to)
	case a.status == http.StatusConflict:
		var refusal permitRefusal
		if err := json.Unmarshal(a.body, &refusal); err != nil {
			return r, usage.NoReply, trace.BadParameter("refusal of permits from %s: %v", to, err)
		}
		if !refusal.Holder.IsValid() {
			why = usage.NotHolder
		}
		if refusal.Stop != nil {
			return r, why, stopError{*refusal.Stop}
		}
		return r, why, errNoPermits
	case a.status != http.StatusOK:
		return r, usage.NoReply, trace.CompareFailed("permits from %s: HTTP status %d", to, a.status)
	}
	if err := json.Unmarshal(a.body, &r); err != nil {
		return r, usage.NoReply, trace.BadParameter("permits from %s: %v", to, err)
	}
	return r, usage.NoReply, nil
}

// postJSON sends a value to another instance.
func (p *peerClient) postJSON(ctx context.Context, to netip.AddrPort, path string, v any) (peerResponse, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return peerResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(data))
	if err != nil {
		return peerResponse{}, err
	}
	return p.do(req, p.messages)
}
