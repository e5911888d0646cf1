package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Outage is how a stand-in is down.
type Outage string

// The kinds of outages.
const (
	// OutageNone means that the stand-in works.
	OutageNone Outage = ""
	// OutageRefuse answers 503 at once, without effect.
	OutageRefuse Outage = "refuse"
	// OutageHang never answers, without effect.
	OutageHang Outage = "hang"
	// OutageReset ends the connection, without effect.
	OutageReset Outage = "reset"
)

// Common are the faults that every stand-in knows.
type Common struct {
	// Delay comes before the effect.
	Delay config.Duration `json:"delay"`
	// DropRate is the share of answers dropped after the effect.
	DropRate float64 `json:"dropRate"`
	// DropNext is how many of the next answers are dropped after the effect.
	DropNext int    `json:"dropNext"`
	Outage   Outage `json:"outage"`
	// Freeze silences the connections open now; it reads as false again after.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns what is wrong with the faults.
func (c Common) Check() error {
	if c.Delay < 0 {
		return errors.New("delay is negative")
	}
	if c.DropRate < 0 || c.DropRate > 1 {
		return errors.New("dropRate is not between 0 and 1")
	}
	if c.DropNext < 0 {
		return errors.New("dropNext is negative")
	}
	switch c.Outage {
	case OutageNone, OutageRefuse, OutageHang, OutageReset:
		return nil
	}
	return fmt.Errorf("outage is %q instead of \"\", refuse, hang or reset", c.Outage)
}

// Set is a stand-in's faults: a struct that holds Common and what is special.
type Set interface {
	Check() error
}

// Panel holds the faults in force and serves them over HTTP: GET shows them,
// POST changes the fields that it names, DELETE clears all.
type Panel[F Set] struct {
	common func(*F) *Common
	freeze func(*http.Request) int
	notify func(F)

	mu     sync.Mutex
	now    F
	random *rand.Rand
}

// NewPanel returns a panel with the given faults; common finds their Common,
// freeze carries out a freeze and notify, if not nil, hears of changes.
func NewPanel[F Set](first F, seed uint64, common func(*F) *Common, freeze func(*http.Request) int, notify func(F)) *Panel[F] {
	p := &Panel[F]{
		now:    first,
		common: common,
		freeze: freeze,
		notify: notify,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	p.tell(first)
	return p
}

// Get returns the faults in force.
func (p *Panel[F]) Get() F {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// Update changes the faults.
func (p *Panel[F]) Update(change func(*F)) error {
	return p.update(nil, func(f *F) error {
		change(f)
		return nil
	})
}

// Take changes the faults while a request uses one up, and returns them as they
// were before.
func (p *Panel[F]) Take(change func(*F)) F {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.now
	change(&p.now)
	return before
}

// Chance draws whether something of the given probability happens.
func (p *Panel[F]) Chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// ServeHTTP shows or changes the faults.
func (p *Panel[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		err = p.update(r, func(f *F) error {
			*f = *new(F)
			return nil
		})
	case http.MethodPost:
		err = p.update(r, func(f *F) error { return decodeStrict(r.Body, f) })
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Detail: err.Error()})
		return
	}
	WriteJSON(w, http.StatusOK, p.Get())
}

func (p *Panel[F]) update(r *http.Request, change func(*F) error) error {
	p.mu.Lock()
	next := p.now
	err := change(&next)
	if err == nil {
		err = next.Check()
	}
	if err != nil {
		p.mu.Unlock()
		return err
	}
	freeze := p.common(&next).Freeze
	p.common(&next).Freeze = false
	p.now = next
	p.mu.Unlock()
	if freeze {
		p.freeze(r)
	}
	p.tell(next)
	return nil
}

func (p *Panel[F]) tell(f F) {
	if p.notify != nil {
		p.notify(f)
	}
}

// Problem is the answer to a request that a stand-in rejects.
type Problem struct {
	Detail string `json:"detail"`
}

// WriteJSON writes value as the whole answer.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}

func decodeStrict(r io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, 1<<20))
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// sleep waits for d or until the request is given up.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
