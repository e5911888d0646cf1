package front

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Headers of the callers' interface.
const (
	headerRequestID  = "X-Request-Id"
	headerRequestKey = "Idempotency-Key"
	headerDeadline   = "X-Deadline"
	headerTenant     = "X-Tenant"
	headerAPIKey     = "X-Api-Key"
)

// anonymous is the tenant of callers while no tenant is configured.
const anonymous = "anonymous"

// call is one request on its way through the entry.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	dir      *directory
	start    time.Time
	deadline time.Time
	tenant   string
	out      Outcome
	// held is what the request takes of heldBytes.
	held int64
	// arrived tells that Arrive has heard of the request.
	arrived bool
	// concluded tells that Observe has heard of the outcome.
	concluded bool
	// closed tells that the answer has been ended in order, though not whole.
	closed bool
}

func newID() string {
	var b [16]byte
	// The system's random source does not fail; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// requestID echoes the caller's id if it is a sensible one.
func requestID(r *http.Request, fresh func() string) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || !printable(id) {
		return fresh()
	}
	return id
}

func printable(s string) bool {
	if len(s) > keyBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// identify finds the tenant by API key, else by a header, which may only name a
// tenant that has no keys.
func (c *call) identify() *Problem {
	tenants := c.dir.config.Tenants
	if key := apiKey(c.r); key != "" {
		sum := sha256.Sum256([]byte(key))
		name, _, ok := c.dir.Tenant(hex.EncodeToString(sum[:]))
		if !ok && len(tenants) > 0 {
			return refuse(http.StatusUnauthorized, reasonUnknownKey, "the API key belongs to no tenant")
		}
		if ok {
			c.setTenant(name)
			return nil
		}
	}
	if name := c.r.Header.Get(headerTenant); name != "" {
		tenant, ok := tenants[name]
		if !ok || len(tenant.KeyHashes) > 0 {
			return refuse(http.StatusUnauthorized, reasonNoTenant, "the header names no tenant that has no API key")
		}
		c.setTenant(name)
		return nil
	}
	if len(tenants) > 0 {
		return refuse(http.StatusUnauthorized, reasonNoTenant, "the request names no tenant")
	}
	c.setTenant(anonymous)
	return nil
}

func (c *call) setTenant(name string) {
	c.tenant = name
	c.out.Tenant = name
}

func apiKey(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	return r.Header.Get(headerAPIKey)
}

// settle fixes the class and the deadline once the service is known.
func (c *call) settle(service, path string) *Problem {
	c.out.Service = service
	c.out.Class = c.dir.class(service, c.tenant, c.r.Method, path)
	c.arrive()
	within, problem := c.within(service)
	if problem != nil {
		return problem
	}
	if within <= 0 {
		return refuse(http.StatusGatewayTimeout, admit.ReasonDeadline, "the deadline has passed")
	}
	c.deadline = c.start.Add(within)
	return nil
}

// arrive tells once that the request is here. It is told before the request is
// worked on, so that one which ends with its entry shows as lost.
func (c *call) arrive() {
	if c.arrived {
		return
	}
	c.arrived = true
	c.h.Arrive(c.out.Service, c.out.Class)
}

// within returns the time that the caller gives, which a header states as a
// duration or as an RFC 3339 time.
func (c *call) within(service string) (time.Duration, *Problem) {
	text := c.r.Header.Get(headerDeadline)
	if text == "" {
		if d := time.Duration(c.dir.config.Services[service].Deadline); d > 0 {
			return d, nil
		}
		if c.out.Class == config.ClassDeferrable {
			return c.h.Bounds.DeferrableDeadline, nil
		}
		return c.h.Bounds.Deadline, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return min(d, c.h.Bounds.MaxDeadline), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, refuse(http.StatusBadRequest, reasonBadDeadline,
			headerDeadline+" is a duration such as 2s or an RFC 3339 time, not "+quote(text))
	}
	return min(at.Sub(c.start), c.h.Bounds.MaxDeadline), nil
}

func quote(s string) string {
	const most = 80
	if len(s) > most {
		s = s[:most] + "…"
	}
	return strconv.Quote(s)
}
