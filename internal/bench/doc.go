// Package bench is the load and experiment tool: a seeded schedule of calls and
// faults in the shape of a deployment, callers that check every answer against
// what the model engine stand-in must have said, and a report.
//
// The callers (Caller) can be used by themselves; the end of each call is a
// Verdict, which keeps apart what a plain status code does not: an answer that
// is whole and right, a refusal that says "not run", an unknown outcome, a cut
// stream, a wrong answer and no answer at all.
package bench
