// Package member keeps each entry's view of the other entries: all of its own
// zone, and a bounded sample of each other zone.
//
// A member's record is written by that member alone and ordered by incarnation
// and beat, so that views merge by taking the higher one, whichever way it came.
// Every second an entry exchanges a constant number of records with one entry
// of its zone; two entries of each zone also exchange samples with one other
// zone. Nobody accuses anybody: each entry concludes by itself that a member
// whose beat stands still is silent, so there is nothing to refute after a cut.
package member
