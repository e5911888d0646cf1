package daily

import (
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/hist"
	"chivecroft.example/chivecroft/internal/state/shard"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Other is the name under which whatever exceeds a bound is summed.
const Other = "other"

// Bounds of what a Recorder holds for one day.
const (
	maxCounters   = 4096
	maxModels     = 1000
	maxHappenings = 400
	maxTextBytes  = 200
)

// Recorder counts outcomes by day; it is safe for concurrent use.
type Recorder struct {
	clock   timer.Service
	zone    *time.Location
	current atomic.Pointer[day]
	changes changes

	mu   sync.Mutex
	days map[Date]*day
}

// NewRecorder returns a recorder whose days begin at midnight in zone.
func NewRecorder(clock timer.Service, zone *time.Location) *Recorder {
	return &Recorder{clock: clock, zone: zone, days: make(map[Date]*day)}
}

// Arrived counts a request taken from a caller.
func (r *Recorder) Arrived(service string, class config.Class) {
	r.today().count(Key{Kind: KindArrived, Service: service, Class: class})
}

// Served counts a whole answer.
func (r *Recorder) Served(service string, class config.Class) {
	r.today().count(Key{Kind: KindServed, Service: service, Class: class})
}

// Refused counts a refusal and whether it said that nothing ran.
func (r *Recorder) Refused(service string, class config.Class, reason string, notRun bool) {
	r.today().count(Key{Kind: KindRefused, Service: service, Class: class, Reason: clip(reason), NotRun: notRun})
}

// Abandoned counts a request whose caller left before the answer.
func (r *Recorder) Abandoned(service string, class config.Class) {
	r.today().count(Key{Kind: KindAbandoned, Service: service, Class: class})
}

// RunOnce counts the outcome of a call that runs at most once.
func (r *Recorder) RunOnce(service, outcome string) {
	r.today().count(Key{Kind: KindRunOnce, Service: service, Reason: clip(outcome)})
}

// ColdStart records how long a caller waited for a model to load.
func (r *Recorder) ColdStart(model string, wait time.Duration) {
	d := r.today()
	d.waits.Record(model, wait)
	d.total.Record(Other, wait)
	d.version.Add(1)
}

// IdleAccelerator adds to the time for which accelerators were held by replicas
// of a model with nothing to do.
func (r *Recorder) IdleAccelerator(model string, idle time.Duration) {
	d := r.today()
	d.addIdle(model, idle)
	d.version.Add(1)
}

// Happened notes an outage, a takeover or another event worth a line. One of a
// date that is no longer held goes to the current date, because the row of a
// closed date must not be written anew without its counts.
func (r *Recorder) Happened(kind, subject, detail string, at time.Time) {
	d := r.held(DateOf(at, r.zone))
	if d == nil {
		d = r.today()
	}
	d.happen(Happening{At: at.UTC(), Kind: clip(kind), Subject: clip(subject), Detail: clip(detail)})
	d.version.Add(1)
}

// Snapshot returns what was counted on a date.
func (r *Recorder) Snapshot(date Date) Counts {
	var c Counts
	if d := r.held(date); d != nil {
		c = d.snapshot()
	}
	if n := r.carried(date); n > 0 {
		c.Counters = append(c.Counters, Counter{Key: Key{Kind: KindCarried}, Count: n})
		sortCounters(c.Counters)
	}
	return c
}

// carried is the number of requests that were under way when a date began. It is
// known from the counts of the date before, as long as these are held.
func (r *Recorder) carried(date Date) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carriedLocked(date)
}

func (r *Recorder) carriedLocked(date Date) uint64 {
	var n uint64
	if d := r.days[date]; d != nil {
		n = d.carried
	}
	if before := r.days[date.previous()]; before != nil {
		n += r.unfinishedLocked(before)
	}
	return n
}

// unfinishedLocked is the number of requests of a date that have not ended.
func (r *Recorder) unfinishedLocked(d *day) uint64 {
	counts := Counts{Counters: []Counter{{Key: Key{Kind: KindCarried}, Count: r.carriedLocked(d.date)}}}
	d.counters.Each(func(key Key, n uint64) bool {
		counts.Counters = append(counts.Counters, Counter{Key: key, Count: n})
		return true
	})
	return counts.unfinished()
}

// Today returns the current date.
func (r *Recorder) Today() Date {
	return DateOf(r.clock.Now(), r.zone)
}

// versions returns the dates that are held and a number for each that grows
// with every change.
func (r *Recorder) versions() map[Date]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[Date]uint64, len(r.days))
	for date, d := range r.days {
		all[date] = d.version.Load()
	}
	return all
}

// forget drops a date if nothing changed since version. What is under way goes
// over to the next date for good.
func (r *Recorder) forget(date Date, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.days[date]
	if d == nil || d.version.Load() != version {
		return
	}
	if n := r.unfinishedLocked(d); n > 0 {
		r.dayLocked(date.next()).carried = n
	}
	delete(r.days, date)
}

func (r *Recorder) today() *day {
	now := r.clock.Now()
	if d := r.current.Load(); d != nil && !now.Before(d.start) && now.Before(d.end) {
		return d
	}
	d := r.day(DateOf(now, r.zone))
	r.current.Store(d)
	return d
}

// held returns what is counted on a date, or nil if it is not held.
func (r *Recorder) held(date Date) *day {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.days[date]
}

func (r *Recorder) day(date Date) *day {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dayLocked(date)
}

func (r *Recorder) dayLocked(date Date) *day {
	d := r.days[date]
	if d == nil {
		d = newDay(date, r.zone, &r.changes)
		r.days[date] = d
	}
	return d
}

// day is what is counted on one date.
type day struct {
	date       Date
	start, end time.Time
	version    atomic.Uint64
	// carried is the number of requests under way when the date began, once the
	// date before is forgotten.
	carried uint64
	changes *changes

	keys     atomic.Int64
	counters *shard.Map[Key, uint64]
	waits    *hist.Set[string]
	total    *hist.Set[string]
	models   atomic.Int64
	idle     *shard.Map[string, time.Duration]

	mu         sync.Mutex
	happenings []Happening
	leftOut    int
}

func newDay(date Date, zone *time.Location, changes *changes) *day {
	return &day{
		date:     date,
		start:    date.Start(zone),
		end:      date.End(zone),
		changes:  changes,
		counters: shard.NewMap[Key, uint64](),
		waits:    hist.NewSet(hist.Coarse, maxModels, Other),
		total:    hist.NewSet(hist.Fine, 1, Other),
		idle:     shard.NewMap[string, time.Duration](),
	}
}

// count adds one; a key beyond the bound is summed by kind alone, so that the
// totals stay exact.
func (d *day) count(key Key) {
	counted := true
	d.counters.Update(key, func(n uint64, present bool) (uint64, bool) {
		if !present && d.keys.Add(1) > maxCounters {
			d.keys.Add(-1)
			counted = false
			return 0, false
		}
		return n + 1, true
	})
	if !counted {
		key = Key{Kind: key.Kind, Service: Other, Reason: Other, NotRun: key.NotRun}
		d.counters.Update(key, func(n uint64, _ bool) (uint64, bool) { return n + 1, true })
	}
	d.version.Add(1)
	d.changes.note(d.date, key)
}

func (d *day) addIdle(model string, idle time.Duration) {
	added := true
	d.idle.Update(model, func(sum time.Duration, present bool) (time.Duration, bool) {
		if !present && d.models.Add(1) > maxModels {
			d.models.Add(-1)
			added = false
			return 0, false
		}
		return sum + idle, true
	})
	if !added {
		d.idle.Update(Other, func(sum time.Duration, _ bool) (time.Duration, bool) { return sum + idle, true })
	}
}

func (d *day) happen(h Happening) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.happenings) >= maxHappenings {
		d.leftOut++
		return
	}
	d.happenings = append(d.happenings, h)
}

func (d *day) snapshot() Counts {
	c := Counts{Models: make(map[string]ModelRow)}
	d.counters.Each(func(key Key, n uint64) bool {
		c.Counters = append(c.Counters, Counter{Key: key, Count: n})
		return true
	})
	sortCounters(c.Counters)
	for model, waits := range d.waits.Snapshot() {
		c.Models[model] = ModelRow{Waits: waits}
	}
	d.idle.Each(func(model string, idle time.Duration) bool {
		m := c.Models[model]
		m.IdleNanos = idle
		c.Models[model] = m
		return true
	})
	c.Waits = d.total.Snapshot()[Other]
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Happenings = append(c.Happenings, d.happenings...)
	c.HappeningsLeftOut = d.leftOut
	return c
}

// clip bounds a text of unknown length.
func clip(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return s[:maxTextBytes]
}
