// Package member maintains each entry's view of the other entries by gossip: all entries
// of its own zone, and a bounded sample of each other zone.
//
// A member's record is written by that member alone and ordered by incarnation and beat,
// a counter that grows every round. Views are therefore merged by taking the higher
// record, whichever way it came. Every second an entry exchanges a constant number of
// records with one entry of its zone; two entries of each zone, its delegates, also
// exchange samples with one other zone. Entries do not report others as failed: each
// entry concludes by itself that a member whose beat does not advance is silent, so there
// is nothing to refute after a network partition.
//
// The package receives the instance list and this entry's own state, and reports every
// change of the view in a ViewChanged note to the packages that choose owners and peers by
// it.
package member
