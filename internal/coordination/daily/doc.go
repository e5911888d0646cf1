// Package daily counts what became of every request and adds it up over all
// instances of a day.
//
// A Recorder counts in memory. A Writer puts the counts of its instance into
// one row of the KV service for each day and incarnation; a row holds totals,
// so writing it again changes nothing and a lost answer costs nothing. A Reader
// adds up the rows of a day to a Report, which also says what it could not
// know.
package daily
