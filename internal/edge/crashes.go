package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/relay"
)

const (
	// pathCrashes takes the accusations of an instance that stops.
	pathCrashes = "/crashes"
	// keeperTimeout is how long one instance may take to keep them. Several are asked within
	// closeTimeout.
	keeperTimeout = 150 * time.Millisecond
)

// proofSlack is added to the interval of messages for the time in which an instance that
// is asked for proofs has answered.
const proofSlack = 300 * time.Millisecond

// judgeCrashes applies what an instance reports of crashes, blocks the parts of prompts
// that explain them, and returns what the instance lacks.
func (k *coordinator) judgeCrashes(now time.Time, m exchangeRequest, senders int) crash.Reply {
	report := m.Crashes
	if report == nil {
		report = &crash.Report{}
	}
	k.crashes.Report(now, report)
	if !k.crashes.IsIdle() {
		answerTime := k.answerTime(senders)
		for _, b := range k.crashes.Judge(now, answerTime, k.countTargets) {
			k.log.Warn().Str("parts", b.Parts).Str("service", b.Service).Str("scope", string(b.Scope)).
				Int("ends", b.Ends).Msg("block decided")
		}
	}
	return k.crashes.Reply(now, report, m.Term == k.term())
}

// answerTime is the time in which all instances have been asked for proofs and have
// replied. Relays pass the question on, the replies come directly.
func (k *coordinator) answerTime(senders int) time.Duration {
	direct := exchangeInterval + relay.Spread(senders) + proofSlack
	if k.tree.IsEmpty() {
		return direct
	}
	return direct + relay.MaxRelayAge
}

// countTargets returns the number of targets of a service.
func (k *coordinator) countTargets(service string) int {
	n := 0
	for _, r := range k.targets {
		if r.Service == service {
			n++
		}
	}
	return n
}

// handOverCrashes leaves what this instance has accused to another one, so that it outlives
// a planned stop. It ends with ctx.
func (e *Edge) handOverCrashes(ctx context.Context) {
	kept := e.crashes.HandOver()
	if len(kept) == 0 {
		return
	}
	data, err := json.Marshal(kept)
	if err != nil {
		e.log.Error().Err(err).Msg("cannot encode the accusations")
		return
	}
	for _, to := range e.crashKeepers() {
		if err = e.postCrashes(ctx, to, data); err == nil {
			e.log.Info().Str("to", to.String()).Int("bytes", len(data)).Msg("accusations handed over")
			return
		}
	}
	e.log.Warn().Err(err).Int("bytes", len(data)).Msg("accusations lost")
}

func (e *Edge) postCrashes(ctx context.Context, to netip.AddrPort, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	return e.peerClient.post(ctx, to, pathCrashes, data)
}

// crashKeepers returns the other instances that may keep accusations, in the order in which
// they are asked: the holder, the members of this instance's own term, which has ended with
// the stop if it was the holder, and the readers of its zone.
func (e *Edge) crashKeepers() []netip.AddrPort {
	var out []netip.AddrPort
	if holder := e.coordinator.holderStatus().Holder; holder.IsValid() && holder != e.boot.Peer {
		out = append(out, holder)
	}
	others := e.coordinator.lastMembers()
	if readers := e.readers.Load(); readers != nil {
		others = append(slices.Clone(others), *readers...)
	}
	for _, to := range others {
		if to != e.boot.Peer {
			out = append(out, to)
		}
	}
	return out
}

// post sends a body to another instance.
func (p *peerClient) post(ctx context.Context, to netip.AddrPort, path string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	a, err := p.do(req, p.messages)
	if err != nil {
		return trace.Wrap(err, "post %s to %s", path, to)
	}
	if a.status != http.StatusOK {
		return trace.CompareFailed("post %s to %s: HTTP status %d", path, to, a.status)
	}
	return nil
}

// serveCrashes keeps the accusations of an instance that stops. An instance that stops
// itself takes none.
func (e *Edge) serveCrashes(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	var kept []crash.Kept
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&kept); err != nil {
		rejectMessage(w, r, err)
		return
	}
	e.crashes.Keep(kept)
	w.WriteHeader(http.StatusOK)
}
