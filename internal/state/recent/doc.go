// Package recent provides a set of bounded size that holds the values added last.
//
// Packages picker and edge use it to remember which targets have announced that they are
// leaving.
package recent
