package daily

import (
	"math/rand/v2"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Periods and bounds of a Pruner.
const (
	pruneEvery = 24 * time.Hour
	// prunePage is the number of rows looked at in one call; a value is large.
	prunePage = 5
	// dayPrefix begins the keys of all rows.
	dayPrefix = "day/"
)

// Pruner deletes the rows of dates that are older than a deployment keeps.
//
// Keys are in order of dates, so the first page tells whether there is anything
// to do. Every instance looks once a day, each at a time of its own; a row that
// another one has just deleted is no error.
type Pruner struct {
	location *time.Location
	keep     int
	random   *rand.Rand
	tag      ports.Tag
	// deletes is the number of deletions under way.
	deletes int
}

// NewPruner returns a pruner that keeps the rows of the last keepDays dates.
func NewPruner(location *time.Location, keepDays int, random *rand.Rand) *Pruner {
	return &Pruner{location: location, keep: keepDays, random: random}
}

// Step takes one event.
func (p *Pruner) Step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case Start:
		return p.arm(time.Duration(p.random.Int64N(int64(pruneEvery))))
	case ports.TimerFired:
		return p.list()
	case ports.KVDone:
		return p.done(now, e)
	}
	return nil
}

func (p *Pruner) arm(d time.Duration) []ports.Effect {
	p.tag++
	return []ports.Effect{ports.ArmTimer{Tag: p.tag, After: d}}
}

func (p *Pruner) list() []ports.Effect {
	p.tag++
	return []ports.Effect{ports.KVCall{Tag: p.tag, Req: ports.KVList{Prefix: dayPrefix, Limit: prunePage}}}
}

// done deletes the old rows of a page, and looks for more once all are gone. A
// failed call ends the day's work.
func (p *Pruner) done(now time.Time, e ports.KVDone) []ports.Effect {
	if p.deletes > 0 {
		p.deletes--
		if p.deletes > 0 {
			return nil
		}
		if e.Reply.Status != ports.KVOK && e.Reply.Status != ports.KVNotFound {
			return p.arm(pruneEvery)
		}
		return p.list()
	}
	if e.Reply.Status != ports.KVOK {
		return p.arm(pruneEvery)
	}
	var effects []ports.Effect
	for _, item := range e.Reply.Items {
		if !p.old(now, item.Key) {
			continue
		}
		p.tag++
		effects = append(effects, ports.KVCall{Tag: p.tag, Req: ports.KVDelete{Key: item.Key, Expect: item.Revision}})
	}
	if len(effects) == 0 {
		return p.arm(pruneEvery)
	}
	p.deletes = len(effects)
	return effects
}

// old tells whether a key is that of a row that is no longer kept; a key that
// holds no date is left alone.
func (p *Pruner) old(now time.Time, key string) bool {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, dayPrefix), "/")
	date, err := ParseDate(text)
	if err != nil {
		return false
	}
	return date.before(DateOf(now.AddDate(0, 0, -p.keep), p.location))
}
