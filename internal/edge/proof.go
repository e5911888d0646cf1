package edge

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/proof"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/platform"
)

const (
	// strictWatchTimeout is the time of one watch of the configuration while revocation is
	// bounded. A proof is at least as old as the watch that gave it.
	strictWatchTimeout = 750 * time.Millisecond
	// proofCheckInterval is the interval at which the age of the proof is recorded.
	proofCheckInterval = 250 * time.Millisecond
	// maxProofAge is the age above which a proof is of no use to anybody.
	maxProofAge = time.Hour
	// headerProof holds the proof of an instance in a reply to /config: its revision and
	// its age in milliseconds, separated by a space.
	headerProof = "X-Proof"
)

// proofNote is the proof of an instance in its reply to another.
type proofNote struct {
	Revision eras.Revision `json:"revision"`
	// AgeMS is the age at the time of the reply in milliseconds, rounded up.
	AgeMS int64 `json:"ageMs"`
}

// proofNote returns this instance's proof for a reply, nil if it has none.
func (e *Edge) proofNote() *proofNote {
	p, ok := e.proofs.Proof(e.clock.Now())
	if !ok {
		return nil
	}
	return &proofNote{Revision: p.Revision, AgeMS: int64((p.Age + time.Millisecond - 1) / time.Millisecond)}
}

// acceptProof records the proof in a reply to a question sent after askedAt.
func (e *Edge) acceptProof(askedAt time.Time, n *proofNote) {
	if n == nil || n.AgeMS < 0 || n.AgeMS > maxProofAge.Milliseconds() {
		return
	}
	e.proofs.RecordReply(askedAt, proof.Proof{Revision: n.Revision, Age: time.Duration(n.AgeMS) * time.Millisecond})
}

// setProofHeader adds this instance's proof to a reply to /config.
func (e *Edge) setProofHeader(h http.Header) {
	if n := e.proofNote(); n != nil {
		h.Set(headerProof, n.Revision.String()+" "+strconv.FormatInt(n.AgeMS, 10))
	}
}

// acceptProofHeader records the proof in a reply to /config.
func (e *Edge) acceptProofHeader(askedAt time.Time, h http.Header) {
	text := h.Get(headerProof)
	if text == "" {
		return
	}
	revision, age, _ := strings.Cut(text, " ")
	r, err1 := eras.Parse(revision)
	ms, err2 := strconv.ParseInt(age, 10, 64)
	if err1 != nil || err2 != nil {
		e.log.Warn().Str("proof", text).Msg("unreadable proof ignored")
		return
	}
	e.acceptProof(askedAt, &proofNote{Revision: r, AgeMS: ms})
}

// noteConfigRead records the proof that a call to the store, sent after askedAt, has given. A store that has
// just come back from an older copy may lack a configuration that the operators write again.
func (e *Edge) noteConfigRead(askedAt time.Time, newest eras.Revision) {
	if age, hasReturned := e.history.Age(askedAt); hasReturned && age < leaseRecoveryTime {
		return
	}
	e.proofs.RecordOwn(askedAt, newest)
}

// configThrough returns the store revision up to which this instance has seen all
// configurations, an unknown one if it may lack one: another instance would not look for it either.
func (e *Edge) configThrough() eras.Revision {
	through := e.configFollower.readThrough.Load()
	if e.proofs.HasGap() {
		return eras.Revision{}
	}
	return through
}

// skipConfig handles a configuration that does not replace the active one. previous is the
// revision that was read before it, unknown if others may be in between.
func (e *Edge) skipConfig(previous eras.Revision, item storeItem) {
	e.proofs.Skip(previous, item.at)
}

// activeItem identifies the value of the active configuration in the store.
type activeItem struct {
	revision eras.Revision
	digest   [sha256.Size]byte
}

func newActiveItem(item storeItem) activeItem {
	return activeItem{revision: item.at, digest: sha256.Sum256(item.Value)}
}

// isRewrittenAs reports whether an item holds the same value, written once more.
func (a *activeItem) isRewrittenAs(item storeItem) bool {
	return item.at.After(a.revision) && sha256.Sum256(item.Value) == a.digest
}

// isRevocationBounded reports whether a key must be accepted nowhere some time after its
// removal.
func (e *Edge) isRevocationBounded() bool { return e.bounds.Load().Revocation > 0 }

// configWatchTimeout is the time of one watch of the configuration. The first one that proves something
// after the store has come back begins and ends early, since proofs may be about to expire.
func (e *Edge) configWatchTimeout() time.Duration {
	if !e.isRevocationBounded() {
		return watchTimeout
	}
	age, hasReturned := e.history.Age(e.clock.Now())
	switch {
	case !hasReturned || age >= leaseRecoveryTime+probeWatchTimeout:
		return strictWatchTimeout
	case age >= leaseRecoveryTime:
		return probeWatchTimeout
	}
	return max(min(strictWatchTimeout, leaseRecoveryTime-age), time.Millisecond)
}

// keysProven reports whether API keys may be accepted.
func (e *Edge) keysProven() bool {
	bound := e.bounds.Load().Revocation
	if bound <= 0 {
		return true
	}
	proven := e.proofs.Accepts(e.clock.Now(), bound)
	e.noteProven(proven)
	return proven
}

// noteProven logs that the proof has expired or has been restored.
func (e *Edge) noteProven(proven bool) {
	if e.wasProven.Load() == proven || e.wasProven.Swap(proven) == proven {
		return
	}
	p, ok := e.proofs.Proof(e.clock.Now())
	text := "proof of the configuration restored"
	line := e.log.Info()
	if !proven {
		text = "proof of the configuration expired"
		line = e.log.Warn()
	}
	line.Bool("known", ok).Dur("age", p.Age).Stringer("revision", p.Revision).
		Dur("bound", e.bounds.Load().Revocation).Msg(text)
}

// proofLoop records the age of the proof for metrics, and logs when the proof expires and
// when it is restored although no request comes.
func (e *Edge) proofLoop(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, proofCheckInterval) {
		c := e.config.Load()
		if c == nil || !c.HasTeams() || !e.isRevocationBounded() {
			continue
		}
		e.keysProven()
		if p, ok := e.proofs.Proof(e.clock.Now()); ok {
			e.metrics.proofAged(p.Age)
		}
	}
}

// newestRevision returns the newest revision of the configuration among items, an unknown one if it is
// not among them.
func newestRevision(items []storeItem) eras.Revision {
	for _, item := range items {
		if item.Key == platform.ConfigKey {
			return item.at
		}
	}
	return eras.Revision{}
}
