// Package proof keeps up to which moment the active configuration is known to have been
// the newest.
//
// An API key is revoked by a configuration without it, and must soon after be accepted
// nowhere, not even at an instance that is cut off from everything or frozen for some
// seconds. So an instance accepts keys only while it has a recent proof: a moment, and the
// revision up to which the store held all configurations that it had acknowledged before
// that moment. The moment is taken before the question was sent, since only what the store
// had acknowledged by then is certain to be in the reply. A watch that still waits proves
// nothing. Instances pass proofs on by their age, to which a receiver adds the time since
// it asked:
//
//	Tracker.RecordOwn    a call to the store on the configuration has returned
//	Tracker.RecordReply  another instance has stated the age of its proof
//	Tracker.Activate     a configuration is in force from here on
//	Tracker.Skip         a configuration was rejected, the active one stays in force
//	Tracker.Proof        what other instances are told
//	Tracker.Accepts      a request arrives, or is about to be sent: may its key be used
//
// A proof counts only if its revision is that of the active configuration, or of one that
// was rejected since without a gap in what was seen. One for a later configuration is kept
// until that is active.
//
// All times are of one clock that also runs while the machine is suspended. A Tracker does
// no I/O.
package proof
