package elect

import (
	"testing"
	"time"
)

// TestTermNumbersRise changes the holder by each kind of end of a term. It guards against a
// former holder that takes its successor's messages for those of an earlier term.
func TestTermNumbersRise(t *testing.T) {
	r := newFixture(3, 1)
	r.advance(time.Second)
	last := uint64(0)
	for _, c := range []struct {
		name string
		end  func(holder int)
	}{
		{"first term", func(int) {}},
		{"planned stop", func(i int) { r.nodes[i].loop.Post(Release{}) }},
		{"restart of all", func(int) {
			for i := range r.nodes {
				r.kill(i)
				r.start(i)
			}
		}},
		{"lost key", func(int) { r.deleteKey() }},
		{"killed and restarted", func(i int) { r.kill(i); r.start(i) }},
	} {
		c.end(r.holderNow())
		r.advance(4 * time.Second)
		i := r.holderNow()
		if i < 0 {
			t.Fatalf("%s: no holder after 4 s", c.name)
		}
		if got := r.nodes[i].status.TermNumber; got <= last && c.name != "first term" {
			t.Errorf("%s: term number %d after %d", c.name, got, last)
		} else {
			last = got
		}
	}
	if n := (&Part{era: 1, keyRevision: 1}); n.termNumber() <= last {
		t.Errorf("term number %d in the next era, %d before", n.termNumber(), last)
	}
}

// holderNow returns the instance that is certain to be the holder, -1 if there is none.
func (r *fixture) holderNow() int {
	for i, nd := range r.nodes {
		if nd.status.IsSteady(r.timer.Now()) {
			return i
		}
	}
	return -1
}
