package edge

import (
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/depart"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
)

// targetNews applies what this instance learns of targets, one piece at a time, to the
// picker, which sends requests, and the coordinator, which tells other instances. What it
// knows of a departure outlives a change of the lease holder.
type targetNews struct {
	picker      *picker.Picker
	coordinator *coordinator
	departures  *depart.Log
	// clock is the coordinator's, which goes on while the machine is suspended.
	clock timer.Service
	log   *log.Logger

	// mu keeps the picker, the coordinator and departures in step.
	mu sync.Mutex
}

func newTargetNews(p *picker.Picker, k *coordinator, l *log.Logger) *targetNews {
	return &targetNews{picker: p, coordinator: k, departures: k.departures, clock: k.clock, log: l}
}

// entry is the news that one item of the store is.
type entry struct {
	id     string
	target fleet.Target
	// isThere reports whether the item describes a target. If not, the target may be used for
	// usableFor.
	isThere   bool
	usableFor time.Duration
}

// decodeEntry decodes an item. An item that describes no valid target names none to use; one
// that was deleted may belong to a target that is alive, and is used for removalDelay.
func (n *targetNews) decodeEntry(item ports.Item, removalDelay time.Duration) entry {
	out := entry{id: targetID(item)}
	if item.Deleted {
		out.usableFor = removalDelay
		return out
	}
	r, err := platform.DecodeTarget(item.Key, item.Value)
	if err != nil {
		n.log.Warn().Err(err).Uint64("revision", uint64(item.Revision)).Msg("invalid target entry ignored")
		return out
	}
	n.log.Debug().Str("target", out.id).Bool("draining", r.Draining).Int("models", len(r.Models)).
		Uint64("revision", uint64(item.Revision)).Msg("target updated")
	out.target, out.isThere = r, true
	return out
}

func targetID(item ports.Item) string {
	return strings.TrimPrefix(item.Key, platform.TargetPrefix)
}

// applyChange applies an item that has been written or deleted. A target that is missing is
// used for removalDelay.
func (n *targetNews) applyChange(item ports.Item, removalDelay time.Duration) {
	e := n.decodeEntry(item, removalDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyEntry(&e)
}

// applyList applies a full list of the store's items. Targets that it lacks are used for
// removalDelay.
func (n *targetNews) applyList(items []ports.Item, removalDelay time.Duration) {
	entries := make([]entry, len(items))
	listed := make(map[string]bool, len(items))
	for i, item := range items {
		entries[i] = n.decodeEntry(item, removalDelay)
		listed[entries[i].id] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range entries {
		n.applyEntry(&entries[i])
	}
	for _, id := range n.picker.MissingFrom(listed) {
		n.leave(id, removalDelay)
	}
	for _, id := range n.coordinator.missingFrom(listed) {
		n.leave(id, removalDelay)
	}
}

// applyEntry applies an item.
func (n *targetNews) applyEntry(e *entry) {
	if !e.isThere {
		n.leave(e.id, e.usableFor)
		return
	}
	n.departures.Return(e.id)
	n.picker.SetTarget(e.target)
	n.coordinator.setTarget(e.target)
}

// leave records that a target's entry is missing, and removes the target once it may no longer
// be used.
func (n *targetNews) leave(id string, usableFor time.Duration) {
	now := n.clock.Now()
	d := n.departures.Leave(id, now, usableFor)
	if d.NotedAt.Equal(now) {
		n.log.Info().Str("target", id).Dur("doubt", usableFor).Msg("target removed from the store")
	}
	n.expire(id, d.UsableUntil.Sub(now))
}

// expire removes a target that has left after usableFor, at once if that is not above 0.
func (n *targetNews) expire(id string, usableFor time.Duration) {
	if usableFor <= 0 {
		n.picker.Remove(id, 0)
		n.coordinator.removeTarget(id)
		return
	}
	n.picker.Remove(id, usableFor)
	n.clock.After(usableFor, func() { n.removeExpired(id) })
}

// removeExpired removes a target unless it has returned meanwhile.
func (n *targetNews) removeExpired(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d, hasLeft := n.departures.Find(id); hasLeft && !n.clock.Now().Before(d.UsableUntil) {
		n.expire(id, 0)
	}
}

// updates is what the lease holder says of the targets, itself or through a relay.
type updates struct {
	list []picker.Update
	// isFull reports whether targets that are not in the list have left. They may be used for
	// removalDelay.
	isFull       bool
	removalDelay time.Duration
	// expected is when models are expected to be loaded.
	expected map[string]time.Time
}

// applyUpdates applies the holder's updates. Those of this instance to itself, as the holder,
// only tell its picker which models are loaded: it follows the store.
func (n *targetNews) applyUpdates(u updates) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.coordinator.holderStatus().IsHolder {
		n.noteDepartures(&u)
	}
	n.picker.ApplyUpdates(u.list, u.expected)
}

// noteDepartures records which targets have left and which are there, as the holder says.
func (n *targetNews) noteDepartures(u *updates) {
	listed := make(map[string]bool, len(u.list))
	for i := range u.list {
		p := &u.list[i]
		listed[p.ID] = true
		if p.Gone {
			n.leave(p.ID, 0)
		} else {
			n.departures.Return(p.ID)
		}
	}
	if u.isFull {
		n.dropUnlisted(listed, u)
	}
}

// dropUnlisted removes the targets that the holder's full list does not contain. The holder
// decides how long they are kept, since the list is its own.
func (n *targetNews) dropUnlisted(listed map[string]bool, u *updates) {
	for _, id := range n.picker.MissingFrom(listed) {
		n.leave(id, u.removalDelay)
	}
	for _, id := range n.coordinator.missingFrom(listed) {
		n.leave(id, u.removalDelay)
	}
}
