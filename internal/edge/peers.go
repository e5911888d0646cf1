package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Limits of messages between instances.
const (
	pathExchange       = "/exchange"
	exchangeTimeout    = 700 * time.Millisecond
	peerSilenceTimeout = time.Second
	maxMessageBytes    = 4 << 20
	// exchangeInterval is the interval of messages to the holder while no request waits
	// for a model.
	exchangeInterval = 350 * time.Millisecond
	// urgentExchangeInterval is the interval while requests wait for models.
	urgentExchangeInterval = 100 * time.Millisecond
	// exchangeIntervalPerMember is added to both intervals for each instance, so that the
	// holder's work does not grow with the fleet.
	exchangeIntervalPerMember = 2 * time.Millisecond
	// minExchangeInterval is the minimum time between two messages.
	minExchangeInterval = 30 * time.Millisecond
	// maxUpdateAge is how long after the holder's last update an instance need not read
	// the store itself.
	maxUpdateAge = 900 * time.Millisecond
	// holderCheckInterval is the minimum time between two checks for another holder.
	holderCheckInterval = 1500 * time.Millisecond
	// planInterval is the interval at which the holder runs the planners.
	planInterval = 50 * time.Millisecond
)

// exchangeRequest is the body of a POST to /exchange, with which an instance tells the
// holder its demand.
type exchangeRequest struct {
	From string `json:"from"`
	// Zone, Peer and Cores give a holder that does not know the instance its availability
	// zone, its peer address and its processor time.
	Zone   string          `json:"zone,omitempty"`
	Peer   netip.AddrPort  `json:"peer,omitzero"`
	Cores  float64         `json:"cores,omitempty"`
	Demand []picker.Demand `json:"demand,omitempty"`
	// Leaving lists targets that have announced that they are leaving.
	Leaving []fleet.Identity `json:"leaving,omitempty"`
	// Limits reports rate limits of targets that the holder has not heard of, and Wants
	// asks for permits to send requests to targets with a limit.
	Limits []quota.Report `json:"limits,omitempty"`
	Wants  []quota.Want   `json:"wants,omitempty"`
	// Crashes reports targets that crashed under requests, and what survived.
	Crashes *crash.Report `json:"crashes,omitempty"`
	// Load reports the requests in flight by target, and plain services' arrivals.
	Load *load.Report `json:"load,omitempty"`
	// Term and Version identify the updates that the instance has.
	Term    int64  `json:"holding,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// exchangeReply is the holder's response to an exchangeRequest.
type exchangeReply struct {
	Term    int64  `json:"holding"`
	Version uint64 `json:"version"`
	// Members is the number of instances that exchange messages with the holder.
	Members int `json:"members"`
	// Readers lists the readers of the requesting instance's zone, which read the store
	// for the others while there is no holder. It is empty if they have not changed since
	// the last reply.
	Readers []netip.AddrPort `json:"readers,omitempty"`
	// ConfigRevision is the store revision of the configuration. ConfigThrough and
	// TargetsThrough are the store revisions up to which the holder has read
	// configurations and targets.
	ConfigRevision uint64          `json:"config"`
	ConfigThrough  uint64          `json:"configThrough,omitempty"`
	TargetsThrough uint64          `json:"newsThrough,omitempty"`
	Updates        []picker.Update `json:"news,omitempty"`
	// Full reports whether targets without an update are gone. For RemovalDelayMS
	// milliseconds they are to be kept, since some may reappear after an outage of the
	// store.
	Full           bool  `json:"whole,omitempty"`
	RemovalDelayMS int64 `json:"doubtMs,omitempty"`
	// ReadyInMS is the expected time until each model can serve, in milliseconds.
	ReadyInMS map[string]int64 `json:"expected,omitempty"`
	// Load is the load of all instances; nil if the request does not ask for it.
	Load *load.Snapshot `json:"load,omitempty"`
	// Grants answers the wants of the request.
	Grants []quota.Grant `json:"grants,omitempty"`
	// Crashes answers the report of the request.
	Crashes crash.Reply `json:"crashes,omitzero"`
	// Proof is the proof that the configuration of the replying instance is the newest.
	Proof *proofNote `json:"proof,omitempty"`
}

// peerClient sends messages to other instances.
type peerClient struct {
	http http.Client
	// onProof is called with the headers of each reply to /config and with the time on now
	// before the request.
	now     func() time.Time
	onProof func(askedAt time.Time, h http.Header)
}

func newPeerClient() *peerClient {
	return &peerClient{
		http: http.Client{Transport: gate.NewDialer(gate.WithSilence(peerSilenceTimeout)).Transport(nil)},
		now:  time.Now, onProof: func(time.Time, http.Header) {},
	}
}

func (p *peerClient) exchange(ctx context.Context, to netip.AddrPort, m exchangeRequest) (exchangeReply, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return exchangeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+to.String()+pathExchange, bytes.NewReader(data))
	if err != nil {
		return exchangeReply{}, err
	}
	a, err := p.do(req, maxMessageBytes)
	if err != nil {
		return exchangeReply{}, trace.Wrap(err, "exchange with %s", to)
	}
	if a.status != http.StatusOK {
		return exchangeReply{}, trace.CompareFailed("exchange with %s: HTTP status %d", to, a.status)
	}
	var r exchangeReply
	if err := json.Unmarshal(a.body, &r); err != nil {
		return exchangeReply{}, trace.BadParameter("exchange with %s: %v", to, err)
	}
	return r, nil
}

// peerResponse is another instance's HTTP response, its body cut at the limit for
// reading.
type peerResponse struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and reads at most limit bytes of the response body.
func (p *peerClient) do(req *http.Request, limit int64) (peerResponse, error) {
	resp, err := p.http.Do(req)
	if err != nil {
		return peerResponse{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return peerResponse{status: resp.StatusCode, header: resp.Header, body: body}, err
}

// servePeer handles requests of other instances.
func (e *Edge) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathConfig && r.Method == http.MethodGet {
		e.serveConfig(w, r)
		return
	}
	if r.URL.Path == pathChanges && r.Method == http.MethodGet {
		e.serveChanges(w, r)
		return
	}
	if r.URL.Path == pathPermits && r.Method == http.MethodPost {
		e.servePermits(w, r)
		return
	}
	if r.URL.Path == pathCrashes && r.Method == http.MethodPost {
		e.serveCrashes(w, r)
		return
	}
	if r.URL.Path != pathExchange || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var m exchangeRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&m); err != nil || m.From == "" {
		e.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("invalid message rejected")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, ok := e.handleExchange(m)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.writeJSON(w, out)
}

// writeJSON sends a value to another instance.
func (e *Edge) writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		e.log.Error().Err(err).Msg("cannot encode the reply")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// exchangeLoop sends this instance's demand to the holder and applies the updates in the
// reply, until ctx ends.
func (e *Edge) exchangeLoop(ctx context.Context) {
	var last exchangeReply
	var checkedAt time.Time
	for ctx.Err() == nil {
		err := e.exchangeOnce(ctx, &last)
		if now := e.timer.Now(); err != nil && now.Sub(checkedAt) > holderCheckInterval {
			e.log.Info().Err(err).Msg("no update from the holder")
			checkedAt = now
			e.election.Post(elect.HolderUnresponsive{})
		}
		if err != nil {
			e.crashes.JudgeAlone(e.picker.CountTargets)
		}
		e.updateHolderWatch()
		e.awaitNextExchange(ctx, e.exchangeDelay(last.Members))
	}
}

// exchangeDelay is the time until the next message. It ends early when a model that
// requests wait for is expected to be ready.
func (e *Edge) exchangeDelay(members int) time.Duration {
	spread := time.Duration(members) * exchangeIntervalPerMember
	if due, waiting := e.picker.TimeToNextPermit(); waiting {
		return min(due, urgentExchangeInterval+spread)
	}
	if !e.picker.HasQueued() {
		return exchangeInterval + spread
	}
	if due := e.picker.TimeToNextLoad(); due > 0 {
		return min(due, urgentExchangeInterval+spread)
	}
	return urgentExchangeInterval + spread
}

// awaitNextExchange waits until the next message is due or a request begins to wait.
func (e *Edge) awaitNextExchange(ctx context.Context, d time.Duration) {
	sleep(ctx, minExchangeInterval)
	waitFor(ctx, e.demandSignal, d-minExchangeInterval)
}

var errNoHolder = trace.NotFound("no holder is known")

func (e *Edge) exchangeOnce(ctx context.Context, last *exchangeReply) error {
	status := e.coordinator.holderStatus()
	sentAt, askedAt := e.timer.Now(), e.clock.Now()
	m := exchangeRequest{
		From: e.boot.Instance, Demand: e.picker.Demand(), Leaving: e.picker.AnnouncedLeaving(),
		Term: last.Term, Version: last.Version, Load: e.loadReport(),
	}
	m.Limits, m.Wants = e.picker.LimitDemand()
	crashes := e.crashes.Report()
	if !crashes.IsEmpty() {
		m.Crashes = &crashes
	}
	if last.Full {
		// The holder's last reply was full, so it may not know this instance.
		m.Zone, m.Peer, m.Cores = e.boot.Zone, e.boot.Peer, e.boot.Cores
	}
	switch {
	case status.IsHolder:
		r, steady := e.handleExchange(m)
		if !steady {
			return nil
		}
		e.applyPermits(m, r, sentAt)
		e.applyUpdates(r)
		e.picker.ApplyLoad(r.Term, r.Load, sentAt)
		e.crashes.Apply(r.Term, &crashes, &r.Crashes)
		*last = r
		e.coordinator.sendDueOrders()
	case status.Holder.IsValid():
		r, err := e.peerClient.exchange(ctx, status.Holder, m)
		if err != nil {
			return err
		}
		e.acceptProof(askedAt, r.Proof)
		e.applyPermits(m, r, sentAt)
		e.applyUpdates(r)
		e.picker.ApplyLoad(r.Term, r.Load, sentAt)
		e.crashes.Apply(r.Term, &crashes, &r.Crashes)
		e.updatedAt.Store(e.clock.Now().UnixNano())
		*last = r
	default:
		return errNoHolder
	}
	return nil
}

// handleExchange responds to an instance's message as the holder. The read revisions are
// loaded first, so that the updates contain everything up to them.
func (e *Edge) handleExchange(m exchangeRequest) (exchangeReply, bool) {
	config, targets := e.configThrough(), e.targetFollower.readThrough.Load()
	r, ok := e.coordinator.handleExchange(m)
	r.ConfigThrough, r.TargetsThrough = config, targets
	r.RemovalDelayMS = e.health.removalDelay().Milliseconds()
	r.Proof = e.proofNote()
	return r, ok
}

// applyPermits applies what the holder's reply to m, sent at sentAt, says of rate limits.
func (e *Edge) applyPermits(m exchangeRequest, r exchangeReply, sentAt time.Time) {
	e.picker.ApplyPermits(quota.Reply{
		Term: r.Term, Members: r.Members, SentAt: sentAt, Reports: m.Limits, Grants: r.Grants,
	})
}

// applyUpdates applies the updates in the holder's reply.
func (e *Edge) applyUpdates(r exchangeReply) {
	now := e.timer.Now()
	expected := make(map[string]time.Time, len(r.ReadyInMS))
	for model, in := range r.ReadyInMS {
		expected[model] = now.Add(time.Duration(in) * time.Millisecond)
	}
	if r.Full {
		e.dropUnlisted(r.Updates, time.Duration(r.RemovalDelayMS)*time.Millisecond)
	}
	e.picker.ApplyUpdates(r.Updates, expected)
	e.budget.SetInstances(r.Members)
	if len(r.Readers) > 0 {
		e.readers.Store(&r.Readers)
	}
	e.targetsKnown.Store(true)
	e.configFollower.noteUpdate(r.ConfigRevision, r.ConfigThrough)
	e.targetFollower.noteUpdate(0, r.TargetsThrough)
	e.targetFollower.coveredRevision.Store(r.TargetsThrough)
}

// dropUnlisted removes the targets that the holder's full list does not contain. The
// holder decides how long they are kept, since the list is its own.
func (e *Edge) dropUnlisted(listed []picker.Update, delay time.Duration) {
	present := make(map[string]bool, len(listed))
	for i := range listed {
		present[listed[i].ID] = true
	}
	for _, id := range e.picker.MissingFrom(present) {
		e.picker.Remove(id, delay)
	}
}

// hasFreshUpdates reports whether the holder's updates are fresh, so that this instance
// need not read the store itself.
func (e *Edge) hasFreshUpdates() bool {
	return !e.isHolder() && e.updateAge() < maxUpdateAge
}

// updateAge returns the time since the holder's last update.
func (e *Edge) updateAge() time.Duration {
	return time.Duration(e.clock.Now().UnixNano() - e.updatedAt.Load())
}

// planLoop runs the planners at short intervals while this instance is the holder.
func (e *Edge) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.isHolder() {
			e.coordinator.sendDueOrders()
			sleep(ctx, planInterval)
			continue
		}
		sleep(ctx, urgentExchangeInterval)
	}
}
