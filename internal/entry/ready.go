package entry

import (
	"context"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// readyPoll is how often a starting entry looks whether it may take requests.
	readyPoll = 20 * time.Millisecond
	// sourcePatience is how long a starting entry waits for a source of the
	// routing table that does not answer.
	sourcePatience = 3 * time.Second
)

// warmup is what a starting entry has to hear before it can serve.
//
// An entry that said it was ready as soon as it listened would refuse models
// that it has not read of yet, would demand loads of models that are warm at a
// target it has not heard of, and would choose another zone for a cold model
// than the entries that know all zones.
type warmup struct {
	mu     sync.Mutex
	listed bool
	heard  map[string]bool
}

func (w *warmup) sawList() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = true
}

func (w *warmup) sawSource(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heard == nil {
		w.heard = make(map[string]bool)
	}
	w.heard[name] = true
}

// unheard tells whether the list or one of the sources has not been heard of.
func (w *warmup) unheard(sources map[string]*source) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range sources {
		if !w.heard[name] {
			return true
		}
	}
	return !w.listed
}

// becomeReady waits until the entry has a configuration, none older than any
// that its zone's entries tell of, the routing tables that it follows, and a
// member of each zone. For the last two it waits no longer than sourcePatience
// after the configuration: an entry that is cut off goes on serving what it can.
func (e *Entry) becomeReady(ctx context.Context) {
	for !e.configured() {
		if !e.sleep(ctx, readyPoll) {
			return
		}
	}
	until := e.timer.Now().Add(sourcePatience)
	for (e.warmup.unheard(e.sources()) || e.unknownZone()) && e.timer.Now().Before(until) {
		if !e.sleep(ctx, readyPoll) {
			return
		}
	}
	if e.stopping.Load() {
		return
	}
	e.ready.Store(true)
	e.log.Info().Uint64("configVersion", uint64(e.config().Version)).Msg("ready")
}

// unknownZone tells whether an entry is listed in a zone of which the entry
// knows no member yet.
func (e *Entry) unknownZone() bool {
	listed := e.view.entries.Load()
	return listed == nil || len(unknownZones(*listed, e.members())) > 0
}

// unknownZones returns the zones in which an entry is listed and none is a member.
func unknownZones(listed []ports.Instance, members []ports.Member) []string {
	known := make(map[string]bool)
	for _, m := range members {
		known[m.Zone] = true
	}
	var unknown []string
	for _, row := range listed {
		if !row.Leaving && !known[row.Zone] {
			known[row.Zone] = true
			unknown = append(unknown, row.Zone)
		}
	}
	return unknown
}

// configured tells whether a configuration is in force that is as new as the
// zone's.
func (e *Entry) configured() bool {
	version := e.config().Version
	if version == 0 {
		return false
	}
	for _, m := range e.members() {
		if m.Zone == e.self.Zone && m.ConfigVersion > version {
			return false
		}
	}
	return true
}
