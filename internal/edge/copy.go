package edge

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/platform"
)

const (
	// configCopyKey holds a compressed copy of the configuration for starting instances.
	// When all of them start at once, the configuration itself would saturate the network
	// links.
	configCopyKey = "chivecroft/config"
	// copyCheckInterval is the interval at which the holder checks whether the copy is
	// outdated.
	copyCheckInterval = 250 * time.Millisecond
)

// encode returns the snapshot in the stored format: the configuration's revision in
// decimal and a newline, then the gzip-compressed value.
func (s *configSnapshot) encode() ([]byte, error) {
	compressed, err := s.compress()
	if err != nil {
		return nil, err
	}
	line := strconv.AppendUint(nil, uint64(s.revision), 10)
	return append(append(line, '\n'), compressed...), nil
}

// decodeSnapshot decodes a stored copy. The configuration's revision must be lower than
// the copy's own, since a copy is written after its configuration.
func decodeSnapshot(item ports.Item) (*configSnapshot, error) {
	line, compressed, _ := bytes.Cut(item.Value, []byte("\n"))
	revision, err := strconv.ParseUint(string(line), 10, 64)
	if err != nil {
		return nil, trace.BadParameter("copy of the configuration begins with %.20q, not with a revision", line)
	}
	if ports.Revision(revision) >= item.Revision {
		return nil, trace.BadParameter("copy of the configuration is of revision %d, not below its own revision %d",
			revision, item.Revision)
	}
	return newCompressedSnapshot(ports.Revision(revision), compressed), nil
}

// copyLoop updates the copy in the store when the active configuration changes, while
// this instance is the holder.
func (e *Edge) copyLoop(ctx context.Context) {
	var configRevision ports.Revision
	var copyRevision ports.Revision
	for ; ctx.Err() == nil; sleep(ctx, copyCheckInterval) {
		s := e.snapshot.Load()
		if s == nil || s.revision <= configRevision || !e.coordinator.holderStatus().IsSteady(e.clock.Now()) {
			continue
		}
		configRevision, copyRevision = e.writeCopy(s, configRevision, copyRevision)
	}
}

// writeCopy replaces the copy whose own revision is copyRevision. It returns the revision
// of the configuration that the store now has a copy of, and the copy's own revision.
func (e *Edge) writeCopy(s *configSnapshot, configRevision, copyRevision ports.Revision) (newConfigRevision, newCopyRevision ports.Revision) {
	value, err := s.encode()
	if err != nil {
		e.log.Error().Err(err).Msg("cannot compress the configuration")
		return s.revision, copyRevision
	}
	r := e.store.Do(ports.KVPut{Key: configCopyKey, Value: value, Expect: copyRevision})
	switch r.Status {
	case ports.KVOK:
		e.log.Info().Uint64("revision", uint64(s.revision)).Int("bytes", len(value)).Msg("configuration copy written")
		return s.revision, r.Revision
	case ports.KVConflict:
		return e.adoptCopy(r)
	case ports.KVInvalid:
		e.log.Warn().Err(r.Err).Int("bytes", len(value)).Msg("configuration copy rejected by the store")
		return s.revision, copyRevision
	}
	return configRevision, copyRevision
}

// adoptCopy returns the same revisions for a copy that another instance has written.
func (e *Edge) adoptCopy(r ports.KVReply) (configRevision, copyRevision ports.Revision) {
	item, ok := r.Item()
	if !ok {
		return 0, 0
	}
	have, err := decodeSnapshot(item)
	if err != nil {
		e.log.Warn().Err(err).Msg("replacing a damaged copy of the configuration")
		return 0, item.Revision
	}
	return have.revision, item.Revision
}

// readCopy reads the configuration from its compressed copy, if that is up to date. It
// returns the configuration and the store revision at which it was valid.
func (e *Edge) readCopy() ([]ports.Item, ports.Revision, bool) {
	if e.boot.Bootstrap || e.config.Load() != nil {
		return nil, 0, false
	}
	r := e.store.Do(ports.KVGet{Key: configCopyKey})
	copyItem, ok := r.Item()
	if r.Status != ports.KVOK || !ok {
		return nil, 0, false
	}
	s, item, err := decompressCopy(copyItem)
	if err != nil {
		e.log.Warn().Err(err).Uint64("era", r.Era).Msg("copy of the configuration is damaged")
		return nil, 0, false
	}
	return e.verifyCopy(s, item)
}

// decompressCopy returns a stored copy and the configuration in it.
func decompressCopy(copyItem ports.Item) (*configSnapshot, ports.Item, error) {
	s, err := decodeSnapshot(copyItem)
	if err != nil {
		return nil, ports.Item{}, err
	}
	item, err := s.item()
	return s, item, err
}

// verifyCopy checks in the store that the copy is of the current configuration, and
// returns the current one if the copy is outdated.
func (e *Edge) verifyCopy(s *configSnapshot, item ports.Item) ([]ports.Item, ports.Revision, bool) {
	askedAt := e.clock.Now()
	r := e.store.Check(platform.ConfigKey, s.revision)
	switch {
	case r.Status == ports.KVOK && r.Revision >= s.revision:
		e.noteConfigRead(askedAt, s.revision)
		e.snapshot.Store(s)
		e.log.Info().Uint64("revision", uint64(s.revision)).Uint64("era", r.Era).Msg("configuration read from its copy")
		return []ports.Item{item}, r.Revision, true
	case r.Status == ports.KVConflict && len(r.Items) == 1 && r.Items[0].Revision > s.revision:
		e.noteConfigRead(askedAt, r.Items[0].Revision)
		e.log.Info().Uint64("revision", uint64(r.Items[0].Revision)).Uint64("copy", uint64(s.revision)).
			Msg("copy of the configuration is outdated")
		return r.Items, r.Items[0].Revision, true
	}
	return nil, 0, false
}
