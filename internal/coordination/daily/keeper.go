package daily

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Bounds of a Keeper.
const (
	// maxCopies is the number of entries whose counts one entry keeps.
	maxCopies = 64
	// maxCopyCounters bounds the counters of one of them, of all its dates.
	maxCopyCounters = 2 * maxCounters
	// quietAfter is how long an entry may tell nothing, not even that there is
	// nothing to tell, before its counts are written into its rows.
	quietAfter = 3 * tellEvery
)

// TellArrived is another entry's message; TellAnswered with the same ID answers it.
type TellArrived struct {
	ID   uint64
	Tell ports.TellCounts
}

// TellAnswered notes the answer to a TellArrived.
type TellAnswered struct {
	ID    uint64
	Reply ports.TellReply
	Err   error
}

// IsEvent marks an event.
func (TellArrived) IsEvent() {}

// Keeper keeps what other entries have counted, in memory alone. When one of
// them falls quiet, it writes the counts into that entry's rows and forgets them.
//
// It does not have to know whether the entry is dead. A counter of one
// incarnation only grows, so the larger of two totals is the later one, and a
// row gets the larger of each:
//
//	row, written at 12:00:00   served 40, refused 2
//	told by 12:00:00.7         served 47, refused 2
//	row, merged                served 47, refused 2
//
// Two keepers that merge, in either order, leave the same row; one that merges
// late changes nothing; and an entry that was only frozen finds its row changed,
// takes the new revision and writes its own totals, which are the largest.
type Keeper struct {
	copies map[ports.CountOrigin]*kept
	job    *settling
	tag    ports.Tag
	timer  ports.Tag
	ticks  bool
}

// kept is what an entry has told.
type kept struct {
	// seq is the last message that was taken, newest the highest that has come.
	seq, newest uint64
	// exact means that the entry, as of its newest message, tells of every outcome at once,
	// and that the copy holds all that it has told.
	exact  bool
	heard  time.Time
	keys   map[uint32]dated
	totals map[dated]uint64
}

// settling is the writing of one copy into the rows of its dates.
type settling struct {
	origin ports.CountOrigin
	copied *kept
	dates  []Date
	suffix string
	tag    ports.Tag
	reads  bool
}

// NewKeeper returns a keeper that holds nothing.
func NewKeeper() *Keeper {
	return &Keeper{copies: make(map[ports.CountOrigin]*kept)}
}

// Step takes one event.
func (k *Keeper) Step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case TellArrived:
		reply, err := k.keep(now, e.Tell)
		answer := ports.Note{Value: TellAnswered{ID: e.ID, Reply: reply, Err: err}}
		return append([]ports.Effect{answer}, k.arm()...)
	case ports.TimerFired:
		if e.Tag != k.timer {
			return nil
		}
		k.ticks = false
		return append(k.settle(now), k.arm()...)
	case ports.KVDone:
		return k.done(now, e)
	}
	return nil
}

// keep takes what an entry tells. Totals after a gap are no copy of what it has
// counted; it is asked for all of them, and the copy no longer counts as exact. Nor does
// it when the messages before the gap come late: the entry may have left this neighbour
// for another meanwhile.
func (k *Keeper) keep(now time.Time, tell ports.TellCounts) (ports.TellReply, error) {
	c := k.copies[tell.Origin]
	if c != nil && tell.Seq <= c.seq {
		return ports.TellReply{}, nil
	}
	if c == nil && len(k.copies) >= maxCopies {
		return ports.TellReply{}, trace.LimitExceeded("the counts of %d entries are kept already", maxCopies)
	}
	if c == nil {
		c = newKept(now)
	}
	newest := max(tell.Seq, c.newest)
	if !tell.Whole && (c.seq == 0 || tell.Seq != c.seq+1) {
		c.exact, c.newest = false, newest
		k.copies[tell.Origin] = c
		return ports.TellReply{Resend: true}, nil
	}
	if tell.Whole {
		c = newKept(now)
	}
	if err := c.take(tell.Counts); err != nil {
		return ports.TellReply{}, err
	}
	c.seq, c.newest, c.exact, c.heard = tell.Seq, newest, tell.Exact && tell.Seq == newest, now
	k.copies[tell.Origin] = c
	return ports.TellReply{}, nil
}

func newKept(now time.Time) *kept {
	return &kept{heard: now, keys: make(map[uint32]dated), totals: make(map[dated]uint64)}
}

func (c *kept) take(counts []ports.ToldCount) error {
	for _, one := range counts {
		if one.Key != nil {
			date, err := ParseDate(one.Key.Date)
			if err != nil {
				return trace.Wrap(err, "taking counts")
			}
			c.keys[one.ID] = dated{date, Key{
				Kind: Kind(one.Key.Kind), Service: one.Key.Service, Class: one.Key.Class,
				Reason: one.Key.Reason, NotRun: one.Key.NotRun,
			}}
		}
		key, ok := c.keys[one.ID]
		if !ok {
			return trace.BadParameter("count %d has no key", one.ID)
		}
		c.totals[key] = max(c.totals[key], one.Total)
	}
	if len(c.totals) > maxCopyCounters {
		return trace.LimitExceeded("an entry has more than %d counters", maxCopyCounters)
	}
	return nil
}

// settle begins to write the counts of an entry that is quiet.
func (k *Keeper) settle(now time.Time) []ports.Effect {
	if k.job != nil {
		return nil
	}
	for _, origin := range k.quiet(now) {
		c := k.copies[origin]
		dates := make(map[Date]bool)
		for at := range c.totals {
			dates[at.date] = true
		}
		if len(dates) == 0 {
			delete(k.copies, origin)
			continue
		}
		k.job = &settling{origin: origin, copied: c, dates: slices.SortedFunc(maps.Keys(dates), compareDates)}
		return k.read()
	}
	return nil
}

// quiet returns the entries that have told nothing for long, in a fixed order.
func (k *Keeper) quiet(now time.Time) []ports.CountOrigin {
	var found []ports.CountOrigin
	for origin, c := range k.copies {
		if now.Sub(c.heard) >= quietAfter {
			found = append(found, origin)
		}
	}
	slices.SortFunc(found, func(a, b ports.CountOrigin) int {
		return k.copies[a].heard.Compare(k.copies[b].heard)
	})
	return found
}

func (k *Keeper) read() []ports.Effect {
	k.tag++
	k.job.tag, k.job.reads = k.tag, true
	return []ports.Effect{ports.KVCall{Tag: k.tag, Req: ports.KVGet{Key: k.job.key()}}}
}

func (j *settling) key() string {
	return rowKey(j.dates[0], j.origin.Instance, j.origin.Incarnation, j.suffix)
}

func (k *Keeper) done(now time.Time, e ports.KVDone) []ports.Effect {
	j := k.job
	if j == nil || e.Tag != j.tag {
		return nil
	}
	switch e.Reply.Status {
	case ports.KVOK, ports.KVNotFound:
		if j.reads {
			return k.merge(now, e.Reply)
		}
		return k.nextDate(now)
	case ports.KVConflict:
		return k.read()
	case ports.KVInvalid:
		return k.nextDate(now)
	}
	// Whatever a lost write did, the same copy is merged again at the next tick.
	k.job = nil
	return nil
}

// merge writes the row that was read with the larger of each total.
func (k *Keeper) merge(now time.Time, reply ports.KVReply) []ports.Effect {
	j := k.job
	row, revision := j.emptyRow(), ports.Revision(0)
	if item, ok := reply.Item(); ok && !item.Deleted {
		found, err := decodeRow(item.Value)
		switch {
		case (err != nil || found.Nonce != j.origin.Nonce) && j.suffix == "":
			j.suffix = rowSuffix(j.origin.Nonce)
			return k.read()
		case err != nil:
			return k.nextDate(now)
		}
		row, revision = found, item.Revision
	}
	if row.Final || !row.absorb(j.totals(), j.copied, len(j.dates) > 1) {
		return k.nextDate(now)
	}
	value, err := encodeRow(row, maxRowBytes)
	if err != nil {
		return k.nextDate(now)
	}
	k.tag++
	j.tag, j.reads = k.tag, false
	return []ports.Effect{ports.KVCall{Tag: k.tag, Req: ports.KVPut{Key: j.key(), Value: value, Expect: revision}}}
}

// nextDate goes on with the next date, or forgets the copy once all are written
// and nothing was told meanwhile.
func (k *Keeper) nextDate(now time.Time) []ports.Effect {
	j := k.job
	j.dates, j.suffix = j.dates[1:], ""
	if len(j.dates) > 0 {
		return k.read()
	}
	k.job = nil
	if c := k.copies[j.origin]; c == j.copied && now.Sub(c.heard) >= quietAfter {
		delete(k.copies, j.origin)
	}
	return k.settle(now)
}

// totals are the counts of the date at hand.
func (j *settling) totals() map[Key]uint64 {
	totals := make(map[Key]uint64)
	for at, n := range j.copied.totals {
		if at.date == j.dates[0] {
			totals[at.key] = n
		}
	}
	return totals
}

// emptyRow is for an entry that died before it wrote any.
func (j *settling) emptyRow() Row {
	return Row{
		Format:      rowFormat,
		Date:        j.dates[0].String(),
		Instance:    j.origin.Instance,
		Incarnation: j.origin.Incarnation,
		Zone:        j.origin.Zone,
		Nonce:       j.origin.Nonce,
	}
}

// arm looks again after a while, as long as there is something to look after.
func (k *Keeper) arm() []ports.Effect {
	if k.ticks || len(k.copies) == 0 {
		return nil
	}
	k.ticks = true
	k.tag++
	k.timer = k.tag
	return []ports.Effect{ports.ArmTimer{Tag: k.timer, After: tellEvery}}
}

// absorb takes what a copy of the instance's counts has beyond the row, and
// tells whether there was anything to change. The row of a date that the instance
// outlived, as the copy has a later one, is to show that by its time.
func (r *Row) absorb(totals map[Key]uint64, from *kept, outlived bool) bool {
	merged, grew := mergeCounters(r.Counts.Counters, totals)
	if !grew && !outlived && (r.Kept || !from.exact) {
		return false
	}
	r.Counts.Counters = merged
	r.Kept = r.Kept || from.exact
	if from.heard.After(r.Written) {
		r.Written = from.heard.UTC()
	}
	return true
}

// mergeCounters takes the larger of each total. A row that was cut to its bound
// holds sums of counters that the copy has one by one; of each kind it then
// takes the side with the larger sum as a whole.
func mergeCounters(row []Counter, totals map[Key]uint64) (merged []Counter, grew bool) {
	larger := make(map[Key]uint64, len(totals))
	for _, c := range row {
		larger[c.Key] += c.Count
	}
	if wasCut(row, totals) {
		larger, grew = largerKinds(larger, totals)
	} else {
		for key, n := range totals {
			grew = grew || n > larger[key]
			larger[key] = max(larger[key], n)
		}
	}
	for key, n := range larger {
		merged = append(merged, Counter{Key: key, Count: n})
	}
	sortCounters(merged)
	return merged, grew
}

// wasCut tells whether a row sums counters under Other that the copy has by name.
func wasCut(row []Counter, totals map[Key]uint64) bool {
	return slices.ContainsFunc(row, func(c Counter) bool {
		return c.Service == Other && c.Reason == Other && c.Count > totals[c.Key]
	})
}

func largerKinds(row, totals map[Key]uint64) (map[Key]uint64, bool) {
	rowSums, sums := kindSums(row), kindSums(totals)
	grew := false
	larger := make(map[Key]uint64, len(totals))
	for kind := range sums {
		grew = grew || sums[kind] > rowSums[kind]
	}
	for key, n := range row {
		if sums[key.Kind] <= rowSums[key.Kind] {
			larger[key] = n
		}
	}
	for key, n := range totals {
		if sums[key.Kind] > rowSums[key.Kind] {
			larger[key] = n
		}
	}
	return larger, grew
}

func kindSums(totals map[Key]uint64) map[Kind]uint64 {
	sums := make(map[Kind]uint64)
	for key, n := range totals {
		sums[key.Kind] += n
	}
	return sums
}

// rowSuffix sets apart the rows of two writers that believe to be the same
// incarnation.
func rowSuffix(nonce uint64) string {
	return "." + strconv.FormatUint(nonce, 36)
}
