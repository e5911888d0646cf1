// Package codec turns the typed messages between entries into the protobuf
// messages that travel, and back.
//
// A message that cannot be understood is an error; a field that this release
// does not know is ignored.
package codec
