package relay

import "chivecroft.example/chivecroft/internal/state/config"

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
	i.patches[p.ID] = known{version: v, content: config.FingerprintOf(p)}
	i.names[v] = p.ID
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
