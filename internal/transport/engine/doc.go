// Package engine is the client of the model engines over HTTP: orders, answers
// as streams of tokens, cache events and load reports.
package engine
