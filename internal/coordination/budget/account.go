package budget

import (
	"sync"
	"time"
)

// Use is what bytes are held for.
type Use uint8

// The uses of bytes.
const (
	Heads Use = iota
	Bodies
	Answers
	Streams
	uses
)

// String returns the name of the use that logs and metrics show.
func (u Use) String() string {
	return [uses]string{"heads", "bodies", "answers", "streams"}[u]
}

// Uses returns all uses.
func Uses() []Use { return []Use{Heads, Bodies, Answers, Streams} }

// isArrival reports whether the bytes come from a caller whose request has not run.
func (u Use) isArrival() bool { return u == Heads || u == Bodies }

const (
	// SmallBytes is the size up to which an arrival is small: the head of an ordinary
	// caller with its objects, or a body of a few kilobytes.
	SmallBytes = 64 << 10
	// largeShare is the part of the budget for large arrivals, arrivalShare that for all
	// arrivals.
	largeShare   = 0.6
	arrivalShare = 0.85
	// stallTime is the time without a byte after which an arrival has stopped.
	stallTime = 500 * time.Millisecond
	// slowTime is the time after which an arrival that goes on may be revoked for its
	// connection. A body of 4 MB takes 3.4 s on a link of 10 Mbit/s.
	slowTime = 4 * time.Second
)

// Decision is the answer to a reservation.
type Decision uint8

// The decisions.
const (
	// Granted means that the bytes are reserved.
	Granted Decision = iota
	// Wait means that another holding has been revoked and the bytes may be free soon.
	Wait
	// Refused means that the bytes are not available to this holding.
	Refused
)

// Account is the account of bytes of one process. It is safe for concurrent use.
type Account struct {
	now func() time.Time

	mu sync.Mutex
	// limit is the budget, 0 for none.
	limit int64
	used  [uses]int64
	total int64
	// large is what large arrivals hold, revoked what is held by those that are revoked.
	large   int64
	revoked int64
	// arriving is the list of the arrivals that may be revoked.
	arriving Holding
}

// NewAccount returns an empty account with a budget in bytes, 0 for no limit.
func NewAccount(limit int64, now func() time.Time) *Account {
	a := &Account{now: now, limit: limit}
	a.arriving.next, a.arriving.prev = &a.arriving, &a.arriving
	return a
}

// Held returns the bytes that are held for a use.
func (a *Account) Held(u Use) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[u]
}

// Holding is the bytes of one head, body, answer or stream. Its zero value belongs to no
// account and is always granted.
type Holding struct {
	account *Account
	use     Use
	revoke  func(stalled bool)
	bytes   int64
	// grownAt is when bytes last came, startedAt when the first did.
	grownAt, startedAt time.Time
	// isListed reports whether the holding is in the list of arrivals.
	isListed   bool
	isRevoked  bool
	isClosed   bool
	next, prev *Holding
}

// Open makes an empty holding. If it is an arrival, revoke is called at most once, from
// any goroutine, when its bytes are needed; it must not block and must not call the
// account. What is revoked is closed by its owner.
func (a *Account) Open(h *Holding, use Use, revoke func(stalled bool)) {
	*h = Holding{account: a, use: use, revoke: revoke}
	if !use.isArrival() || revoke == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list(h)
}

// Reserve adds n bytes to the holding if they are granted.
func (h *Holding) Reserve(n int64) Decision {
	a := h.account
	if a == nil || n <= 0 {
		return Granted
	}
	victim, stalled, decision := a.reserve(h, n)
	if victim != nil {
		victim(stalled)
	}
	return decision
}

func (a *Account) reserve(h *Holding, n int64) (victim func(bool), stalled bool, d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.isRevoked || h.isClosed {
		return nil, false, Refused
	}
	if h.isListed {
		h.grow(a.now())
	}
	if a.fits(h, n) {
		a.add(h, n)
		return nil, false, Granted
	}
	if a.revoked >= n {
		return nil, false, Wait
	}
	v, stalled := a.chooseVictim(h, n)
	if v == nil || v == h {
		return nil, false, Refused
	}
	a.revokeHolding(v)
	return v.revoke, stalled, Wait
}

// grow records that bytes of an arrival came.
func (h *Holding) grow(now time.Time) {
	h.grownAt = now
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
}

// RevokeBody revokes a body whose connection is needed: the first that has stopped, else
// the oldest that takes long. It returns false if there is none.
func (a *Account) RevokeBody() bool {
	revoke, stalled := a.takeBody()
	if revoke == nil {
		return false
	}
	revoke(stalled)
	return true
}

func (a *Account) takeBody() (revoke func(bool), stalled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	var slow *Holding
	for h := a.arriving.next; h != &a.arriving; h = h.next {
		if h.use != Bodies || h.startedAt.IsZero() {
			continue
		}
		if now.Sub(h.grownAt) >= stallTime {
			a.revokeHolding(h)
			return h.revoke, true
		}
		if slow == nil && now.Sub(h.startedAt) >= slowTime {
			slow = h
		}
	}
	if slow == nil {
		return nil, false
	}
	a.revokeHolding(slow)
	return slow.revoke, false
}

// revokeHolding marks a holding as revoked. Its bytes count until it is closed.
func (a *Account) revokeHolding(h *Holding) {
	a.unlist(h)
	h.isRevoked = true
	a.revoked += h.bytes
}

// fits reports whether n more bytes are available to the holding.
func (a *Account) fits(h *Holding, n int64) bool {
	if a.limit <= 0 {
		return true
	}
	if !h.use.isArrival() {
		return a.total+n <= a.limit
	}
	if a.total+n > share(a.limit, arrivalShare) {
		return false
	}
	grown := h.bytes + n
	if grown <= SmallBytes {
		return true
	}
	return a.large+grown-h.largeBytes() <= share(a.limit, largeShare)
}

func share(limit int64, part float64) int64 { return int64(part * float64(limit)) }

// largeBytes returns what the holding has of the part for large arrivals.
func (h *Holding) largeBytes() int64 {
	if h.use.isArrival() && h.bytes > SmallBytes {
		return h.bytes
	}
	return 0
}

// add changes the bytes of a holding.
func (a *Account) add(h *Holding, n int64) {
	a.large -= h.largeBytes()
	h.bytes += n
	a.large += h.largeBytes()
	a.used[h.use] += n
	a.total += n
	if h.isRevoked {
		a.revoked += n
	}
}

// chooseVictim returns the arrival whose bytes go to h: one that has stopped, else any, and
// among those the one that holds the most. It returns h if no other holds more than h
// would, and nil if there is none.
func (a *Account) chooseVictim(h *Holding, n int64) (v *Holding, stalled bool) {
	now := a.now()
	var most, mostStalled *Holding
	for x := a.arriving.next; x != &a.arriving; x = x.next {
		if x == h || x.bytes == 0 {
			continue
		}
		if most == nil || x.bytes > most.bytes {
			most = x
		}
		if now.Sub(x.grownAt) >= stallTime && (mostStalled == nil || x.bytes > mostStalled.bytes) {
			mostStalled = x
		}
	}
	switch {
	case mostStalled != nil:
		return mostStalled, true
	case most == nil:
		return nil, false
	case h.use.isArrival() && h.bytes+n > most.bytes:
		return h, false
	}
	return most, false
}

// Progress records that bytes of an arrival came for which some are reserved already.
func (h *Holding) Progress() {
	a := h.account
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.isListed {
		h.grow(a.now())
	}
}

// Complete records that all has arrived. It returns false if the holding has been revoked
// before.
func (h *Holding) Complete() bool {
	a := h.account
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unlist(h)
	return !h.isRevoked
}

// Release gives n bytes back.
func (h *Holding) Release(n int64) {
	a := h.account
	if a == nil || n <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, -min(n, h.bytes))
}

// Close gives all bytes back. It may be called more than once, also
// while another goroutine reserves.
func (h *Holding) Close() {
	a := h.account
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unlist(h)
	a.add(h, -h.bytes)
	h.isClosed = true
}

// Bytes returns what the holding holds.
func (h *Holding) Bytes() int64 {
	a := h.account
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.bytes
}

func (a *Account) list(h *Holding) {
	h.prev, h.next = a.arriving.prev, &a.arriving
	h.prev.next, a.arriving.prev = h, h
	h.isListed = true
}

func (a *Account) unlist(h *Holding) {
	if !h.isListed {
		return
	}
	h.prev.next, h.next.prev = h.next, h.prev
	h.prev, h.next = nil, nil
	h.isListed = false
}
