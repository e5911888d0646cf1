package daily

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/hist"
)

var sumDate = Date{2026, 3, 28}

// item is the stored form of a row that served n requests.
func item(t *testing.T, instance string, n uint64, change func(*Row)) ports.Item {
	t.Helper()
	waits := hist.New(hist.Coarse)
	waits.Record(3 * time.Second)
	row := Row{
		Format: rowFormat, Date: sumDate.String(), Instance: instance, Incarnation: 1, Nonce: n, Final: true,
		Written: sumDate.Start(time.UTC).Add(time.Hour), Interval: time.Second,
		Counts: Counts{
			Counters: []Counter{{Key{Kind: KindArrived, Service: "assist"}, n}, {Key{Kind: KindServed, Service: "assist"}, n}},
			Models:   map[string]ModelRow{"menu": {Waits: waits, IdleNanos: time.Hour}},
			Waits:    waits,
		},
	}
	key := rowKey(sumDate, instance, 1, "")
	if change != nil {
		change(&row)
	}
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	return ports.Item{Key: key, Value: value}
}

func damaged(key, value string) ports.Item {
	return ports.Item{Key: "day/2026-03-28/" + key, Value: []byte(value)}
}

// TestDamagedRows adds up two good rows beside one that cannot be read: they
// count, and the page says what is missing.
func TestDamagedRows(t *testing.T) {
	cases := []struct {
		name string
		bad  ports.Item
		want string
	}{
		{"cut off", damaged("e3-1", `{"format":1,"date":`), "e3-1 its row is damaged: unexpected end of JSON input"},
		{"newer", damaged("e3-1", `{"format":2}`), "e3-1 its row is of format 2, this version reads format 1"},
		{"no row at all", damaged("e3-1", `[]`), "e3-1 its row is damaged: json: cannot unmarshal array into Go value of type struct { Format int \"json:\\\"format\\\"\" }"},
		{"broken histogram", damaged("e3-1", `{"format":1,"counts":{"waits":{"counts":"AAAA"}}}`), "e3-1 its row is damaged: encoded histogram too short: got 3 bytes, need at least 8"},
		{"negative count", damaged("e3-1", `{"format":1,"counts":{"counters":[{"kind":"served","count":-1}]}}`), "e3-1 its row is damaged: json: cannot unmarshal number -1 into Go struct field Counter.counts.counters.count of type uint64"},
		{"another day", item(t, "e3", 9, func(r *Row) { r.Date = "2026-03-27" }), "e3-1 its row is damaged: it says that it is of e3-1 on 2026-03-27"},
		{"another instance", item(t, "e3", 9, func(r *Row) { r.Instance = "e1" }), "e3-1 its row is damaged: it says that it is of e1-1 on 2026-03-28"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Sum(SumInput{
				Date: sumDate, Location: time.UTC, Now: sumDate.End(time.UTC).Add(time.Hour), Goals: DefaultGoals(),
				Items: []ports.Item{item(t, "e1", 5, nil), c.bad, item(t, "e2", 7, nil)},
			})
			got := fmt.Sprintf("served %d rows %d whole %v level %s", r.Served, r.Completeness.Rows, r.Completeness.Whole, r.Verdict.Level)
			if diff := cmp.Diff("served 12 rows 2 whole false level unclear", got); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
			var gaps []string
			for _, gap := range r.Completeness.Gaps {
				gaps = append(gaps, gap.Instance+" "+gap.Reason)
			}
			if diff := cmp.Diff(c.want, strings.Join(gaps, "; ")); diff != "" {
				t.Errorf("gaps (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLocalRowReplacesItsStoredForm counts the asking instance once, with what
// it has not written yet.
func TestLocalRowReplacesItsStoredForm(t *testing.T) {
	local, err := decodeRow(item(t, "e1", 5, nil).Value)
	if err != nil {
		t.Fatal(err)
	}
	local.Counts.Counters = append(local.Counts.Counters, Counter{Key{Kind: KindServed, Service: "assist"}, 2})
	r := Sum(SumInput{
		Date: sumDate, Location: time.UTC, Now: sumDate.Start(time.UTC).Add(time.Hour), Goals: DefaultGoals(), Local: &local,
		Items: []ports.Item{item(t, "e1", 5, nil), item(t, "e2", 7, nil)},
	})
	if diff := cmp.Diff([]any{uint64(14), 2}, []any{r.Served, r.Completeness.Rows}); diff != "" {
		t.Errorf("served and rows (-want +got):\n%s", diff)
	}
}

func TestVerdict(t *testing.T) {
	good := Report{Arrived: 1000, Served: 1000, Over: true, Completeness: Completeness{Whole: true}}
	change := func(f func(*Report)) Report {
		r := good
		f(&r)
		return r
	}
	cases := []struct {
		report Report
		want   string
	}{
		{good, "good: A good day. 1000 requests were served, 0 refused, 0 lost; no caller waited for a model to load."},
		{
			change(func(r *Report) { r.Over, r.Served, r.Refused, r.Waits.Count, r.Waits.Worst = false, 999, 1, 4, 2e9 }),
			"good: A good day so far. 999 requests were served, 1 refused, 0 lost; 4 callers waited for a model to load, the longest for 2s.",
		},
		{
			change(func(r *Report) { r.Served, r.Refused = 990, 10 }),
			"bad: Not a good day: 1.00% of requests were refused, the goal is at most 0.10%. 990 requests were served, 10 refused, 0 lost; no caller waited for a model to load.",
		},
		{
			change(func(r *Report) { r.Served, r.Lost = 999, 1 }),
			"bad: Not a good day: 1 request was lost with an instance. 999 requests were served, 0 refused, 1 lost; no caller waited for a model to load.",
		},
		{
			change(func(r *Report) { r.Waits = Waits{Count: 9, P95: 45e9, Worst: 90e9} }),
			"bad: Not a good day: 5 in 100 waits for a model lasted 45s or longer, the goal is at most 30s. 1000 requests were served, 0 refused, 0 lost; 9 callers waited for a model to load, the longest for 1m30s.",
		},
		{
			change(func(r *Report) { r.Completeness = Completeness{Gaps: make([]Gap, 2)} }),
			"unclear: A good day by what is known, but 2 of the instances' accounts are missing or not whole. 1000 requests were served, 0 refused, 0 lost; no caller waited for a model to load.",
		},
		{Report{Completeness: Completeness{Whole: true}}, "good: A good day so far. No requests came."},
	}
	for _, c := range cases {
		v := judge(c.report, DefaultGoals())
		if diff := cmp.Diff(c.want, fmt.Sprintf("%s: %s", v.Level, v.Sentence)); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	}
}

// TestReaderThroughAnOutage asks for a report that the KV service gives in part.
func TestReaderThroughAnOutage(t *testing.T) {
	r := NewReader(time.UTC, DefaultGoals())
	now := sumDate.End(time.UTC)
	r.Step(now, ReadAsked{ID: 3, Date: sumDate})
	first := item(t, "e1", 5, nil)
	effects := r.Step(now, ports.KVDone{Tag: 1, Reply: ports.KVReply{Items: []ports.Item{first}, More: true}})
	want := []ports.Effect{ports.KVCall{Tag: 2, Req: ports.KVList{Prefix: "day/2026-03-28/", After: first.Key, Limit: readPage}}}
	if diff := cmp.Diff(want, effects); diff != "" {
		t.Errorf("second page (-want +got):\n%s", diff)
	}
	r.Step(now, ports.KVDone{Tag: 2, Reply: ports.KVReply{Status: ports.KVUnavailable}})
	effects = r.Step(now, ports.KVDone{Tag: 3, Reply: ports.KVReply{Status: ports.KVUnavailable}})
	done := effects[0].(ports.Note).Value.(ReadDone)
	got := fmt.Sprintf("%d: served %d, %s", done.ID, done.Report.Served, done.Report.Completeness.Gaps[0].Reason)
	if diff := cmp.Diff("3: served 5, the rows could not all be read: the key-value service answered unavailable", got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// TestUnfinishedRequests tells the requests that an instance lost by stopping
// from those that it worked on when the date ended.
func TestUnfinishedRequests(t *testing.T) {
	end := sumDate.End(time.UTC)
	cases := []struct {
		name    string
		written time.Time
		want    []uint64
	}{
		{"stopped within the date", end.Add(-time.Hour), []uint64{2, 0}},
		{"closed after midnight", end.Add(settleTime), []uint64{0, 2}},
	}
	for _, c := range cases {
		row := item(t, "e1", 5, func(r *Row) {
			r.Written = c.written
			r.Counts.Counters[0].Count += 2
		})
		r := Sum(SumInput{
			Date: sumDate, Location: time.UTC, Now: end.Add(time.Hour), Goals: DefaultGoals(), Items: []ports.Item{row},
		})
		if diff := cmp.Diff(c.want, []uint64{r.Lost, r.InFlight}); diff != "" {
			t.Errorf("%s: lost and in flight (-want +got):\n%s", c.name, diff)
		}
	}
}
