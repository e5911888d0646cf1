package daily

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// rowFormat is the version of the row's form; a reader takes no newer one.
const rowFormat = 1

// Bounds of a row in the KV service, whose values hold 1 MB.
const (
	maxRowBytes  = 900_000
	topModels    = 500
	topCounters  = 2000
	minTopModels = 1
)

// Row is what one incarnation of an instance counted on one date.
type Row struct {
	Format      int    `json:"format"`
	Date        string `json:"date"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
	// Nonce is the writer's own, to know its rows by.
	Nonce uint64 `json:"nonce"`
	// Seq numbers the writes of this row.
	Seq     uint64    `json:"seq"`
	Written time.Time `json:"written"`
	// Interval is how soon the writer meant to write again.
	Interval time.Duration `json:"intervalNanos"`
	// Final tells that the writer has nothing to add for this date.
	Final bool `json:"final,omitempty"`
	// Kept tells that a neighbour that was told of every outcome before the
	// caller heard of it has added what it knew.
	Kept bool `json:"kept,omitempty"`
	// Pace is the most requests that arrived between two writes, which bounds
	// from experience what a row without its last write can lack.
	Pace   uint64 `json:"pace"`
	Counts Counts `json:"counts"`
}

// rowKey returns the key of a row; suffix is empty but for two writers that
// believe to be the same incarnation.
func rowKey(date Date, instance string, incarnation uint64, suffix string) string {
	return fmt.Sprintf("%s%s-%d%s", rowPrefix(date), instance, incarnation, suffix)
}

func rowPrefix(date Date) string {
	return "day/" + date.String() + "/"
}

// encodeRow writes a row within the bound of a value: beyond the models with
// most to say, and the largest counters, it sums the rest.
func encodeRow(r Row, limit int) ([]byte, error) {
	counts := r.Counts
	for models, counters := topModels, topCounters; models >= minTopModels; models, counters = models/2, counters/2 {
		r.Counts = counts.top(models, counters)
		data, err := json.Marshal(r)
		if err != nil {
			return nil, trace.Wrap(err, "encode day row of %s", r.Instance)
		}
		if len(data) <= limit {
			return data, nil
		}
	}
	return nil, trace.LimitExceeded("encode day row of %s: it does not fit into %d bytes", r.Instance, limit)
}

// decodeRow reads a row and says what is wrong with a damaged one.
func decodeRow(data []byte) (Row, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Row{}, trace.BadParameter("damaged: %v", err)
	}
	if head.Format != rowFormat {
		return Row{}, trace.BadParameter("of format %d, this version reads format %d", head.Format, rowFormat)
	}
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, trace.BadParameter("damaged: %v", trace.Unwrap(err))
	}
	return r, nil
}

// top keeps the models and counters with most to say and sums the rest.
func (c Counts) top(models, counters int) Counts {
	c.Models = topOfModels(c.Models, models)
	c.Counters = topOfCounters(c.Counters, counters)
	return c
}

func topOfModels(all map[string]ModelRow, n int) map[string]ModelRow {
	if len(all) <= n {
		return all
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(all[b].weight(), all[a].weight()), cmp.Compare(a, b))
	})
	kept := make(map[string]ModelRow, n+1)
	var rest ModelRow
	for i, name := range names {
		if i < n && name != Other {
			kept[name] = all[name]
			continue
		}
		rest.add(all[name])
	}
	kept[Other] = rest
	return kept
}

func topOfCounters(all []Counter, n int) []Counter {
	if len(all) <= n {
		return all
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), compareKeys(a.Key, b.Key))
	})
	rest := make(map[Key]uint64)
	for _, c := range sorted[n:] {
		rest[Key{Kind: c.Kind, Service: Other, Reason: Other, NotRun: c.NotRun}] += c.Count
	}
	kept := sorted[:n]
	for key, count := range rest {
		kept = append(kept, Counter{Key: key, Count: count})
	}
	sortCounters(kept)
	return kept
}
