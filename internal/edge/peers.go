package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Limits of messages between instances.
const (
	pathExchange = "/exchange"
	// exchangeTimeout limits the time until a reply of the holder begins, fullListTimeout
	// that until its end: a list of 4,000 targets takes 0.3 s at 10 Mbit/s.
	exchangeTimeout    = 700 * time.Millisecond
	fullListTimeout    = 2 * time.Second
	peerSilenceTimeout = time.Second
	maxMessageBytes    = 4 << 20
	// maxRepliesBytes limits what all replies of a kind that are being read hold. The largest
	// one needs one and a half times its size while its buffer grows.
	maxRepliesBytes = 24 << 20
	// exchangeInterval is the interval of messages while no request waits for a model.
	exchangeInterval = relay.Interval
	// urgentExchangeInterval is the interval while requests wait for models.
	urgentExchangeInterval = relay.UrgentInterval
	// minExchangeInterval is the minimum time between two messages.
	minExchangeInterval = 30 * time.Millisecond
	// maxUpdateAge is how long after the holder's last update an instance need not read
	// the store itself.
	maxUpdateAge = relay.MaxAge
	// holderCheckInterval is the minimum time between two checks for another holder.
	holderCheckInterval = 1500 * time.Millisecond
	// planInterval is the interval at which the holder runs the planners.
	planInterval = 50 * time.Millisecond
	// planRest is how many times as long as a plan the time to the next one is at least. A
	// plan for some thousand targets takes as long as planInterval, and other instances wait
	// for their replies meanwhile.
	planRest = 4
)

// errNoSender is the error of a message that does not say who has sent it.
var errNoSender = errors.New("the message names no sender")

// exchangeRequest is the body of a POST to /exchange, with which an instance tells the
// holder its demand.
type exchangeRequest struct {
	From string `json:"from"`
	// Zone, Peer and Cores give a holder that does not know the instance its availability
	// zone, its peer address and its processor time.
	Zone  string         `json:"zone,omitempty"`
	Peer  netip.AddrPort `json:"peer,omitzero"`
	Cores float64        `json:"cores,omitempty"`
	// Demand is sent in binary form.
	Demand []picker.Demand `json:"-"`
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
	// Seq numbers the messages of an instance, and Resent repeats the arrivals of earlier
	// ones that had no reply, so that each is counted once.
	Seq    uint64        `json:"seq,omitempty"`
	Resent []relay.Batch `json:"resent,omitempty"`
	// IsWithoutDemand means that the demand of the instance's last message still counts.
	IsWithoutDemand bool `json:"withoutDemand,omitempty"`
	// Children names the instances whose demand a relay reports.
	Children *relay.Children `json:"children,omitempty"`
	// IsAside means that the instance reports its demand to a relay, and only limits,
	// permits and crashes to the holder.
	IsAside bool `json:"aside,omitempty"`
	// HadRelays is what the last reply said of the relays of the instance's zone.
	HadRelays bool `json:"hadRelays,omitempty"`
	// NeedsFull means that the instance's relays have not replied since the holder has told
	// it to ask them for the full list.
	NeedsFull bool `json:"needsFull,omitempty"`
	// ConfigVersion is the version of the sender's configuration, if the store has come back from an
	// older copy: a holder that has started since may have read an older one there.
	ConfigVersion int64 `json:"configVersion,omitempty"`
	// HistoryFrom is as in a reply, and Left lists targets that have left, as the sender knows, although the
	// holder tells of an entry: that may be of the older copy.
	HistoryFrom eras.Revision    `json:"historyFrom,omitzero"`
	Left        []departedTarget `json:"left,omitempty"`
	// Blocks is the version of the blocked parts that the instance has; for relays, which
	// get no crash reports.
	Blocks uint64 `json:"blocks,omitempty"`
}

// departedTarget is a target whose entry was missing at a revision of the store.
type departedTarget struct {
	ID       string        `json:"id"`
	Revision eras.Revision `json:"revision"`
}

// exchangeReply is the holder's response to an exchangeRequest.
type exchangeReply struct {
	Term    int64  `json:"holding"`
	Version uint64 `json:"version"`
	// Members is the number of instances, Senders the number of those that send their
	// messages to the holder.
	Members int `json:"members"`
	Senders int `json:"senders,omitempty"`
	// AgeMS is the age of what the reply says, in milliseconds: 0 from the holder, the
	// time since the holder's reply from a relay.
	AgeMS int64 `json:"ageMs,omitempty"`
	// Holder is the peer address of the holder, in a relay's reply.
	Holder netip.AddrPort `json:"holder,omitzero"`
	// ChildrenKnown is the hash of the relay's children that the holder knows.
	ChildrenKnown uint64 `json:"childrenKnown,omitempty"`
	// Readers lists the readers of the requesting instance's zone, which read the store
	// for the others while there is no holder. It is empty if they have not changed since
	// the last reply.
	Readers []netip.AddrPort `json:"readers,omitempty"`
	// HasRelays means that the instances of the zone send their messages to its readers.
	HasRelays bool `json:"hasRelays,omitempty"`
	// ConfigRevision is the store revision of the configuration, ConfigVersion its version.
	// ConfigThrough and TargetsThrough are the store revisions up to which the holder has read
	// configurations and targets.
	ConfigRevision eras.Revision   `json:"config"`
	ConfigVersion  int64           `json:"configVersion,omitempty"`
	ConfigThrough  eras.Revision   `json:"configThrough,omitzero"`
	TargetsThrough eras.Revision   `json:"newsThrough,omitzero"`
	Updates        []picker.Update `json:"news,omitempty"`
	// HistoryFrom is the lowest revision that the store is known to have reached after it came
	// back from an older copy; unknown if the replying instance has not heard of that.
	HistoryFrom eras.Revision `json:"historyFrom,omitzero"`
	// Full reports whether targets without an update are gone. For RemovalDelayMS
	// milliseconds they are to be kept, since some may reappear after an outage of the
	// store.
	Full           bool  `json:"whole,omitempty"`
	RemovalDelayMS int64 `json:"doubtMs,omitempty"`
	// IsRedirect means that the updates are left out, since the instance is to ask a relay
	// for the full list.
	IsRedirect bool `json:"redirect,omitempty"`
	// ReadyInMS is the expected time until each model can serve, in milliseconds.
	ReadyInMS map[string]int64 `json:"expected,omitempty"`
	// StoreLoads is how many loads from the weight store run in parallel at most, by
	// service.
	StoreLoads map[string]int `json:"storeLoads,omitempty"`
	// LostLoads are the loads whose replies the holder has lost, by service.
	LostLoads map[string][]sched.LostLoad `json:"lostLoads,omitempty"`
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
	// messages and configs read the bodies of replies.
	messages, configs *gate.Replies
	// onProof is called with the headers of each reply to /config and with the time on now
	// before the request.
	now     func() time.Time
	onProof func(askedAt time.Time, h http.Header)
}

func newPeerClient() *peerClient {
	return &peerClient{
		http:     http.Client{Transport: gate.NewDialer(gate.WithSilence(peerSilenceTimeout)).Transport(nil)},
		messages: gate.NewReplies(maxMessageBytes, maxRepliesBytes),
		configs:  gate.NewReplies(maxConfigBytes, maxRepliesBytes),
		now:      time.Now, onProof: func(time.Time, http.Header) {},
	}
}

// exchange sends a message to the holder or, with pathRelay, to a relay. The reply must
// begin within the timeout.
func (p *peerClient) exchange(ctx context.Context, to netip.AddrPort, path string, m exchangeRequest, timeout time.Duration) (exchangeReply, error) {
	data, err := encodeExchange(m)
	if err != nil {
		return exchangeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fullListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, nil)
	if err != nil {
		return exchangeReply{}, err
	}
	setBody(req, data)
	late := time.AfterFunc(timeout, cancel)
	defer late.Stop()
	a, err := p.do(req, p.messages, func() { late.Stop() })
	if err != nil {
		return exchangeReply{}, trace.Wrap(err, "exchange with %s", to)
	}
	if a.status == http.StatusConflict {
		return exchangeReply{}, trace.Wrap(errNotFresh, "exchange with %s", to)
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

// peerResponse is another instance's HTTP response.
type peerResponse struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and has replies read the response body. It calls the functions began once
// the response has begun.
func (p *peerClient) do(req *http.Request, replies *gate.Replies, began ...func()) (peerResponse, error) {
	req.Header.Set("Accept-Encoding", encodingGzip)
	resp, err := p.http.Do(req)
	if err != nil {
		return peerResponse{}, err
	}
	defer resp.Body.Close()
	for _, f := range began {
		f()
	}
	body, err := readBody(resp.Header, resp.Body, replies.ReadAll)
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
	if r.URL.Path == pathLedger && r.Method == http.MethodPost {
		e.serveLedger(w, r)
		return
	}
	if r.URL.Path == pathCrashes && r.Method == http.MethodPost {
		e.serveCrashes(w, r)
		return
	}
	handle := e.handleExchange
	if r.URL.Path == pathRelay {
		handle = e.relayExchange
	}
	if r.URL.Path != pathExchange && r.URL.Path != pathRelay || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	m, err := readExchange(r)
	if err != nil {
		rejectMessage(w, r, err)
		return
	}
	acceptMessage(r)
	out, ok := handle(m)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.writeJSON(w, r, out)
}

// encodeExchange encodes a message: JSON in one line, then the demand in binary form.
func encodeExchange(m exchangeRequest) ([]byte, error) {
	demand := m.Demand
	m.Demand = nil
	line, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return relay.AppendDemand(append(line, '\n'), demand), nil
}

func decodeExchange(data []byte) (exchangeRequest, error) {
	line, binary, _ := bytes.Cut(data, []byte("\n"))
	var m exchangeRequest
	if err := json.Unmarshal(line, &m); err != nil {
		return exchangeRequest{}, err
	}
	if m.From == "" {
		return exchangeRequest{}, errNoSender
	}
	demand, err := relay.DecodeDemand(binary)
	m.Demand = demand
	return m, err
}

// readExchange reads the message of another instance.
func readExchange(r *http.Request) (exchangeRequest, error) {
	body, err := readBody(r.Header, r.Body, readAtMost(maxMessageBytes))
	if err != nil {
		return exchangeRequest{}, err
	}
	return decodeExchange(body)
}

// writeJSON sends a value to another instance in response to r.
func (e *Edge) writeJSON(w http.ResponseWriter, r *http.Request, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		e.log.Error().Err(err).Msg("cannot encode the reply")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, r, data)
}

// exchangeLoop sends this instance's demand to a relay or the holder and applies the
// updates in the reply, until ctx ends.
func (e *Edge) exchangeLoop(ctx context.Context) {
	var checkedAt time.Time
	for ctx.Err() == nil {
		err := e.exchangeOnce(ctx)
		if now := e.timer.Now(); err != nil && now.Sub(checkedAt) > holderCheckInterval {
			e.log.Info().Err(err).Msg("no update from the holder")
			checkedAt = now
			e.election.Post(elect.HolderUnresponsive{})
		}
		if err != nil {
			e.crashes.JudgeAlone(e.picker.CountTargets)
		}
		e.updateHolderWatch()
		e.awaitNextExchange(ctx, e.exchangeDelay())
	}
}

// exchangeDelay is the time until the next message. It ends early when a model that
// requests wait for is expected to be ready.
func (e *Edge) exchangeDelay() time.Duration {
	interval, urgent := e.exchangeIntervals()
	if due, waiting := e.picker.TimeToNextPermit(); waiting {
		return min(due, urgent)
	}
	if due := e.picker.TimeToNextLoad(); due > 0 {
		return min(due, urgent)
	}
	if e.picker.HasQueued() || e.children.HasQueued(e.clock.Now()) {
		return urgent
	}
	return interval
}

// awaitNextExchange waits until the next message is due or a request begins to wait.
func (e *Edge) awaitNextExchange(ctx context.Context, d time.Duration) {
	sleep(ctx, minExchangeInterval)
	waitFor(ctx, e.demandSignal, d-minExchangeInterval)
}

var errNoHolder = trace.NotFound("no holder is known")

// exchangeOnce sends one message: to a relay if this instance has one that replies, else
// to the holder. What only the holder may decide goes to the holder in any case.
func (e *Edge) exchangeOnce(ctx context.Context) error {
	status := e.coordinator.holderStatus()
	out := e.newMessage()
	if status.IsHolder {
		e.exchangeWithSelf(out)
		return nil
	}
	var err error
	if relays := e.relaysToAsk(); len(relays) > 0 {
		if out.needsHolder() && status.Holder.IsValid() {
			err = e.exchangeAside(ctx, status.Holder, out)
		}
		if e.exchangeWithRelays(ctx, relays, out) {
			return err
		}
	}
	if !status.Holder.IsValid() {
		return errNoHolder
	}
	out.NeedsFull = e.sender.needsFull(e.clock.Now())
	return e.exchangeWithHolder(ctx, status.Holder, out)
}

// handleExchange responds to an instance's message as the holder. The read revisions are
// loaded first, so that the updates contain everything up to them.
func (e *Edge) handleExchange(m exchangeRequest) (exchangeReply, bool) {
	e.noteMemberConfig(&m)
	if len(m.Left) > 0 {
		e.history.Adopt(e.clock.Now(), m.HistoryFrom)
		e.tracker.applyLeft(m.Left)
	}
	config, targets := e.configThrough(), e.targetFollower.readThrough.Load()
	r, ok := e.coordinator.handleExchange(m)
	r.ConfigThrough, r.TargetsThrough, r.HistoryFrom = config, targets, e.history.First()
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

// applyUpdates applies the updates in a reply of the holder or a relay, which say what the
// holder knew at asOf or later.
func (e *Edge) applyUpdates(r exchangeReply, from origin, asOf time.Time) {
	isPresent := e.noteHistory(&r)
	now := e.timer.Now().Add(-time.Duration(r.AgeMS) * time.Millisecond)
	expected := make(map[string]time.Time, len(r.ReadyInMS))
	for model, in := range r.ReadyInMS {
		expected[model] = now.Add(time.Duration(in) * time.Millisecond)
	}
	e.tracker.applyUpdates(&updateSet{
		list: r.Updates, from: from, through: r.TargetsThrough, asOf: asOf,
		isFull: r.Full, removalDelay: time.Duration(r.RemovalDelayMS) * time.Millisecond, expected: expected,
	})
	e.coordinator.setLoads(r.StoreLoads, r.LostLoads)
	e.budget.SetInstances(r.Members)
	e.members.Store(int64(r.Members))
	if len(r.Readers) > 0 {
		e.readers.Store(&r.Readers)
	}
	e.hasRelays.Store(r.HasRelays)
	e.targetsKnown.Store(true)
	if !isPresent {
		return
	}
	e.configFollower.noteUpdate(r.ConfigRevision, r.ConfigVersion, r.ConfigThrough)
	e.targetFollower.noteUpdate(eras.Revision{}, 0, r.TargetsThrough)
	e.targetFollower.coveredRevision.Store(r.TargetsThrough)
}

// noteHistory records what a reply says of the store's history. It returns false if its sender knows a
// former one only, whose revisions say nothing of the present one.
func (e *Edge) noteHistory(r *exchangeReply) bool {
	now := e.clock.Now()
	if !r.HistoryFrom.IsZero() {
		e.history.Note(now, r.HistoryFrom)
	}
	return r.TargetsThrough.IsZero() || e.history.Note(now, r.TargetsThrough)
}

// expectsUpdates reports whether there is another holder that may be alive, and so will send
// its updates.
func (e *Edge) expectsUpdates() bool {
	s := e.coordinator.holderStatus()
	refused := e.refusedBy.Load()
	return !s.IsHolder && s.Holder.IsValid() && (refused == nil || *refused != s.Holder)
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
			began := e.timer.Now()
			e.coordinator.sendDueOrders()
			if term, isRead := e.coordinator.takeTargetsRead(); isRead {
				e.election.Post(elect.TargetsRead{TermNumber: term})
			}
			sleep(ctx, max(planInterval, planRest*e.timer.Now().Sub(began)))
			continue
		}
		sleep(ctx, urgentExchangeInterval)
	}
}
