// Package quota keeps all instances together within the rate limits that targets name.
//
// A target in need names in its responses how many requests a second it takes from all
// instances together. A fixed part of that for each instance would be far less than one
// request in a large fleet, so requests are permitted one by one: each instance asks the
// lease holder for permits for the requests that it has queued, and the holder's Ledger
// issues them in the order of asking, no faster than the limit. A Share is what one
// instance knows: the limits in force, its permits and how long further ones will take.
//
//	Share.Hear      a response names a limit: in force here at once
//	Share.Reports   the holder hears of it with the next message
//	Ledger.Report   the holder tells all instances with its next updates
//	Share.Wants     requests are queued for the target
//	Ledger.Ask      permits, and the wait for those still in line
//	Share.Take      a request is sent
//
// An instance without a holder draws permits at random from a small part of the limit.
// Package picker owns the Share, package edge the Ledger; neither does I/O.
package quota
