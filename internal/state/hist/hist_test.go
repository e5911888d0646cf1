package hist

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// summary formats the count, quantiles, maximum and sum of a histogram.
func summary(h *Hist) string {
	return fmt.Sprintf("n %d p50 %v p95 %v p99 %v max %v sum %v",
		h.Count(), h.Quantile(.5), h.Quantile(.95), h.Quantile(.99), h.Max(), h.Sum())
}

// TestMergeEqualsRecordingAll distributes durations over several histograms, encodes,
// decodes and merges them, and compares the result with one histogram of all durations.
func TestMergeEqualsRecordingAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := []*Hist{New(Fine), New(Fine), New(Fine)}
		all, merged := New(Fine), New(Fine)
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			d := time.Duration(rapid.Int64Range(0, int64(6*time.Hour)).Draw(t, "d"))
			all.Record(d)
			parts[rapid.IntRange(0, 2).Draw(t, "part")].Record(d)
		}
		for _, p := range parts {
			data, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			stored := &Hist{}
			if err := json.Unmarshal(data, stored); err != nil {
				t.Fatal(err)
			}
			merged.Merge(stored)
		}
		if diff := cmp.Diff(summary(all), summary(merged)); diff != "" {
			t.Fatalf("merged (-want +got):\n%s", diff)
		}
	})
}

// TestQuantileWithinPrecision compares quantiles with those of the recorded durations.
func TestQuantileWithinPrecision(t *testing.T) {
	for precision, tolerance := range map[Precision]float64{Coarse: 0.065, Fine: 0.0085} {
		h := New(precision)
		for i := range 1000 {
			h.Record(time.Duration(i+1) * 100 * time.Millisecond)
		}
		for _, q := range []float64{0.5, 0.95, 0.99} {
			want := time.Duration(q*1000) * 100 * time.Millisecond
			got := h.Quantile(q)
			if deviation := float64(got-want) / float64(want); deviation > tolerance || deviation < -tolerance {
				t.Errorf("precision %d, quantile %v: %v, want %v within %.2f%%", precision, q, got, want, 100*tolerance)
			}
		}
	}
}

func TestUnmarshalRejectsDamagedData(t *testing.T) {
	good, err := json.Marshal(New(Coarse))
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range []string{
		`{}`,
		`{"counts":"AAAA"}`,
		`{"counts":"!"}`,
		strings.Replace(string(good), `"maxNanos":0`, `"maxNanos":-1`, 1),
		strings.Replace(string(good), `"counts":"H`, `"counts":"I`, 1),
	} {
		if err := json.Unmarshal([]byte(data), &Hist{}); err == nil {
			t.Errorf("%s is accepted", data)
		}
	}
}

// TestSetIsBounded records under 1,000 keys concurrently: a set of 100 keys stores no more
// than 100 and the key for the others, and no duration is lost.
func TestSetIsBounded(t *testing.T) {
	s := NewSet(Coarse, 100, "other")
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for i := range 1000 {
				s.Record(fmt.Sprint(i), time.Second)
			}
		})
	}
	wait.Wait()
	var sum uint64
	all := s.Snapshot()
	for _, h := range all {
		sum += h.Count()
	}
	if diff := cmp.Diff([]any{101, uint64(8000)}, []any{len(all), sum}); diff != "" {
		t.Errorf("keys and durations (-want +got):\n%s", diff)
	}
}
