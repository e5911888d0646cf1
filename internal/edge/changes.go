package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/deltas"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// Limits of following the targets through a reader.
const (
	pathChanges = "/changes"
	queryWait   = "waitMs"
	// maxChangesWait is how long a reader waits for a change, well below readerTimeout.
	maxChangesWait = 300 * time.Millisecond
	// maxKeptChanges is the number of changes that a reader keeps for other instances.
	maxKeptChanges = 4096
	// changesOverlap is how far before its own latest update a reader begins to read the
	// store, since the latest updates of other instances may be older.
	changesOverlap = 3 * time.Second
)

// changes is a reader's response to /changes: what it has read from the store.
type changes struct {
	// Through is the store revision up to which Items contains all changes. Their revisions are of
	// its era.
	Through eras.Revision `json:"through"`
	// Holder is the peer address of the holder that the reader knows.
	Holder netip.AddrPort `json:"holder,omitzero"`
	Items  []change       `json:"items,omitempty"`
	// Full reports whether Items contains all keys rather than changes.
	Full bool `json:"whole,omitempty"`
	// StoreDown reports that the reader has had no response from the store recently.
	// RemovalDelayMS is how long, in milliseconds, targets missing from the store are to
	// be kept because they may reappear.
	StoreDown      bool  `json:"away,omitempty"`
	RemovalDelayMS int64 `json:"doubtMs,omitempty"`
}

// change is the latest change of one key.
type change struct {
	Key      string         `json:"key"`
	Revision ports.Revision `json:"revision"`
	Value    []byte         `json:"value,omitempty"`
	Deleted  bool           `json:"deleted,omitempty"`
}

// toDeltas converts the changes to those of package deltas.
func (c *changes) toDeltas() deltas.Changes {
	out := deltas.Changes{Through: c.Through, IsFullList: c.Full}
	for _, item := range c.Items {
		out.Items = append(out.Items, ports.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}
	return out
}

// serveChanges returns the changes after a revision to another instance. It responds with
// 409 while the holder's updates are fresh, since then this instance does not follow the
// store itself.
func (e *Edge) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := eras.Parse(query.Get(queryAfter))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.hasFreshUpdates() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	changed := e.targetFollower.changelog.Changed()
	out, ok := e.changesAfter(after)
	if ok && !out.Full && !out.StoreDown && len(out.Items) == 0 {
		waitMS, _ := strconv.ParseInt(query.Get(queryWait), 10, 64)
		waitFor(r.Context(), changed, min(time.Duration(waitMS)*time.Millisecond, maxChangesWait))
		out, ok = e.changesAfter(after)
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.writeJSON(w, r, out)
}

// changesAfter returns the changes after a revision. It returns false if this instance
// does not have all of them or is stopping.
func (e *Edge) changesAfter(after eras.Revision) (changes, bool) {
	if e.stopping.Load() {
		return changes{}, false
	}
	out := changes{Holder: e.coordinator.holderStatus().Holder, RemovalDelayMS: e.health.removalDelay().Milliseconds()}
	if !e.targetFollower.hasRecentState() {
		out.StoreDown = true
		return out, true
	}
	known, ok := e.targetFollower.changelog.Since(after)
	if !ok || known.IsFullList && !e.targetFollower.hasList.Load() {
		// A full result without a current list comes from a list read before the latest
		// updates, which may be outdated.
		return changes{}, false
	}
	out.Through, out.Full = known.Through, known.IsFullList
	for _, item := range known.Items {
		out.Items = append(out.Items, change{
			Key: item.Key, Revision: item.Revision, Value: item.Value, Deleted: item.Deleted,
		})
	}
	return out, true
}

// fetchChanges asks the readers for the changes after a revision. The first reader
// alternates, so that one whose watch has stalled delays nothing.
func (e *Edge) fetchChanges(ctx context.Context, after eras.Revision) (deltas.Changes, readerResult) {
	readers := e.readersToAsk()
	if e.readerTurn.Add(1)%2 == 0 {
		slices.Reverse(readers)
	}
	return askInTurn(e, readers, func(from netip.AddrPort) (deltas.Changes, error) {
		return e.fetchChangesFrom(ctx, from, after)
	})
}

func (e *Edge) fetchChangesFrom(ctx context.Context, from netip.AddrPort, after eras.Revision) (deltas.Changes, error) {
	c, err := e.peerClient.changes(ctx, from, after)
	if err != nil {
		return deltas.Changes{}, err
	}
	e.health.adoptRemovalDelay(time.Duration(c.RemovalDelayMS) * time.Millisecond)
	if c.StoreDown {
		e.noteReadersStoreDown()
		return deltas.Changes{}, errStoreDown
	}
	if !e.history.Note(e.clock.Now(), c.Through) || !c.Full && c.Through.Era != after.Era {
		return deltas.Changes{}, errNotCurrent
	}
	e.readerRepliedAt.Store(e.clock.Now().UnixNano())
	if c.Holder.IsValid() {
		e.election.Post(elect.SetHolder{Holder: c.Holder})
	}
	return c.toDeltas(), nil
}

// noteReadersStoreDown records that the readers cannot reach the store. That counts as a
// reader's reply unless this instance can reach the store itself, which it must have
// found out once it has been without updates for holderSilenceTimeout + probeInterval.
func (e *Edge) noteReadersStoreDown() {
	if e.health.isDown() || e.updateAge() < holderSilenceTimeout+probeInterval {
		e.readerRepliedAt.Store(e.clock.Now().UnixNano())
	}
}

// errHasUpdates is returned if the other instance gets updates from the holder and so
// does not follow the store.
var errHasUpdates = errors.New("the instance gets updates from the holder")

// changes requests the changes after a revision from another instance.
func (p *peerClient) changes(ctx context.Context, from netip.AddrPort, after eras.Revision) (changes, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	query := url.Values{
		queryAfter: {after.String()},
		queryWait:  {strconv.FormatInt(maxChangesWait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+pathChanges+"?"+query.Encode(), nil)
	if err != nil {
		return changes{}, err
	}
	a, err := p.do(req, p.messages)
	if err != nil {
		return changes{}, trace.Wrap(err, "changes from %s", from)
	}
	switch a.status {
	case http.StatusServiceUnavailable:
		return changes{}, errNotCurrent
	case http.StatusConflict:
		return changes{}, errHasUpdates
	}
	if a.status != http.StatusOK {
		return changes{}, trace.CompareFailed("changes from %s: HTTP status %d", from, a.status)
	}
	var c changes
	if err := json.Unmarshal(a.body, &c); err != nil {
		return changes{}, trace.BadParameter("changes from %s: %v", from, err)
	}
	return c, nil
}

// holderSilenceTimeout is how long an instance that does not watch the holder's key goes
// without an update or a reader's reply before it watches the key again.
const holderSilenceTimeout = 2500 * time.Millisecond

// updateHolderWatch decides whether this instance watches the holder's key itself. While
// readers do so for it, it learns of a new holder from them. Otherwise every instance of
// the fleet would query the store when a holder is lost.
func (e *Edge) updateHolderWatch() {
	updateAge := e.updateAge()
	readerAge := time.Duration(e.clock.Now().UnixNano() - e.readerRepliedAt.Load())
	switch {
	case !e.canAskReaders(), min(updateAge, readerAge) > holderSilenceTimeout:
		e.election.Post(elect.Activate{})
	case updateAge < maxUpdateAge:
		e.election.Post(elect.Deactivate{})
	}
}
