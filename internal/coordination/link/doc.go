// Package link decides what crosses the slow link between regions: how much of
// it an entry may use, what goes first, and where a cold model may be loaded.
package link
