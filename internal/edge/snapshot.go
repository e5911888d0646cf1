package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/platform"
)

// Limits and names of sending the configuration between instances.
const (
	pathConfig     = "/config"
	headerRevision = "X-Revision"
	headerVersion  = "X-Version"
	// headerStoreDown is set if the instance's calls to the store fail.
	headerStoreDown = "X-Store-Away"
	// queryAfter is the revision that the requesting instance has, queryVersion the version of its
	// configuration.
	queryAfter   = "after"
	queryVersion = "version"
	// configTimeout allows for a large configuration over a narrow link.
	configTimeout = 3 * time.Second
	// maxConfigBytes is at least what a reply of the store can hold.
	maxConfigBytes = 16 << 20
)

// configSnapshot is a configuration in the form that is sent to other instances. It is
// compressed, since many instances request it at once over narrow links; the first
// request triggers the compression.
type configSnapshot struct {
	revision eras.Revision
	// version is 0 if it is not known yet.
	version int64

	mu         sync.Mutex
	value      []byte
	compressed []byte
}

// newConfigSnapshot returns a snapshot of an uncompressed configuration.
func newConfigSnapshot(item storeItem, version int64) *configSnapshot {
	return &configSnapshot{revision: item.at, version: version, value: item.Value}
}

// newCompressedSnapshot returns a snapshot of a compressed configuration.
func newCompressedSnapshot(revision eras.Revision, version int64, compressed []byte) *configSnapshot {
	return &configSnapshot{revision: revision, version: version, compressed: compressed}
}

// compress returns the compressed value and keeps it in place of the uncompressed one.
func (s *configSnapshot) compress() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compressed != nil {
		return s.compressed, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(s.value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	s.compressed, s.value = b.Bytes(), nil
	return s.compressed, nil
}

// item returns the uncompressed configuration as an item of the store.
func (s *configSnapshot) item() (storeItem, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.value
	if s.compressed != nil {
		var err error
		if value, err = uncompress(s.compressed); err != nil {
			return storeItem{}, err
		}
	}
	item := ports.Item{Key: platform.ConfigKey, Value: value, Revision: ports.Revision(s.revision.Number)}
	return dated(s.revision.Era, item), nil
}

// isNewerThan reports whether an instance with a revision and a version, 0 if it has not told it,
// lacks the configuration.
func (s *configSnapshot) isNewerThan(revision eras.Revision, version int64) bool {
	return s.revision.After(revision) || version > 0 && s.version > version
}

// serveConfig sends the configuration to an instance that has an older one. It responds
// with 204 if the instance has the newest one, and with 503 if it cannot tell.
func (e *Edge) serveConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := eras.Parse(r.URL.Query().Get(queryAfter))
	version, _ := strconv.ParseInt(r.URL.Query().Get(queryVersion), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get(queryWait), 10, 64)
	e.awaitConfig(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxConfigWait))
	e.setProofHeader(w.Header())
	s := e.snapshot.Load()
	switch {
	case s != nil && s.isNewerThan(after, version):
		e.writeSnapshot(w, s)
	case e.configFollower.isCurrent():
		w.WriteHeader(http.StatusNoContent)
	case e.health.isDown():
		w.Header().Set(headerStoreDown, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// awaitConfig waits while this instance fetches a newer configuration itself.
func (e *Edge) awaitConfig(ctx context.Context, wait time.Duration) {
	until := e.timer.Now().Add(wait)
	for ctx.Err() == nil && e.configFollower.isBehind() && e.timer.Now().Before(until) {
		sleep(ctx, configPollInterval)
	}
}

func (e *Edge) writeSnapshot(w http.ResponseWriter, s *configSnapshot) {
	compressed, err := s.compress()
	if err != nil {
		e.log.Error().Err(err).Msg("cannot compress the configuration")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerRevision, s.revision.String())
	w.Header().Set(headerVersion, strconv.FormatInt(s.version, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(compressed)))
	_, _ = w.Write(compressed)
}

// Limits of getting the configuration that updates name from the relays of the zone.
const (
	// relayConfigTimeout is how long an instance asks them before it asks the holder.
	relayConfigTimeout = time.Second
	// maxConfigWait is how long a relay delays its reply while it fetches the
	// configuration itself, well below readerTimeout.
	maxConfigWait      = 300 * time.Millisecond
	configPollInterval = 10 * time.Millisecond
)

// fetchNewestConfig requests the configuration that the updates name from a relay of the
// zone, which has it from the holder, and from the holder itself if no relay has it in
// time. All instances of a large fleet at once would saturate the holder's link.
func (e *Edge) fetchNewestConfig(ctx context.Context) (itemList, bool) {
	until := e.timer.Now().Add(relayConfigTimeout)
	for relays := e.relaysToAsk(); len(relays) > 0 && ctx.Err() == nil && e.timer.Now().Before(until); {
		for _, from := range relays {
			if item, ok := e.fetchConfigFromRelay(ctx, from); ok {
				return itemList{items: []storeItem{item}, from: originRelay}, true
			}
		}
		sleep(ctx, idlePollInterval)
	}
	items, ok := e.fetchConfigFromHolder(ctx)
	return itemList{items: items, from: originHolder}, ok
}

func (e *Edge) fetchConfigFromRelay(ctx context.Context, from netip.AddrPort) (storeItem, bool) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	late := time.AfterFunc(readerTimeout, cancel)
	defer late.Stop()
	s, err := e.peerClient.config(ctx, from, e.knownConfig(), maxConfigWait, func() { late.Stop() })
	if err != nil {
		return storeItem{}, false
	}
	return e.acceptSnapshot(s)
}

// fetchConfigFromHolder requests the configuration from the holder. It gives up when the
// holder's updates are no longer fresh, since waiting for a silent holder would keep the
// instance from asking elsewhere.
func (e *Edge) fetchConfigFromHolder(ctx context.Context) ([]storeItem, bool) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	updatesEnded, stop := contextUntil(func() bool { return !e.hasFreshUpdates() })
	defer stop()
	defer context.AfterFunc(updatesEnded, cancel)()
	s, err := e.peerClient.config(ctx, e.coordinator.holderStatus().Holder, knownConfig{}, 0)
	if err != nil {
		e.log.Info().Err(err).Msg("cannot fetch the configuration from the holder")
		return nil, false
	}
	item, ok := e.acceptSnapshot(s)
	return []storeItem{item}, ok
}

// knownConfig is what an instance says of its configuration when it asks for a newer one.
type knownConfig struct {
	revision eras.Revision
	version  int64
}

func (e *Edge) knownConfig() knownConfig {
	return knownConfig{e.configFollower.localRevision.Load(), e.configFollower.localVersion.Load()}
}

// acceptSnapshot decodes a snapshot from another instance and keeps it to be sent on once it is
// active.
func (e *Edge) acceptSnapshot(s *configSnapshot) (storeItem, bool) {
	item, err := s.item()
	if err != nil {
		e.log.Warn().Err(err).Msg("configuration from another instance is damaged")
		return storeItem{}, false
	}
	e.received.Store(s)
	return item, true
}

// noteMemberConfig asks the sender of a message for its configuration if that is of a newer version than
// this instance has seen. Until then routes that it may have are not refused as unknown.
func (e *Edge) noteMemberConfig(m *exchangeRequest) {
	f := e.configFollower
	if m.ConfigVersion <= f.localVersion.Load() {
		return
	}
	f.raiseRemoteVersion(m.ConfigVersion)
	from := e.coordinator.peerOf(m)
	if !from.IsValid() || !e.isFetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.isFetchingConfig.Store(false)
		e.fetchConfigFromMember(from)
	}()
}

// fetchConfigFromMember has the follower of the configuration apply that of another instance.
func (e *Edge) fetchConfigFromMember(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(e.loopCtx, configTimeout)
	defer cancel()
	s, err := e.peerClient.config(ctx, from, e.knownConfig(), 0)
	if err != nil {
		e.log.Info().Err(err).Str("from", from.String()).Msg("cannot fetch the configuration from a member")
		return
	}
	if item, ok := e.acceptSnapshot(s); ok {
		e.configFollower.offered.Store(&itemList{items: []storeItem{item}, from: originMember})
	}
}

var (
	// errNoNewer means that the other instance has no newer configuration.
	errNoNewer = errors.New("no newer configuration")
	// errNotCurrent means that the other instance does not know whether there is a newer
	// one.
	errNotCurrent = errors.New("the instance may not have the newest state")
	// errStoreDown means that it does not know because it cannot reach the store.
	errStoreDown = errors.New("the instance cannot reach the store")
)

// config requests a configuration newer than the known one from another instance, which may
// wait for one for the given time. It calls the functions began once the response has
// begun.
func (p *peerClient) config(ctx context.Context, from netip.AddrPort, have knownConfig, wait time.Duration, began ...func()) (*configSnapshot, error) {
	query := url.Values{queryAfter: {have.revision.String()}, queryVersion: {strconv.FormatInt(have.version, 10)}}
	if wait > 0 {
		query.Set(queryWait, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+pathConfig+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	askedAt := p.now()
	a, err := p.do(req, p.configs, began...)
	if err != nil {
		return nil, trace.Wrap(err, "configuration from %s", from)
	}
	p.onProof(askedAt, a.header)
	switch a.status {
	case http.StatusNoContent:
		return nil, errNoNewer
	case http.StatusServiceUnavailable:
		if a.header.Get(headerStoreDown) != "" {
			return nil, errStoreDown
		}
		return nil, errNotCurrent
	}
	revision, err := eras.Parse(a.header.Get(headerRevision))
	if err != nil || a.status != http.StatusOK {
		return nil, trace.NotFound("configuration from %s: HTTP status %d", from, a.status)
	}
	version, _ := strconv.ParseInt(a.header.Get(headerVersion), 10, 64)
	return newCompressedSnapshot(revision, version, a.body), nil
}
