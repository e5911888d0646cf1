package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/platform"
)

// Bounds of handing the configuration on.
const (
	pathConfig     = "/config"
	headerRevision = "X-Revision"
	// configTimeout is long enough for a large configuration over a narrow link.
	configTimeout = 3 * time.Second
	configBytes   = 64 << 20
)

// share is the configuration as the holder hands it on: compressed, since all
// instances ask at once and the links between regions are narrow.
type share struct {
	revision ports.Revision
	packed   []byte
}

// newShare compresses a configuration's value.
func newShare(item ports.Item) (*share, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(item.Value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &share{revision: item.Revision, packed: b.Bytes()}, nil
}

// item returns the value that was compressed.
func (s *share) item() (ports.Item, error) {
	r, err := gzip.NewReader(bytes.NewReader(s.packed))
	if err != nil {
		return ports.Item{}, err
	}
	value, err := io.ReadAll(io.LimitReader(r, configBytes))
	if err != nil {
		return ports.Item{}, err
	}
	return ports.Item{Key: platform.ConfigKey, Value: value, Revision: s.revision}, nil
}

// serveConfig hands the configuration on to another instance.
func (e *Edge) serveConfig(w http.ResponseWriter) {
	s := e.shared.Load()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(s.revision), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(s.packed)))
	_, _ = w.Write(s.packed)
}

// fetchConfig asks the holder for the configuration.
func (e *Edge) fetchConfig(ctx context.Context) ([]ports.Item, bool) {
	s, err := e.peers.config(ctx, e.keeper.current().Holder)
	if err != nil {
		e.log.Info().Err(err).Msg("configuration not had from the holder")
		return nil, false
	}
	item, err := s.item()
	if err != nil {
		e.log.Warn().Err(err).Msg("configuration from the holder is damaged")
		return nil, false
	}
	e.shared.Store(s)
	return []ports.Item{item}, true
}

func (p *peers) config(ctx context.Context, from netip.AddrPort) (*share, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+pathConfig, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(err, "configuration from %s", from)
	}
	defer resp.Body.Close()
	packed, err := io.ReadAll(io.LimitReader(resp.Body, configBytes))
	if err != nil {
		return nil, trace.Wrap(err, "configuration from %s", from)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(headerRevision), 10, 64)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, trace.NotFound("configuration from %s: HTTP status %d", from, resp.StatusCode)
	}
	return &share{revision: ports.Revision(revision), packed: packed}, nil
}
