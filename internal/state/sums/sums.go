package sums

import (
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// member and its end surround the eight hexadecimal digits of the sum.
	member    = `,"sum":"`
	memberEnd = `"}`
	digits    = 8
	trailer   = len(member) + digits + len(memberEnd)
)

// ErrNone tells that an object has no sum at its end.
var ErrNone = errors.New("it has no sum")

// ErrMismatch tells that an object is not the one that its sum was made of.
var ErrMismatch = errors.New("its sum does not match")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Add returns a JSON object with its checksum as the last member; the object
// must have at least one member and nothing behind its closing brace.
//
// For example {"format":2} becomes {"format":2,"sum":"5d1b0d4c"}: the sum is
// that of {"format":2}, and the value remains JSON that a person can read.
func Add(object []byte) []byte {
	open := object[:len(object)-1]
	return fmt.Appendf(open[:len(open):len(open)], `%s%08x%s`, member, crc32.Checksum(object, castagnoli), memberEnd)
}

// Strip checks the sum of an object and returns the object without it; the
// error is ErrNone or ErrMismatch.
func Strip(value []byte) ([]byte, error) {
	if len(value) <= trailer {
		return nil, ErrNone
	}
	open := value[:len(value)-trailer]
	object := append(open[:len(open):len(open)], '}')
	sealed := Add(object)
	if string(sealed) == string(value) {
		return object, nil
	}
	if string(value[len(open):len(open)+len(member)]) != member {
		return nil, ErrNone
	}
	return nil, ErrMismatch
}
