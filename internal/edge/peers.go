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

	"chivecroft.example/chivecroft/internal/coordination/seat"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Bounds of messages to the holder.
const (
	pathExchange    = "/exchange"
	exchangeTimeout = 700 * time.Millisecond
	peerSilence     = time.Second
	messageBytes    = 4 << 20
	// exchangeEvery is the interval of messages; while requests wait for models it
	// is exchangeWaiting.
	exchangeEvery   = 400 * time.Millisecond
	exchangeWaiting = 100 * time.Millisecond
	// exchangeLeast is the least time between two messages.
	exchangeLeast = 30 * time.Millisecond
	// planEvery is the interval at which the holder plans.
	planEvery = 40 * time.Millisecond
)

// message is what an instance tells the holder.
type message struct {
	From   string        `json:"from"`
	Demand []seat.Demand `json:"demand,omitempty"`
	// Token and Versions tell which news the instance has.
	Token    uint64            `json:"token,omitempty"`
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// reply is the holder's answer.
type reply struct {
	Token    uint64            `json:"token"`
	Versions map[string]uint64 `json:"versions"`
	// Members is the number of instances that talk to the holder.
	Members int         `json:"members"`
	News    []seat.News `json:"news,omitempty"`
	// Expected is the time in milliseconds until a model serves.
	Expected map[string]int64 `json:"expected,omitempty"`
}

// peers sends messages to the holder.
type peers struct{ http http.Client }

func newPeers() *peers {
	return &peers{http: http.Client{Transport: gate.NewDialer(gate.WithSilence(peerSilence)).Transport(nil)}}
}

func (p *peers) exchange(ctx context.Context, to netip.AddrPort, m message) (reply, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+to.String()+pathExchange, bytes.NewReader(data))
	if err != nil {
		return reply{}, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return reply{}, trace.Wrap(err, "exchange with %s", to)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, messageBytes))
	if err != nil {
		return reply{}, trace.Wrap(err, "exchange with %s", to)
	}
	if resp.StatusCode != http.StatusOK {
		return reply{}, trace.CompareFailed("exchange with %s: HTTP status %d", to, resp.StatusCode)
	}
	var r reply
	if err := json.Unmarshal(answer, &r); err != nil {
		return reply{}, trace.BadParameter("exchange with %s: %v", to, err)
	}
	return r, nil
}

// servePeer answers another instance's message.
func (e *Edge) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != pathExchange || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var m message
	if err := json.NewDecoder(io.LimitReader(r.Body, messageBytes)).Decode(&m); err != nil || m.From == "" {
		e.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("message rejected")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, mine := e.keeper.exchange(m)
	if !mine {
		w.WriteHeader(http.StatusConflict)
		return
	}
	data, err := json.Marshal(out)
	if err != nil {
		e.log.Error().Err(err).Msg("reply not written")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// talk tells the holder of this instance's demand and takes the news, until ctx ends.
func (e *Edge) talk(ctx context.Context) {
	var known news
	regular := exchangeEvery
	for ctx.Err() == nil {
		if err := e.talkOnce(ctx, &known); err != nil {
			e.log.Debug().Err(err).Msg("no news from the holder")
		}
		wait := regular
		if e.board.Waits() {
			wait = exchangeWaiting
		}
		e.pauseTalk(ctx, wait)
	}
}

// pauseTalk waits until the next message is due or a request begins to wait.
func (e *Edge) pauseTalk(ctx context.Context, d time.Duration) {
	sleep(ctx, exchangeLeast)
	t := time.NewTimer(d - exchangeLeast)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.waiting:
	case <-ctx.Done():
	}
}

func (e *Edge) talkOnce(ctx context.Context, known *news) error {
	status := e.keeper.current()
	if !status.Holder.IsValid() {
		return trace.NotFound("no holder is known")
	}
	m := message{
		From: e.boot.Instance, Demand: e.board.Demand(), Token: known.token, Versions: known.versions,
	}
	var r reply
	if status.Mine {
		own, mine := e.keeper.exchange(m)
		if !mine {
			return trace.CompareFailed("the holder has changed")
		}
		r = own
		defer e.keeper.work()
	} else {
		answer, err := e.peers.exchange(ctx, status.Holder, m)
		if err != nil {
			return err
		}
		r = answer
	}
	known.take(r, e.timer.Now(), e.board)
	e.budget.SetInstances(r.Members)
	return nil
}

// plan lets the holder look for work at short intervals.
func (e *Edge) plan(ctx context.Context) {
	for ctx.Err() == nil {
		if e.keeper.current().Mine {
			e.keeper.work()
			sleep(ctx, planEvery)
			continue
		}
		sleep(ctx, exchangeWaiting)
	}
}
