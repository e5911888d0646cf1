package edge

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
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

// encode returns the snapshot in the stored format: the text of the configuration's revision and a
// newline, then the gzip-compressed value.
func (s *configSnapshot) encode() ([]byte, error) {
	compressed, err := s.compress()
	if err != nil {
		return nil, err
	}
	return append([]byte(s.revision.String()+"\n"), compressed...), nil
}

// errOtherHistory is the error of a copy of a configuration whose revision is of another history of the store than
// the present one: it can't be compared with the configuration there.
var errOtherHistory = trace.CompareFailed("copy of the configuration is of another history of the store")

// decodeSnapshot decodes a stored copy. The configuration's revision must be lower than
// the copy's own, since a copy is written after its configuration.
func decodeSnapshot(item storeItem) (*configSnapshot, error) {
	line, compressed, _ := bytes.Cut(item.Value, []byte("\n"))
	revision, err := eras.Parse(string(line))
	if err != nil {
		return nil, trace.BadParameter("copy of the configuration begins with %.20q, not with a revision", line)
	}
	if revision.Era != item.at.Era {
		return nil, errOtherHistory
	}
	if !item.at.After(revision) {
		return nil, trace.BadParameter("copy of the configuration is of revision %s, not below its own revision %s",
			revision, item.at)
	}
	return newCompressedSnapshot(revision, 0, compressed), nil
}

// copyLoop updates the copy in the store when the active configuration changes, while
// this instance is the holder. A configuration of a former history has no revision in the present one:
// its copy is written once the operators have written it again.
func (e *Edge) copyLoop(ctx context.Context) {
	var configRevision, copyRevision eras.Revision
	for ; ctx.Err() == nil; sleep(ctx, copyCheckInterval) {
		s := e.snapshot.Load()
		if s == nil || !s.revision.After(configRevision) || !e.history.IsPresent(s.revision) ||
			!e.coordinator.holderStatus().IsSteady(e.clock.Now()) {
			continue
		}
		if !e.history.IsPresent(copyRevision) {
			copyRevision = eras.Revision{}
		}
		configRevision, copyRevision = e.writeCopy(s, configRevision, copyRevision)
	}
}

// writeCopy replaces the copy whose own revision is copyRevision. It returns the revision
// of the configuration that the store now has a copy of, and the copy's own revision.
func (e *Edge) writeCopy(s *configSnapshot, configRevision, copyRevision eras.Revision) (newConfigRevision, newCopyRevision eras.Revision) {
	value, err := s.encode()
	if err != nil {
		e.log.Error().Err(err).Msg("cannot compress the configuration")
		return s.revision, copyRevision
	}
	r := e.store.Do(ports.KVPut{Key: configCopyKey, Value: value, Expect: ports.Revision(copyRevision.Number)})
	switch r.Status {
	case ports.KVOK:
		e.log.Info().Stringer("revision", s.revision).Int("bytes", len(value)).Msg("configuration copy written")
		return s.revision, r.Reached()
	case ports.KVConflict:
		return e.adoptCopy(r)
	case ports.KVInvalid:
		e.log.Warn().Err(r.Err).Int("bytes", len(value)).Msg("configuration copy rejected by the store")
		return s.revision, copyRevision
	}
	return configRevision, copyRevision
}

// adoptCopy returns the same revisions for a copy that another instance has written.
func (e *Edge) adoptCopy(r ports.KVReply) (configRevision, copyRevision eras.Revision) {
	read, ok := r.Item()
	if !ok {
		return eras.Revision{}, eras.Revision{}
	}
	item := dated(r.Era, read)
	have, err := decodeSnapshot(item)
	if err != nil {
		e.log.Warn().Err(err).Msg("replacing a copy of the configuration that is of no use")
		return eras.Revision{}, item.at
	}
	return have.revision, item.at
}

// readCopy reads the configuration from its compressed copy, if that is up to date. It
// returns the configuration and the store revision at which it was valid.
func (e *Edge) readCopy() (itemList, bool) {
	if e.boot.Bootstrap || e.config.Load() != nil {
		return itemList{}, false
	}
	r := e.store.Do(ports.KVGet{Key: configCopyKey})
	copyItem, ok := r.Item()
	if r.Status != ports.KVOK || !ok {
		return itemList{}, false
	}
	s, item, err := decompressCopy(dated(r.Era, copyItem))
	if errors.Is(err, errOtherHistory) {
		e.log.Info().Err(err).Uint64("era", r.Era).Msg("copy of the configuration not used")
		return itemList{}, false
	}
	if err != nil {
		e.log.Warn().Err(err).Uint64("era", r.Era).Msg("copy of the configuration is damaged")
		return itemList{}, false
	}
	return e.verifyCopy(s, item)
}

// decompressCopy returns a stored copy and the configuration in it.
func decompressCopy(copyItem storeItem) (*configSnapshot, storeItem, error) {
	s, err := decodeSnapshot(copyItem)
	if err != nil {
		return nil, storeItem{}, err
	}
	item, err := s.item()
	return s, item, err
}

// verifyCopy checks in the store that the copy is of the current configuration, and
// returns the current one if the copy is outdated.
func (e *Edge) verifyCopy(s *configSnapshot, item storeItem) (itemList, bool) {
	askedAt := e.clock.Now()
	r := e.store.Check(platform.ConfigKey, ports.Revision(s.revision.Number))
	switch {
	case r.Era != s.revision.Era:
	case r.Status == ports.KVOK && !s.revision.After(r.Reached()):
		e.noteConfigRead(askedAt, s.revision)
		e.received.Store(s)
		e.log.Info().Stringer("revision", s.revision).Msg("configuration read from its copy")
		return itemList{items: []storeItem{item}, through: r.Reached(), from: originCopy}, true
	case r.Status == ports.KVConflict && len(r.Items) == 1:
		newer := dated(r.Era, r.Items[0])
		if !newer.at.After(s.revision) {
			break
		}
		e.noteConfigRead(askedAt, newer.at)
		e.log.Info().Stringer("revision", newer.at).Stringer("copy", s.revision).Msg("copy of the configuration is outdated")
		return itemList{items: []storeItem{newer}, through: newer.at, from: originStore}, true
	}
	return itemList{}, false
}
