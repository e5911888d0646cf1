package relay

import (
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/state/config"
)

// retainLog is how many accepted patches the log keeps at the least, and for how
// many their IDs are remembered.
const retainLog = 4096

// known is what is remembered of an accepted patch.
type known struct {
	version config.Version
	content config.Fingerprint
}

// ids remembers the IDs of accepted patches.
type ids struct {
	patches map[string]known
	names   map[config.Version]string
	// after is the version after which every ID is known.
	after config.Version
	// retain is for how many patches IDs are remembered.
	retain config.Version
}

func newIDs(retain config.Version) ids {
	return ids{retain: retain, patches: make(map[string]known), names: make(map[config.Version]string)}
}

// add remembers the ID of an accepted patch and forgets the one that is retain
// versions older.
func (i *ids) add(p config.Patch, v config.Version) {
	i.learn(p, v)
	if v <= i.retain {
		return
	}
	old := v - i.retain
	if i.patches[i.names[old]].version == old {
		delete(i.patches, i.names[old])
	}
	delete(i.names, old)
	i.after = max(i.after, old)
}

func (i *ids) learn(p config.Patch, v config.Version) {
	i.put(config.PatchRef{ID: p.ID, Version: v, Content: config.FingerprintOf(p)})
}

func (i *ids) put(ref config.PatchRef) {
	if ref.Version >= i.patches[ref.ID].version {
		i.patches[ref.ID] = known{version: ref.Version, content: ref.Content}
	}
	i.names[ref.Version] = ref.ID
}

// refs returns everything that is remembered, in order of versions.
func (i *ids) refs() []config.PatchRef {
	refs := make([]config.PatchRef, 0, len(i.names))
	for _, v := range slices.Sorted(maps.Keys(i.names)) {
		id := i.names[v]
		refs = append(refs, config.PatchRef{ID: id, Version: v, Content: i.patches[id].content})
	}
	return refs
}

// merge takes in what a snapshot remembers, and returns the version up to which
// IDs are still to be read from the log.
func (i *ids) merge(s config.Snapshot, current config.Version) config.Version {
	wanted := i.wanted(current)
	for _, ref := range s.Recent {
		if ref.Version > wanted && ref.Version <= i.after {
			i.put(ref)
		}
	}
	if s.RecentAfter > wanted {
		return wanted
	}
	return max(wanted, min(s.Config.Version, i.after))
}

// restart forgets everything: what came before a version that was taken as a
// whole is not known.
func (i *ids) restart(v config.Version) {
	*i = newIDs(i.retain)
	i.after = v
}

// wanted returns the version after which IDs have to be known.
func (i *ids) wanted(current config.Version) config.Version {
	if current <= i.retain {
		return 0
	}
	return current - i.retain
}
