package params

import (
	"errors"
	"strings"
	"testing"
)

// FuzzParse: settings are read or refused with faults, each of which names the
// file and what is accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(valid + "[requests]\noutcomeKept = 10\n"))
	f.Add([]byte("[entry\nid"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("e.ini", data)
		if err == nil {
			return
		}
		var faults Faults
		if !errors.As(err, &faults) {
			t.Fatalf("%v is no Faults", err)
		}
		for _, fault := range faults {
			if text := fault.Error(); fault.Accepts == "" || !strings.HasPrefix(text, "e.ini") {
				t.Fatalf("%q names no file or nothing that is accepted", text)
			}
		}
	})
}
