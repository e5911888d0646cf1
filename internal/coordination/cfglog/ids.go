package cfglog

import (
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/state/config"
)

// minRetainedPatches is the number of accepted patches that the log keeps at least, and
// for which the IDs are kept in memory.
const minRetainedPatches = 4096

// acceptedPatch is the version that a patch created and the fingerprint of its contents.
type acceptedPatch struct {
	version config.Version
	content config.Fingerprint
}

// ids holds the IDs of accepted patches.
type ids struct {
	patches     map[string]acceptedPatch
	idByVersion map[config.Version]string
	// completeAfter is the version after which all IDs are known.
	completeAfter config.Version
	// retention is the number of patches whose IDs are kept.
	retention config.Version
}

func newIDs(retention config.Version) ids {
	return ids{retention: retention, patches: make(map[string]acceptedPatch), idByVersion: make(map[config.Version]string)}
}

// add stores the ID of an accepted patch and removes the one that is retention versions
// older.
func (i *ids) add(p config.Patch, v config.Version) {
	i.insertPatch(p, v)
	if v <= i.retention {
		return
	}
	old := v - i.retention
	if i.patches[i.idByVersion[old]].version == old {
		delete(i.patches, i.idByVersion[old])
	}
	delete(i.idByVersion, old)
	i.completeAfter = max(i.completeAfter, old)
}

func (i *ids) insertPatch(p config.Patch, v config.Version) {
	i.insert(config.PatchRef{ID: p.ID, Version: v, Content: config.FingerprintOf(p)})
}

func (i *ids) insert(ref config.PatchRef) {
	if ref.Version >= i.patches[ref.ID].version {
		i.patches[ref.ID] = acceptedPatch{version: ref.Version, content: ref.Content}
	}
	i.idByVersion[ref.Version] = ref.ID
}

// refs returns all stored IDs, ordered by version.
func (i *ids) refs() []config.PatchRef {
	refs := make([]config.PatchRef, 0, len(i.idByVersion))
	for _, v := range slices.Sorted(maps.Keys(i.idByVersion)) {
		id := i.idByVersion[v]
		refs = append(refs, config.PatchRef{ID: id, Version: v, Content: i.patches[id].content})
	}
	return refs
}

// mergeSnapshot adds the IDs stored in a snapshot, and returns the version after which
// IDs still have to be read from the log.
func (i *ids) mergeSnapshot(s config.Snapshot, current config.Version) config.Version {
	required := i.requiredAfter(current)
	for _, ref := range s.Recent {
		if ref.Version > required && ref.Version <= i.completeAfter {
			i.insert(ref)
		}
	}
	if s.RecentAfter > required {
		return required
	}
	return max(required, min(s.Config.Version, i.completeAfter))
}

// reset removes all IDs. It is called when a whole configuration of version v replaces
// the current one, since the patches before it are then unknown.
func (i *ids) reset(v config.Version) {
	*i = newIDs(i.retention)
	i.completeAfter = v
}

// requiredAfter returns the version after which all IDs have to be known.
func (i *ids) requiredAfter(current config.Version) config.Version {
	if current <= i.retention {
		return 0
	}
	return current - i.retention
}
