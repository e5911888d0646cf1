package daily

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Settings identify the instance whose counts a Writer writes.
type Settings struct {
	Instance    string
	Incarnation uint64
	Zone        string
	// Location is the deployment's time zone.
	Location *time.Location
}

// Bounds of a Writer.
const (
	// minInterval is the least time between two writes of an instance.
	minInterval = time.Second
	// maxInterval is the longest time without a write, even with no change, so
	// that a reader can tell an idle instance from one that cannot write.
	maxInterval = 5 * time.Minute
	// fleetWrites is the number of writes a second that the rows of all
	// instances may take together.
	fleetWrites = 20
	// retryPause is the first pause after a failed call; it doubles up to
	// maxRetryPause.
	retryPause    = 500 * time.Millisecond
	maxRetryPause = 30 * time.Second
	// stopPatience is how long a stopping writer tries to put its last rows.
	stopPatience = 5 * time.Second
	// settleTime is how long after its end a date may still get counts.
	settleTime = time.Minute
)

// Writer writes the counts of one instance to the KV service.
//
// A row holds totals, not changes: whichever of an instance's writes took
// effect last is right as it is, so a repeated write or a lost answer can
// neither double nor lose a count. One call is under way at a time.
type Writer struct {
	settings Settings
	recorder *Recorder
	random   *rand.Rand
	nonce    uint64
	members  int

	rows    map[Date]*stored
	flight  *flight
	tag     ports.Tag
	timer   ports.Tag
	started bool
	failed  int

	stopping bool
	stopBy   time.Time
	stopped  bool
}

// stored is what the writer knows of one of its rows.
type stored struct {
	revision ports.Revision
	seq      uint64
	last     *flight
	// version is the recorder's version of the date that was written last.
	version uint64
	written bool
	putAt   time.Time
	final   bool
	// uncertain means that a write may have taken effect.
	uncertain bool
	suffix    string
	limit     int
	arrived   uint64
	pace      uint64
}

// flight is the call under way.
type flight struct {
	tag     ports.Tag
	date    Date
	at      time.Time
	read    bool
	seq     uint64
	version uint64
	final   bool
	arrived uint64
}

// NewWriter returns a writer of what recorder counts.
func NewWriter(s Settings, recorder *Recorder, random *rand.Rand) *Writer {
	return &Writer{
		settings: s,
		recorder: recorder,
		random:   random,
		nonce:    random.Uint64(),
		rows:     make(map[Date]*stored),
	}
}

// Nonce returns what sets this writer's rows apart from those of others.
func (w *Writer) Nonce() uint64 {
	return w.nonce
}

// Row returns the instance's row of a date as it would be written now; it is
// safe to call at any time.
func (w *Writer) Row(now time.Time, date Date) Row {
	return Row{
		Format:      rowFormat,
		Date:        date.String(),
		Instance:    w.settings.Instance,
		Incarnation: w.settings.Incarnation,
		Zone:        w.settings.Zone,
		Nonce:       w.nonce,
		Written:     now.UTC(),
		Counts:      w.recorder.Snapshot(date),
	}
}

// Step takes one event.
func (w *Writer) Step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case Start:
		if w.started {
			return nil
		}
		w.started = true
		return w.next(now)
	case MembersChanged:
		w.members = living(e.Members)
		return nil
	case ports.TimerFired:
		return w.fired(now, e.Tag)
	case ports.KVDone:
		return w.done(now, e)
	case StopAsked:
		return w.stop(now)
	}
	return nil
}

// fired goes on after a pause, or gives up a call that a stop cannot wait for.
func (w *Writer) fired(now time.Time, tag ports.Tag) []ports.Effect {
	if tag != w.timer || w.flight != nil && !w.stopping {
		return nil
	}
	w.flight = nil
	return w.next(now)
}

func living(members []ports.Member) int {
	n := 0
	for _, m := range members {
		if m.Phase != ports.MemberGone {
			n++
		}
	}
	return n
}

// interval is the time between two writes while there is change: a second for
// a small fleet, longer for a large one so that all together keep to fleetWrites.
func (w *Writer) interval() time.Duration {
	share := time.Duration(w.members) * time.Second / fleetWrites
	return min(max(share, minInterval), maxInterval)
}

func (w *Writer) stop(now time.Time) []ports.Effect {
	if w.stopping {
		return nil
	}
	w.stopping = true
	w.stopBy = now.Add(stopPatience)
	if w.flight != nil {
		return w.arm(stopPatience)
	}
	return w.next(now)
}

// next writes the earliest date that has something to write, or waits.
func (w *Writer) next(now time.Time) []ports.Effect {
	if w.stopped {
		return nil
	}
	dates := w.dirty(now)
	if w.stopping && (len(dates) == 0 || !now.Before(w.stopBy)) {
		w.stopped = true
		return []ports.Effect{ports.Note{Value: Stopped{Unwritten: dates}}}
	}
	if len(dates) == 0 {
		return w.arm(w.interval())
	}
	date := dates[0]
	if w.row(date).uncertain {
		return w.readBack(now, date)
	}
	return w.put(now, date)
}

// dirty returns the dates to be written, earliest first, and forgets those of
// the past that are safe.
func (w *Writer) dirty(now time.Time) []Date {
	versions := w.recorder.versions()
	today := DateOf(now, w.settings.Location)
	// A row has to be closed even if nothing was counted on its date.
	for date := range w.rows {
		versions[date] += 0
	}
	versions[today] += 0
	var dates []Date
	for _, date := range slices.SortedFunc(maps.Keys(versions), compareDates) {
		row := w.row(date)
		if w.due(now, date, versions[date]) {
			dates = append(dates, date)
			continue
		}
		if row.final && date.before(today) {
			w.recorder.forget(date, row.version)
			delete(w.rows, date)
		}
	}
	return dates
}

// due tells whether a date's row has to be written.
func (w *Writer) due(now time.Time, date Date, version uint64) bool {
	row := w.row(date)
	switch {
	case !row.written || row.uncertain || row.version != version:
		return true
	case w.crosses(now, date, row.putAt):
		return true
	case w.closes(now, date):
		return !row.final
	default:
		return now.Sub(row.putAt) >= maxInterval
	}
}

// crosses tells whether the date has ended since its row was written. A row that
// was written after its date's end says that what is unfinished went on; it is
// written before the first one of the next date, which carries that over.
func (w *Writer) crosses(now time.Time, date Date, putAt time.Time) bool {
	end := date.End(w.settings.Location)
	return putAt.Before(end) && !now.Before(end)
}

// closes tells whether a row of the date written now is its last.
func (w *Writer) closes(now time.Time, date Date) bool {
	return w.stopping || now.After(date.End(w.settings.Location).Add(settleTime))
}

func compareDates(a, b Date) int {
	return a.Start(time.UTC).Compare(b.Start(time.UTC))
}

func (w *Writer) row(date Date) *stored {
	r := w.rows[date]
	if r == nil {
		r = &stored{limit: maxRowBytes}
		w.rows[date] = r
	}
	return r
}

func (w *Writer) key(date Date) string {
	return rowKey(date, w.settings.Instance, w.settings.Incarnation, w.row(date).suffix)
}

func (w *Writer) put(now time.Time, date Date) []ports.Effect {
	stored := w.row(date)
	version := w.recorder.versions()[date]
	row := w.Row(now, date)
	stored.seq++
	row.Seq = stored.seq
	row.Interval = w.interval()
	row.Final = w.closes(now, date)
	arrived := row.Counts.sum(KindArrived)
	row.Pace = max(stored.pace, arrived-min(arrived, stored.arrived))
	value, err := encodeRow(row, stored.limit)
	if err != nil {
		w.failed++
		return w.arm(w.pause(now))
	}
	w.tag++
	w.flight = &flight{tag: w.tag, date: date, at: now, seq: row.Seq, version: version, final: row.Final, arrived: arrived}
	stored.uncertain = true
	stored.last = w.flight
	return w.call(now, ports.KVPut{Key: w.key(date), Value: value, Expect: stored.revision})
}

// call asks the KV service, and while stopping no longer than patience lasts.
func (w *Writer) call(now time.Time, req ports.KVRequest) []ports.Effect {
	effects := []ports.Effect{ports.KVCall{Tag: w.flight.tag, Req: req}}
	if w.stopping {
		effects = append(effects, w.arm(w.stopBy.Sub(now))...)
	}
	return effects
}

// readBack looks whether the last write of a date took effect.
func (w *Writer) readBack(now time.Time, date Date) []ports.Effect {
	w.tag++
	w.flight = &flight{tag: w.tag, date: date, read: true}
	return w.call(now, ports.KVGet{Key: w.key(date)})
}

func (w *Writer) done(now time.Time, e ports.KVDone) []ports.Effect {
	f := w.flight
	if f == nil || e.Tag != f.tag {
		return nil
	}
	w.flight = nil
	stored := w.row(f.date)
	switch e.Reply.Status {
	case ports.KVOK:
		if f.read {
			return w.resolve(now, stored, e.Reply)
		}
		w.confirm(f, e.Reply.Revision)
		return w.proceed(now)
	case ports.KVConflict:
		return w.resolve(now, stored, e.Reply)
	case ports.KVNotFound:
		stored.uncertain = false
		stored.revision = 0
		return w.proceed(now)
	case ports.KVInvalid:
		stored.uncertain = false
		stored.limit /= 2
	case ports.KVUnavailable:
		// Nothing happened, unless a write before this read may have.
		stored.uncertain = f.read
	case ports.KVUnknown:
	}
	w.failed++
	return w.arm(w.pause(now))
}

// confirm takes note of a write that took effect.
func (w *Writer) confirm(f *flight, revision ports.Revision) {
	stored := w.row(f.date)
	stored.uncertain = false
	stored.revision = revision
	stored.version = f.version
	stored.written = true
	stored.final = f.final
	stored.pace = max(stored.pace, f.arrived-min(f.arrived, stored.arrived))
	stored.arrived = f.arrived
	stored.putAt = f.at
	w.failed = 0
}

// resolve looks at what the KV service holds where a write did not simply
// succeed. An own row gives the revision to write over, whether it is the last
// one or an earlier one, since the next write holds the totals again. A row of
// somebody else with the same incarnation is left alone and this writer's goes
// beside it.
func (w *Writer) resolve(now time.Time, stored *stored, reply ports.KVReply) []ports.Effect {
	stored.uncertain = false
	item, ok := reply.Item()
	if !ok || item.Deleted {
		stored.revision = 0
		return w.proceed(now)
	}
	row, err := decodeRow(item.Value)
	if err != nil || row.Nonce != w.nonce {
		stored.suffix = rowSuffix(w.nonce)
		stored.revision = 0
		return w.proceed(now)
	}
	stored.revision = item.Revision
	if stored.last != nil && stored.last.seq == row.Seq {
		w.confirm(stored.last, item.Revision)
	}
	return w.proceed(now)
}

// proceed goes on at once while there is a date left to finish, and at the
// usual pace otherwise.
func (w *Writer) proceed(now time.Time) []ports.Effect {
	if w.stopping {
		return w.next(now)
	}
	for _, date := range w.dirty(now) {
		if !w.row(date).written || date.before(DateOf(now, w.settings.Location)) {
			return w.next(now)
		}
	}
	return w.arm(w.interval())
}

// pause is the time to the next try after failures, spread so that the
// instances do not come back all at once.
func (w *Writer) pause(now time.Time) time.Duration {
	if w.stopping {
		return min(retryPause, w.stopBy.Sub(now))
	}
	d := min(retryPause<<min(w.failed-1, 10), maxRetryPause)
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}

func (w *Writer) arm(d time.Duration) []ports.Effect {
	w.tag++
	w.timer = w.tag
	return []ports.Effect{ports.ArmTimer{Tag: w.timer, After: d}}
}
