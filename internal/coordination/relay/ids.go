package relay

import "chivecroft.example/chivecroft/internal/state/config"

// retainLog is how many accepted patches the log keeps at the least, and for how
// many their IDs are remembered.
const retainLog = 4096

// ids remembers the IDs of accepted patches.
type ids struct {
	versions map[string]config.Version
	names    map[config.Version]string
	// after is the version after which every ID is known.
	after config.Version
	// retain is for how many patches IDs are remembered.
	retain config.Version
}

func newIDs(retain config.Version) ids {
	return ids{retain: retain, versions: make(map[string]config.Version), names: make(map[config.Version]string)}
}

// add remembers the ID of an accepted patch and forgets the one that is retain
// versions older.
func (i *ids) add(id string, v config.Version) {
	i.versions[id] = v
	i.names[v] = id
	if v <= i.retain {
		return
	}
	old := v - i.retain
	if i.versions[i.names[old]] == old {
		delete(i.versions, i.names[old])
	}
	delete(i.names, old)
	i.after = max(i.after, old)
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
