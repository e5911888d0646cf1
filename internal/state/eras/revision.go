package eras

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// Revision is a revision of the store as it was told in an era. The zero Revision stands for an
// unknown one.
type Revision struct {
	Era    uint64
	Number uint64
}

// IsZero reports whether the revision is unknown.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Compare returns -1, 0 or 1 if r is older than, equal to or newer than s. An unknown revision is
// older than all others.
func (r Revision) Compare(s Revision) int {
	if r.IsZero() || s.IsZero() {
		return cmp.Compare(r.Number, s.Number)
	}
	return cmp.Or(cmp.Compare(r.Era, s.Era), cmp.Compare(r.Number, s.Number))
}

// After reports whether r is newer than s.
func (r Revision) After(s Revision) bool { return r.Compare(s) > 0 }

// Later returns the newer revision.
func (r Revision) Later(s Revision) Revision {
	if s.After(r) {
		return s
	}
	return r
}

// String returns the number, with the era before it if there is one: "50" or "6.50".
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "." + number
}

// Parse reads what String returns.
func Parse(text string) (Revision, error) {
	era, number, hasEra := strings.Cut(text, ".")
	if !hasEra {
		era, number = "0", text
	}
	e, err1 := strconv.ParseUint(era, 10, 64)
	n, err2 := strconv.ParseUint(number, 10, 64)
	if err1 != nil || err2 != nil {
		return Revision{}, fmt.Errorf("%.40q is no revision", text)
	}
	return Revision{e, n}, nil
}

// MarshalJSON encodes the revision as a number, or as a string if it has an era.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Era == 0 {
		return strconv.AppendUint(nil, r.Number, 10), nil
	}
	return json.Marshal(r.String())
}

// UnmarshalJSON decodes what MarshalJSON has encoded.
func (r *Revision) UnmarshalJSON(data []byte) error {
	text := string(data)
	if strings.HasPrefix(text, `"`) {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	out, err := Parse(text)
	if err != nil {
		return err
	}
	*r = out
	return nil
}

// Cell holds a Revision. It is safe for concurrent use, and its zero value holds an unknown one.
type Cell struct {
	mu       sync.Mutex
	revision Revision
}

// Load returns the revision.
func (c *Cell) Load() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Store replaces the revision.
func (c *Cell) Store(r Revision) { c.Swap(r) }

// Swap replaces the revision and returns the former one.
func (c *Cell) Swap(r Revision) Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.revision
	c.revision = r
	return was
}

// Raise replaces the revision by a newer one.
func (c *Cell) Raise(r Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = c.revision.Later(r)
}
