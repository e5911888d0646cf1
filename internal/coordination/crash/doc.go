// Package crash finds the parts of prompts that crash targets, and keeps requests with
// them away from targets.
//
// Some prompts crash every target that begins to write an answer on them. What such
// requests have in common is a part of the prompt; no single instance sees enough of them
// to tell. So each instance reports the requests whose answer had not begun when their
// target ended, and the lease holder adds them up:
//
//	Monitor.Start     a request is sent: it is a Flight until its answer is complete
//	Flight.Progress   its answer goes on: the target survives its parts, which are proved
//	Flight.Broke      its target has ended before that: its parts are accused
//	Monitor.Report    the holder hears of it with the instance's next message
//	Detector.Judge    the holder blocks what must have crashed the targets
//	Monitor.Apply     all instances hear of it with the holder's next replies
//	Monitor.Blocking  requests with a blocked part are refused at once
//	Monitor.HandOver  an instance that stops leaves its accusations to another one
//
// Targets end for other reasons too, and what was in flight there is then accused without
// guilt. Three things tell the difference. An answer that has begun on a part proves it:
// everything that it was accused of before no longer counts. A crash by a part happens
// again when the part is sent again, so only ends count of which each began after the one
// before. And a request is at a target that ends by chance the less likely the more
// targets there are and the fewer end together.
//
// The Monitor and the Detector do no I/O. Package edge carries their messages and finds
// out whether a target has ended.
package crash
