package edge

import (
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

func (k *coordinator) setTarget(r fleet.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setTargetLocked(r)
}

func (k *coordinator) setTargetLocked(r fleet.Target) {
	if r.Draining {
		k.leaving.Add(r.Identity)
	}
	r.Draining = k.leaving.Has(r.Identity)
	was, isKnown := k.targets[r.ID]
	k.targets[r.ID] = r
	if !k.status.IsHolder {
		return
	}
	if p := k.planners[r.Service]; p != nil {
		p.SetTarget(k.clock.Now(), r)
	}
	k.publish(&r)
	if !isKnown || was.Identity != r.Identity {
		k.startRamp(&r)
	}
}

// markLeaving records that a target has announced that it is leaving, which is known
// sooner than its description in the store changes.
func (k *coordinator) markLeaving(id fleet.Identity) {
	r, listed := k.targets[id.ID]
	if !listed || r.Identity != id || !k.leaving.Add(id) {
		return
	}
	k.log.Info().Str("target", id.ID).Msg("target announced that it is leaving")
	k.setTargetLocked(r)
}

// noteDraining records that the holder has said that a target is draining. This instance may
// become the holder before it reads that itself.
func (k *coordinator) noteDraining(id fleet.Identity) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving.Add(id)
	if r, isKnown := k.targets[id.ID]; isKnown && r.Identity == id {
		r.Draining = true
		k.targets[id.ID] = r
	}
}

func (k *coordinator) removeTarget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.planners[k.targets[id].Service]; p != nil {
		p.Remove(id)
	}
	if r, isListed := k.targets[id]; isListed {
		k.noteRemoved(r)
	}
	delete(k.targets, id)
	d, _ := k.departures.Find(id)
	k.sums().Ramps().Stop(k.updates.remove(id, d.Revision))
}

// announceRemoval has the other instances told until when a target that has left may be used.
func (k *coordinator) announceRemoval(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, isKnown := k.targets[id]; isKnown && k.status.IsHolder {
		k.publish(&r)
	}
}

// missingFrom returns the ids of known targets that are missing from a full list. This
// instance may have read its own list long ago, when it was last the holder or had no updates.
func (k *coordinator) missingFrom(listed map[string]bool) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for id := range k.targets {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}

// toldRevision returns the revision that this instance has told the others of a target as the
// holder, or that of its description if there is none. The holder misses no change between two
// revisions of an entry.
func (k *coordinator) toldRevision(r *fleet.Target) eras.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if have, isKnown := k.targets[r.ID]; isKnown && k.status.IsHolder && have.Identity == r.Identity {
		return have.Revision
	}
	return r.Revision
}
