package sums

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestStrip(t *testing.T) {
	tests := []struct {
		value string
		want  string
		err   error
	}{
		{string(Add([]byte(`{"a":1}`))), `{"a":1}`, nil},
		{`{"a":1}`, "", ErrNone},
		{``, "", ErrNone},
		{`{"a":1,"future":"a member of the same length"}`, "", ErrNone},
		{`{"a":1,"sum":"00000000"}`, "", ErrMismatch},
	}
	for _, tt := range tests {
		got, err := Strip([]byte(tt.value))
		if !errors.Is(err, tt.err) || tt.err == nil && err != nil {
			t.Errorf("%s: %v, want %v", tt.value, err, tt.err)
		}
		if diff := cmp.Diff(tt.want, string(got)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.value, diff)
		}
	}
}

// TestStripRejectsDamagedValue checks that a value with one byte changed, a truncated value
// and one with a trailing space are rejected.
func TestStripRejectsDamagedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := append([]byte{'{'}, rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "members")...)
		value := Add(append(object, '}'))
		damaged := append([]byte(nil), value...)
		at := rapid.IntRange(0, len(value)-1).Draw(t, "at")
		damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if _, err := Strip(damaged); err == nil {
			t.Fatalf("%q is accepted in place of %q", damaged, value)
		}
		if _, err := Strip(value[:at]); err == nil {
			t.Fatalf("%q is accepted in place of %q", value[:at], value)
		}
		if _, err := Strip(append(value, ' ')); err == nil {
			t.Fatalf("%q with a trailing space is accepted", value)
		}
	})
}
