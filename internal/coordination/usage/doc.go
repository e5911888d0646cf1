// Package usage keeps the use of each team within its quota over all instances together.
//
// The lease holder has a Ledger with one calendar for each team: a token bucket whose
// tokens can be reserved ahead of time. Each instance has a Share, which asks for permits:
//
//	Share.Request    a request needs a permit: from those prefetched, or by an ask
//	Share.Message    all asks and returned permits since the last message
//	Ledger.Answer    the holder grants each ask now or later, or refuses it
//	Share.Apply      the asks get their outcomes
//	Share.Return     a permit whose request never ran is returned with the next message
//	Share.Fail       a message has no reply: its asks are repeated
//	Ledger.Stop      the holder's lease is in doubt: it tells so, and Share.Stopped decides without it
//	Ledger.HandOver  the former holder gives up its state, with which Ledger.TakeOver goes on
//
// A permit has a start and an expiry, so that a window of time has no more than the rate of
// that time, of a permit's lifetime and the bucket. An instance without a holder admits a
// part of the rate at random.
//
// Neither does I/O or reads a clock. Package edge exchanges the messages.
package usage
