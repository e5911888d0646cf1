package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// reader pulls a feed as an entry does.
type reader struct {
	stream, seq uint64
	rows        map[string]ports.Replica
}

func (r *reader) pull(f *Feed) {
	d := f.Pull(context.Background(), ports.PullTable{After: r.seq, Stream: r.stream})
	if d.Full {
		r.rows = make(map[string]ports.Replica)
	}
	for _, x := range d.Replicas {
		r.rows[x.ID] = x
	}
	for _, id := range d.Removed {
		delete(r.rows, id)
	}
	r.stream, r.seq = d.Stream, d.Seq
}

// TestReadersConverge checks that a reader that pulls at any time, also after the feed was
// restarted with a new stream, has exactly the rows of the feed.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const kept = 5
		clock := timer.NewSystem()
		f := New(1, clock, WithRemovalsKept(kept))
		r := &reader{rows: make(map[string]ports.Replica)}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				f.Change([]ports.Replica{{ID: id.Draw(t, "id"), Running: rapid.IntRange(0, 3).Draw(t, "running")}}, nil)
			},
			"remove": func(t *rapid.T) { f.Change(nil, []string{id.Draw(t, "id")}) },
			"churn": func(t *rapid.T) {
				for i := range kept + 1 {
					x := fmt.Sprint("churn", i)
					f.Change([]ports.Replica{{ID: x}}, nil)
					f.Change(nil, []string{x})
				}
			},
			"restart": func(*rapid.T) { f = New(f.stream+1, clock, WithRemovalsKept(kept)) },
			"": func(t *rapid.T) {
				r.pull(f)
				want := slices.Collect(maps.Values(r.rows))
				slices.SortFunc(want, func(a, b ports.Replica) int { return strings.Compare(a.ID, b.ID) })
				if diff := cmp.Diff(f.Rows(), want, cmp.Comparer(func(a, b ports.Replica) bool { return isSameToReaders(a, b) && a.ID == b.ID }), cmpopts.EquateEmpty()); diff != "" {
					t.Fatalf("reader's rows (-feed +reader):\n%s", diff)
				}
			},
		})
	})
}

func TestPullWaits(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	f := New(1, clock)
	got := make(chan ports.TableDelta)
	go func() {
		got <- f.Pull(context.Background(), ports.PullTable{Stream: 1, Wait: time.Second})
	}()
	for {
		if _, armed := clock.Next(); armed {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.Change([]ports.Replica{{ID: "a"}}, nil)
	want := ports.TableDelta{Stream: 1, Seq: 1, Replicas: []ports.Replica{{ID: "a"}}}
	if diff := cmp.Diff(want, <-got, cmp.Comparer(func(a, b ports.Replica) bool { return a.ID == b.ID })); diff != "" {
		t.Errorf("delta (-want +got):\n%s", diff)
	}
}
