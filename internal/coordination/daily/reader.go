package daily

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// readPage is the number of rows asked for at once, so that an answer stays
// in the size of a few values.
const readPage = 50

// Reader reads the rows of a date from the KV service and adds them up.
type Reader struct {
	location *time.Location
	goals    Goals
	tag      ports.Tag
	reads    map[ports.Tag]*read
}

// read is a report under way.
type read struct {
	asked ReadAsked
	items []ports.Item
	tries int
}

// NewReader returns a reader of dates in a time zone.
func NewReader(location *time.Location, goals Goals) *Reader {
	return &Reader{location: location, goals: goals, reads: make(map[ports.Tag]*read)}
}

// Step takes one event.
func (r *Reader) Step(now time.Time, ev ports.Event) []ports.Effect {
	switch e := ev.(type) {
	case ReadAsked:
		return r.list(&read{asked: e})
	case ports.KVDone:
		return r.done(now, e)
	}
	return nil
}

func (r *Reader) list(one *read) []ports.Effect {
	r.tag++
	r.reads[r.tag] = one
	req := ports.KVList{Prefix: rowPrefix(one.asked.Date), Limit: readPage}
	if n := len(one.items); n > 0 {
		req.After = one.items[n-1].Key
	}
	return []ports.Effect{ports.KVCall{Tag: r.tag, Req: req}}
}

// readTries is how often a page is asked for before the report goes without it.
const readTries = 2

func (r *Reader) done(now time.Time, e ports.KVDone) []ports.Effect {
	one := r.reads[e.Tag]
	if one == nil {
		return nil
	}
	delete(r.reads, e.Tag)
	if e.Reply.Status != ports.KVOK {
		one.tries++
		if one.tries < readTries {
			return r.list(one)
		}
		return r.finish(now, one, "the key-value service answered "+e.Reply.Status.String())
	}
	one.items = append(one.items, e.Reply.Items...)
	if e.Reply.More && len(e.Reply.Items) > 0 {
		return r.list(one)
	}
	return r.finish(now, one, "")
}

func (r *Reader) finish(now time.Time, one *read, unread string) []ports.Effect {
	report := Sum(SumInput{
		Date:     one.asked.Date,
		Location: r.location,
		Now:      now,
		Items:    one.items,
		Local:    one.asked.Local,
		Members:  one.asked.Members,
		Unread:   unread,
		Goals:    r.goals,
	})
	return []ports.Effect{ports.Note{Value: ReadDone{ID: one.asked.ID, Report: report}}}
}
