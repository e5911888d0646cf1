package edge

import (
	"cmp"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/depart"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/eras"
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
	// originMember is another instance that the holder has asked.
	originMember origin = "member"
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
	history     *eras.History
	// unproven holds what is to be applied of targets by their ids once it is certain that they are
	// there: see depart.Unproven.
	unproven map[string]heldBack
	// clock is the coordinator's, which goes on while the machine is suspended.
	clock timer.Service
	log   *log.Logger
	// onOutdated is called when a description is ignored as outdated.
	onOutdated func()

	// mu keeps the picker, the coordinator and departures in step.
	mu sync.Mutex
}

func newTargetTracker(p *picker.Picker, k *coordinator, l *log.Logger) *targetTracker {
	return &targetTracker{
		picker: p, coordinator: k, departures: k.departures, history: k.history, unproven: make(map[string]heldBack),
		clock: k.clock, log: l, onOutdated: func() {},
	}
}

// heldBack is a description of a target that can't be judged yet.
type heldBack struct {
	apply func()
	from  origin
}

// storeEntry is a decoded item of the store.
type storeEntry struct {
	id       string
	revision eras.Revision
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
func (t *targetTracker) decodeEntry(item storeItem, removalDelay time.Duration) storeEntry {
	out := storeEntry{id: targetID(item), revision: item.at}
	if item.Deleted {
		out.usableFor = removalDelay
		return out
	}
	r, err := platform.DecodeTarget(item.Key, item.Value)
	if err != nil {
		t.log.Warn().Err(err).Stringer("revision", item.at).Msg("invalid target entry ignored")
		return out
	}
	t.log.Debug().Str("target", out.id).Bool("draining", r.Draining).Int("models", len(r.Models)).
		Stringer("revision", item.at).Msg("target updated")
	r.Revision = item.at
	out.target, out.isPresent = r, true
	return out
}

func targetID(item storeItem) string {
	return strings.TrimPrefix(item.Key, platform.TargetPrefix)
}

// applyChange applies an item that has been written or deleted. A target that is missing is
// used for removalDelay.
func (t *targetTracker) applyChange(item storeItem, from origin, removalDelay time.Duration) {
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
	verdict := t.judge(depart.Description{ID: e.id, Born: e.target.Born, Revision: e.revision, AskedAt: askedAt}, from)
	if verdict == depart.Unproven {
		later := *e
		t.awaitProof(e.id, heldBack{func() { t.applyEntry(&later, from, askedAt) }, from})
	}
	if verdict == depart.Outdated || verdict == depart.Unproven {
		return
	}
	r := e.target
	if verdict == depart.Present && !e.isListed {
		r.Revision = t.toldRevision(&r)
	}
	t.picker.SetTarget(r)
	t.coordinator.setTarget(r)
}

// toldRevision returns the revision of an entry that has stayed as the other instances are told. They
// need not hear of each one, but of one that shows that the entry outlasted a return of the store.
func (t *targetTracker) toldRevision(r *fleet.Target) eras.Revision {
	told := t.coordinator.toldRevision(r)
	if !t.history.IsNew(told) && t.history.IsNew(r.Revision) {
		return r.Revision
	}
	return told
}

// judge compares a description of a target with the target's departure.
func (t *targetTracker) judge(about depart.Description, from origin) depart.Verdict {
	now := t.clock.Now()
	d, verdict := t.departures.Judge(now, about)
	message := "target is back in use"
	switch verdict {
	case depart.Present:
		return verdict
	case depart.Returned:
	case depart.Outdated:
		message = "outdated description of a target ignored"
		t.onOutdated()
	case depart.Unproven:
		message = "description of a target held back, since it may be from before the store came back"
	}
	t.log.Info().Str("target", about.ID).Str("from", string(from)).Stringer("revision", about.Revision).
		Stringer("leftBefore", d.Revision).Dur("leftFor", now.Sub(d.NotedAt)).Msg(message)
	return verdict
}

// awaitProof applies, under the lock, a description of a target that was held back once it can be
// judged. Only the latest one of each target is kept.
func (t *targetTracker) awaitProof(id string, h heldBack) {
	_, isWaiting := t.unproven[id]
	t.unproven[id] = h
	if isWaiting {
		return
	}
	t.clock.After(t.departures.WaitForProof(t.clock.Now()), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if latest, isLeft := t.unproven[id]; isLeft {
			delete(t.unproven, id)
			latest.apply()
		}
	})
}

// maxLeft limits the targets of which a message says that they have left.
const maxLeft = 64

// heldBackUpdates returns the targets of which the holder tells although they have left, as far as is known
// here.
func (t *targetTracker) heldBackUpdates() []departedTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []departedTarget
	for id, h := range t.unproven {
		d, hasLeft := t.departures.Find(id)
		if hasLeft && (h.from == originHolder || h.from == originRelay) && len(out) < maxLeft {
			out = append(out, departedTarget{id, d.Revision})
		}
	}
	return out
}

// applyLeft applies what a member says of targets that have left, to the holder.
func (t *targetTracker) applyLeft(left []departedTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range left[:min(len(left), maxLeft)] {
		if _, isKnown := t.departures.Find(d.ID); !isKnown {
			t.leave(d.ID, d.Revision, originMember, 0)
		}
	}
}

// dropOwnReads drops what this instance has held back of its own reads or a reader's. It no longer follows the
// store, and would not hear that an entry is gone.
func (t *targetTracker) dropOwnReads() {
	maps.DeleteFunc(t.unproven, func(_ string, h heldBack) bool { return h.from == originStore || h.from == originReader })
}

// leave records that a target's entry was missing at a revision, and removes the target once
// it may no longer be used.
func (t *targetTracker) leave(id string, revision eras.Revision, from origin, usableFor time.Duration) {
	now := t.clock.Now()
	d, hasLeft := t.departures.Leave(id, revision, now, usableFor)
	if !hasLeft {
		t.log.Info().Str("target", id).Str("from", string(from)).Stringer("revision", revision).Msg("outdated departure of a target ignored")
		t.onOutdated()
		return
	}
	delete(t.unproven, id)
	if d.NotedAt.Equal(now) {
		t.log.Info().Str("target", id).Str("from", string(from)).Stringer("revision", revision).
			Dur("doubt", usableFor).Msg("target removed from the store")
	}
	t.expire(id, d.UsableUntil.Sub(now))
}

// leaveUnlisted records that the known targets that a full list as of a revision lacks have left.
func (t *targetTracker) leaveUnlisted(listed map[string]bool, revision eras.Revision, from origin, usableFor time.Duration) {
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
	through eras.Revision
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
	if !isOwn {
		t.dropOwnReads()
	}
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
	switch {
	case p.Gone:
		t.leave(p.ID, cmp.Or(p.Revision, u.through), u.from, 0)
	case p.RemovalMS > 0:
		until := u.asOf.Add(time.Duration(p.RemovalMS) * time.Millisecond)
		t.leave(p.ID, p.Revision, u.from, until.Sub(t.clock.Now()))
	case p.Draining:
		t.coordinator.noteDraining(p.Identity)
	}
}

// isCurrent reports whether an update is to be applied: whether it is newer than the target's
// departure, or the target may still be used.
func (t *targetTracker) isCurrent(p *picker.Update, u *updateSet) bool {
	switch {
	case p.Gone:
		_, hasLeft := t.departures.Find(p.ID)
		return hasLeft
	case p.RemovalMS > 0:
		d, _ := t.departures.Find(p.ID)
		return d.UsableUntil.After(t.clock.Now())
	}
	switch t.judge(depart.Description{ID: p.ID, Born: p.Born, Revision: p.Revision}, u.from) {
	case depart.Present, depart.Returned:
		return true
	case depart.Outdated:
	case depart.Unproven:
		t.awaitProof(p.ID, heldBack{func() { t.applyLate(p, u) }, u.from})
	}
	return false
}

// applyLate applies an update that was held back until it could be judged.
func (t *targetTracker) applyLate(p *picker.Update, u *updateSet) {
	if t.isCurrent(p, u) {
		t.picker.ApplyUpdates([]picker.Update{*p}, nil)
	}
}
