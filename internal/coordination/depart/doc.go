// Package depart remembers which targets have left the metadata store, so that what was
// known of them before does not put them back into use.
//
// An instance learns of targets from several sources: its own reads of the store, the lease
// holder's updates, and readers. One source may be behind another, and stays so while the
// store is unavailable. So the revision of the store decides what is newer, not the order of
// arrival:
//
//  1. Log.Leave notes that a target's entry was missing at a revision. If its lease may
//     have expired although the target is alive, it may be used for some time longer. That
//     time begins when the departure is first known, and never anew.
//  2. Log.Judge tells whether a later description of the target rests on an entry that was
//     there after the departure, or is outdated.
//
// The store may come back from an older copy, in which the entry of a target is there that has
// left since. Such an entry is Unproven until it is certain to have been written after the return,
// or has been there for longer than the lease of an entry that nobody renews.
//
// Package edge keeps one Log for each instance. It does no I/O and is safe for concurrent
// use.
package depart
