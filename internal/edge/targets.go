package edge

import (
	"cmp"
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

// origin tells where a configuration or a description of targets comes from, for logs.
type origin string

// The origins of descriptions.
const (
	originStore  origin = "store"
	originReader origin = "reader"
	originHolder origin = "holder"
	originRelay  origin = "relay"
	// originCopy is the compressed copy of the configuration in the store.
	originCopy origin = "copy"
)

// targetTracker applies what this instance learns of targets, one piece at a time, to the
// picker, which sends requests, and the coordinator, which tells other instances. A description
// from before a target's departure changes nothing, whatever its source.
type targetTracker struct {
	picker      *picker.Picker
	coordinator *coordinator
	departures  *depart.Log
	// clock is the coordinator's, which goes on while the machine is suspended.
	clock timer.Service
	log   *log.Logger
	// era returns the store's era as of the latest list or change.
	era func() uint64
	// onOutdated is called when a description is ignored as outdated.
	onOutdated func()

	// mu keeps the picker, the coordinator and departures in step.
	mu sync.Mutex
}

func newTargetTracker(p *picker.Picker, k *coordinator, l *log.Logger) *targetTracker {
	return &targetTracker{
		picker: p, coordinator: k, departures: k.departures, clock: k.clock, log: l,
		era: func() uint64 { return 0 }, onOutdated: func() {},
	}
}

// storeEntry is a decoded item of the store.
type storeEntry struct {
	id       string
	revision ports.Revision
	target   fleet.Target
	// isPresent reports whether the item describes a target. If not, the target may be used for
	// usableFor.
	isPresent bool
	usableFor time.Duration
	// isListed reports whether the item comes from a full list. Changes before it may be unknown.
	isListed bool
}

// decodeEntry decodes an item. An item that describes no valid target names none to use; one
// that was deleted may belong to a target that is alive, and is used for removalDelay.
func (t *targetTracker) decodeEntry(item ports.Item, removalDelay time.Duration) storeEntry {
	out := storeEntry{id: targetID(item), revision: item.Revision}
	if item.Deleted {
		out.usableFor = removalDelay
		return out
	}
	r, err := platform.DecodeTarget(item.Key, item.Value)
	if err != nil {
		t.log.Warn().Err(err).Uint64("revision", uint64(item.Revision)).Msg("invalid target entry ignored")
		return out
	}
	t.log.Debug().Str("target", out.id).Bool("draining", r.Draining).Int("models", len(r.Models)).
		Uint64("revision", uint64(item.Revision)).Msg("target updated")
	r.Revision = uint64(item.Revision)
	out.target, out.isPresent = r, true
	return out
}

func targetID(item ports.Item) string {
	return strings.TrimPrefix(item.Key, platform.TargetPrefix)
}

// applyChange applies an item that has been written or deleted. A target that is missing is
// used for removalDelay.
func (t *targetTracker) applyChange(item ports.Item, from origin, removalDelay time.Duration) {
	e := t.decodeEntry(item, removalDelay)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEntry(&e, from, time.Time{})
}

// applyList applies a full list of the store's items. Targets that it lacks are used for
// removalDelay.
func (t *targetTracker) applyList(list itemList, removalDelay time.Duration) {
	entries := make([]storeEntry, len(list.items))
	listed := make(map[string]bool, len(list.items))
	for i, item := range list.items {
		entries[i] = t.decodeEntry(item, removalDelay)
		entries[i].isListed = true
		listed[entries[i].id] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range entries {
		t.applyEntry(&entries[i], list.from, list.askedAt)
	}
	t.leaveUnlisted(listed, list.through, list.from, removalDelay)
}

// applyEntry applies an item that was read from the store by this instance at askedAt, or by
// another one if that is zero.
func (t *targetTracker) applyEntry(e *storeEntry, from origin, askedAt time.Time) {
	if !e.isPresent {
		t.leave(e.id, e.revision, from, e.usableFor)
		return
	}
	verdict := t.judge(e.id, e.revision, from, askedAt)
	if verdict == depart.Outdated {
		return
	}
	r := e.target
	if verdict == depart.Present && !e.isListed {
		// The other instances need not hear of each revision of an entry that has stayed.
		r.Revision = t.coordinator.toldRevision(&r)
	}
	t.picker.SetTarget(r)
	t.coordinator.setTarget(r)
}

// judge compares a description of a target as of a revision with the target's departure.
func (t *targetTracker) judge(id string, revision ports.Revision, from origin, askedAt time.Time) depart.Verdict {
	d, verdict := t.departures.Judge(id, revision, askedAt)
	if verdict == depart.Present {
		return verdict
	}
	message := "target is back in use"
	if verdict == depart.Outdated {
		message = "outdated description of a target ignored"
		t.onOutdated()
	}
	t.log.Info().Str("target", id).Str("from", string(from)).Uint64("revision", uint64(revision)).
		Uint64("leftBefore", uint64(d.Revision)).Uint64("era", t.era()).Dur("leftFor", t.clock.Now().Sub(d.NotedAt)).Msg(message)
	return verdict
}

// leave records that a target's entry was missing at a revision, and removes the target once
// it may no longer be used.
func (t *targetTracker) leave(id string, revision ports.Revision, from origin, usableFor time.Duration) {
	now := t.clock.Now()
	d := t.departures.Leave(id, revision, now, usableFor)
	if d.NotedAt.Equal(now) {
		t.log.Info().Str("target", id).Str("from", string(from)).Uint64("revision", uint64(revision)).
			Uint64("era", t.era()).Dur("doubt", usableFor).Msg("target removed from the store")
	}
	t.expire(id, d.UsableUntil.Sub(now))
}

// leaveUnlisted records that the known targets that a full list as of a revision lacks have left.
func (t *targetTracker) leaveUnlisted(listed map[string]bool, revision ports.Revision, from origin, usableFor time.Duration) {
	for _, id := range t.picker.MissingFrom(listed) {
		t.leave(id, revision, from, usableFor)
	}
	for _, id := range t.coordinator.missingFrom(listed) {
		t.leave(id, revision, from, usableFor)
	}
}

// expire removes a target that has left after usableFor, at once if that is not above 0.
func (t *targetTracker) expire(id string, usableFor time.Duration) {
	if usableFor <= 0 {
		t.picker.Remove(id, 0)
		t.coordinator.removeTarget(id)
		return
	}
	t.picker.Remove(id, usableFor)
	t.coordinator.announceRemoval(id)
	t.clock.After(usableFor, func() { t.removeExpired(id) })
}

// removeExpired removes a target unless it has returned meanwhile.
func (t *targetTracker) removeExpired(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, hasLeft := t.departures.Find(id); hasLeft && !t.clock.Now().Before(d.UsableUntil) {
		t.expire(id, 0)
	}
}

// updateSet is what the lease holder says of the targets, itself or through a relay.
type updateSet struct {
	list []picker.Update
	from origin
	// through is the store revision up to which the holder has read the targets. asOf is when
	// the holder said it or earlier.
	through ports.Revision
	asOf    time.Time
	// isFull reports whether targets that are not in the list have left. They may be used for
	// removalDelay.
	isFull       bool
	removalDelay time.Duration
	// expected is when models are expected to be loaded.
	expected map[string]time.Time
}

// applyUpdates applies the holder's updates. Those of this instance to itself, as the holder, only
// tell its picker which models are loaded: it learns from the store which targets there are.
func (t *targetTracker) applyUpdates(u *updateSet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOwn := t.coordinator.holderStatus().IsHolder
	listed := make(map[string]bool, len(u.list))
	var current []picker.Update
	for i := range u.list {
		p := &u.list[i]
		listed[p.ID] = true
		if !isOwn {
			t.noteUpdate(p, u)
		}
		if t.isCurrent(p, u) {
			current = append(current, *p)
		}
	}
	if u.isFull && !isOwn {
		// The holder decides how long they are kept, since the list is its own.
		t.leaveUnlisted(listed, u.through, u.from, u.removalDelay)
	}
	t.picker.ApplyUpdates(current, u.expected)
	for i := range current {
		// Targets that have left keep the time until which they may be used.
		if d, hasLeft := t.departures.Find(current[i].ID); hasLeft {
			t.picker.Remove(current[i].ID, d.UsableUntil.Sub(t.clock.Now()))
		}
	}
}

// noteUpdate records the departure that an update tells of, or that the target is draining.
func (t *targetTracker) noteUpdate(p *picker.Update, u *updateSet) {
	revision := ports.Revision(p.Revision)
	switch {
	case p.Gone:
		t.leave(p.ID, cmp.Or(revision, u.through), u.from, 0)
	case p.RemovalMS > 0:
		until := u.asOf.Add(time.Duration(p.RemovalMS) * time.Millisecond)
		t.leave(p.ID, revision, u.from, until.Sub(t.clock.Now()))
	case p.Draining:
		t.coordinator.noteDraining(p.Identity)
	}
}

// isCurrent reports whether an update is to be applied: whether it is newer than the target's
// departure, or the target may still be used.
func (t *targetTracker) isCurrent(p *picker.Update, u *updateSet) bool {
	switch {
	case p.Gone:
		return true
	case p.RemovalMS > 0:
		d, _ := t.departures.Find(p.ID)
		return d.UsableUntil.After(t.clock.Now())
	}
	return t.judge(p.ID, ports.Revision(p.Revision), u.from, time.Time{}) != depart.Outdated
}
