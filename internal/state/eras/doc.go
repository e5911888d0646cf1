// Package eras orders the revisions of a store that may come back from an older copy of its data.
//
// Each return begins a new history with a higher era. Its revisions go on from the copy's, so a
// number may stand for one change in the former history and for another one in the present. A number
// alone therefore says nothing of what is newer:
//
//	Revision        a number with the era of the reply that told it; later eras are newer
//	Cell            a Revision that several goroutines read and write
//	History.Note    the store, or another instance, has told a revision: is it of the present history?
//	History.IsNew   was the change of a revision certainly made in its era, and not taken over by the
//	                copy? Only then is it newer than all that was known of former histories
//
// The era is 0 if the store tells none; then all revisions are of one history.
package eras
