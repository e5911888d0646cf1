package edge

import (
	"chivecroft.example/chivecroft/internal/coordination/seat"
)

// roster is what the holder tells the other instances of targets: the latest news
// of each, numbered in the order of their changes.
type roster struct {
	version uint64
	rows    map[string]*rosterRow
}

type rosterRow struct {
	version uint64
	news    seat.News
}

func newRoster() *roster {
	return &roster{rows: make(map[string]*rosterRow)}
}

// set takes the news of a target if they differ from the last.
func (r *roster) set(n seat.News) {
	row := r.rows[n.ID]
	if row != nil && row.news.Same(&n) {
		return
	}
	r.version++
	r.rows[n.ID] = &rosterRow{version: r.version, news: n}
}

// remove notes that a target has gone.
func (r *roster) remove(id string) {
	if row := r.rows[id]; row == nil || row.news.Gone {
		return
	}
	n := seat.News{Gone: true}
	n.ID = id
	r.set(n)
}

// after returns the news since a version; without one, those of all targets that
// are there.
func (r *roster) after(version uint64) []seat.News {
	var out []seat.News
	for _, row := range r.rows {
		if row.version > version && (version > 0 || !row.news.Gone) {
			out = append(out, row.news)
		}
	}
	return out
}
