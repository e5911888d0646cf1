package proxy

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Reasons of requests that are refused for their API key, and when a caller may come back
// if the key may be valid.
const (
	reasonNoKey         = "noKey"
	reasonUnknownKey    = "unknownKey"
	reasonStaleKeys     = "staleKeys"
	staleKeysRetryAfter = time.Second
)

var (
	// errUnknownKey is the error of a request whose key is missing or of no team.
	errUnknownKey = errors.New("no team has the API key")
	// errStaleKeys is the error of a request whose key cannot be judged, since the active
	// configuration may not be the newest, or whose key has gone to another team.
	errStaleKeys = errors.New("the configuration may not be the newest")
)

// credentials are what is known of the caller of a request.
type credentials struct {
	// hasTeams reports whether the configuration had teams at any check so far.
	hasTeams bool
	// key is the digest of the API key; valid if hasKey. It is read once, when read is set.
	key    fleet.KeyDigest
	hasKey bool
	read   bool
	// team is the team of the key, nil if the request has none.
	team *fleet.Team
	// checked reports whether the key has been checked before.
	checked bool
}

// teamName returns the name of the caller's team, empty if it has none.
func (c *credentials) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// priority returns the priority of the caller's team, else that of the route.
func (x *exchange) priority() int {
	return priorityOf(x.team, x.route)
}

// authenticate names the caller's team by the active configuration. It is called when the
// request arrives and before each send, and returns errUnknownKey or errStaleKeys if the
// request must not be sent.
func (x *exchange) authenticate() error {
	cfg, proven := x.s.config.Load(), false
	if hasTeams(cfg) {
		// The configuration is read after the proof is checked: if another one has become
		// active in between, it is newer.
		proven = x.s.keysProven()
		cfg = x.s.config.Load()
	}
	if !hasTeams(cfg) {
		// Requests need no key, also those that came with one.
		x.team, x.checked = nil, true
		return nil
	}
	x.hasTeams = true
	x.readKey()
	var team *fleet.Team
	if proven && x.hasKey {
		team = cfg.TeamOfDigest(x.key)
	}
	isOther := x.checked && nameOf(team) != x.teamName()
	x.checked = true
	if x.isPublic(cfg) {
		if isOther {
			team = nil
		}
		x.team = team
		return nil
	}
	switch {
	case !proven:
		return errStaleKeys
	case team == nil && x.s.isBehind():
		// The newer configuration may have the key.
		return errStaleKeys
	case team == nil:
		return errUnknownKey
	case isOther:
		return errStaleKeys
	}
	x.team = team
	return nil
}

func hasTeams(c *fleet.Config) bool { return c != nil && c.HasTeams() }

func nameOf(t *fleet.Team) string {
	if t == nil {
		return ""
	}
	return t.Name
}

// readKey reads the API key of the request. Only its digest is kept.
func (x *exchange) readKey() {
	if x.read {
		return
	}
	x.read = true
	x.key, x.hasKey = fleet.ParseKey(x.s.codec.Key(x.r.Header))
}

// isPublic reports whether a configuration asks for no key of the request.
func (x *exchange) isPublic(cfg *fleet.Config) bool {
	if route := matchRoute(cfg, x.r); route != nil {
		return route.Public
	}
	return x.route.Public
}

// guardKey returns the check of the request's key right before its first byte is written
// to a target: a connection may take seconds to be opened. It returns nil if the request
// is sent without a team.
func (x *exchange) guardKey(a *attempt) func() error {
	if x.team == nil {
		return nil
	}
	key, name := x.key, x.team.Name
	var began atomic.Bool
	return func() error {
		if began.Load() {
			return nil
		}
		proven := x.s.keysProven()
		if cfg := x.s.config.Load(); !proven || cfg == nil || nameOf(cfg.TeamOfDigest(key)) != name {
			a.keyLost.Store(true)
			return errStaleKeys
		}
		began.Store(true)
		return nil
	}
}

// handleKeyLost handles a send that was stopped since its key may no longer be used. The
// next one decides by the configuration that is active then.
func (x *exchange) handleKeyLost(a *attempt) bool {
	a.flight.End()
	x.abandon(a, picker.Outcome{})
	if x.sends < maxSends {
		x.logDecision(a, "checkKey")
		return false
	}
	x.endUnauthenticated(errStaleKeys)
	return true
}

// endUnauthenticated ends a request whose key was not accepted.
func (x *exchange) endUnauthenticated(err error) {
	if errors.Is(err, errStaleKeys) {
		x.endUnanswered(reasonStaleKeys, staleKeysRetryAfter)
		return
	}
	reason := reasonUnknownKey
	if !x.hasKey {
		reason = reasonNoKey
	}
	if x.possibleRuns > 0 {
		x.endUnanswered(reason, 0)
		return
	}
	name, value := x.s.codec.Challenge()
	x.w.Header().Set(name, value)
	x.respond(http.StatusUnauthorized, reason)
}
