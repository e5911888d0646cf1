package sums

import (
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// memberStart and memberEnd are the text around the hexadecimal digits of the checksum.
	memberStart = `,"sum":"`
	memberEnd   = `"}`
	// digitCount is the number of hexadecimal digits of a CRC-32.
	digitCount = 8
	// trailerBytes is the length of the text that replaces the closing brace.
	trailerBytes = len(memberStart) + digitCount + len(memberEnd)
)

// ErrNone means that an object does not end with a checksum.
var ErrNone = errors.New("it has no sum")

// ErrMismatch means that the checksum of an object does not match its contents.
var ErrMismatch = errors.New("its sum does not match")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Add returns a copy of a JSON object with the CRC-32C checksum of its bytes added as the
// last member. The object must have at least one member, and its closing brace must be the
// last byte.
//
// For example {"format":2} becomes {"format":2,"sum":"5d1b0d4c"}, where the checksum is that
// of {"format":2}. The value remains JSON that a person can read.
func Add(object []byte) []byte {
	open := object[:len(object)-1]
	return fmt.Appendf(open[:len(open):len(open)], `%s%08x%s`, memberStart, crc32.Checksum(object, castagnoli), memberEnd)
}

// Strip checks the checksum of an object and returns the object without it. The error is
// ErrNone or ErrMismatch.
func Strip(value []byte) ([]byte, error) {
	if len(value) <= trailerBytes {
		return nil, ErrNone
	}
	open := value[:len(value)-trailerBytes]
	object := append(open[:len(open):len(open)], '}')
	expected := Add(object)
	if string(expected) == string(value) {
		return object, nil
	}
	if string(value[len(open):len(open)+len(memberStart)]) != memberStart {
		return nil, ErrNone
	}
	return nil, ErrMismatch
}
