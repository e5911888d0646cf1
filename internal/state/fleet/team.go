package fleet

import (
	"crypto/sha256"
	"math"

	"github.com/gravitational/trace"
)

// maxKeyBytes is the length above which a key is unknown.
const maxKeyBytes = 1 << 10

// Unit is what the quota of a team is counted in.
type Unit uint8

// The units of quotas.
const (
	// UnitRequests counts each request as 1.
	UnitRequests Unit = iota
	// UnitTokens counts the prompt tokens and the maximum output tokens of a request.
	UnitTokens
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a customer of the operators that shares the deployment with others.
type Team struct {
	Name string
	// Keys are the digests of the API keys whose holder belongs to the team.
	Keys []KeyDigest
	// Priority overrides the priority of the route if HasPriority is set; 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	// Unit is what Rate and Burst are counted in.
	Unit Unit
	// Rate is the quota of all instances together, in units per second, and Burst the
	// capacity of its token bucket. A rate of 0 means that there is no quota.
	Rate  float64
	Burst float64
	// PlainTokens is the amount of a request that names no tokens, in tokens.
	PlainTokens int
}

// HasQuota reports whether the team's use is limited.
func (t *Team) HasQuota() bool { return t != nil && t.Rate > 0 }

// Amount returns what a request counts for the team's quota. tokens is the sum of its
// prompt tokens and its maximum output tokens, 0 if the request names none.
func (t *Team) Amount(tokens int) float64 {
	switch {
	case t.Unit == UnitRequests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(t.PlainTokens)
}

// HasTeams reports whether requests need a key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }

// ParseKey returns the digest of an API key, false if it is none that a team may have.
func ParseKey(key string) (KeyDigest, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return KeyDigest{}, false
	}
	return DigestKey(key), true
}

// TeamOf returns the team of an API key, nil if no team has it.
func (c *Config) TeamOf(key string) *Team {
	digest, ok := ParseKey(key)
	if !ok {
		return nil
	}
	return c.TeamOfDigest(digest)
}

// TeamOfDigest returns the team that has the API key with a digest, nil if none has it.
func (c *Config) TeamOfDigest(digest KeyDigest) *Team { return c.byKey[digest] }

// indexTeams builds the index of keys. Its error names the team and the field of the first
// invalid value, but no key.
func (c *Config) indexTeams() error {
	c.byKey = make(map[KeyDigest]*Team)
	names := make(map[string]bool, len(c.Teams))
	for i := range c.Teams {
		t := &c.Teams[i]
		if names[t.Name] {
			return trace.BadParameter("team %q is defined twice", t.Name)
		}
		names[t.Name] = true
		if err := t.check(); err != nil {
			return err
		}
		for _, key := range t.Keys {
			if other := c.byKey[key]; other != nil && other != t {
				return trace.BadParameter("teams %q and %q have a key in common", other.Name, t.Name)
			}
			c.byKey[key] = t
		}
	}
	return nil
}

func (t *Team) check() error {
	switch {
	case t.Name == "":
		return trace.BadParameter("a team has no name")
	case !isAmount(t.Rate):
		return trace.BadParameter("team %q: rate %v is not a number of at least 0", t.Name, t.Rate)
	case !isAmount(t.Burst):
		return trace.BadParameter("team %q: burst %v is not a number of at least 0", t.Name, t.Burst)
	case t.PlainTokens < 0:
		return trace.BadParameter("team %q: plain tokens %d are below 0", t.Name, t.PlainTokens)
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
