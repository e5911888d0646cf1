package hist

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

const (
	// resolution is the smallest difference between durations that a Hist distinguishes.
	resolution = time.Millisecond
	// maxDuration is the upper end of the buckets; longer durations are counted in the last
	// one.
	maxDuration = 4 * time.Hour
)

// Precision is the number of significant digits of a Hist.
type Precision int

// The precisions of a Hist, with the memory that one histogram takes.
const (
	// Coarse distinguishes durations that differ by 6 %, in about 3 KB.
	Coarse Precision = 1
	// Fine distinguishes durations that differ by 1 %, in about 18 KB.
	Fine Precision = 2
)

// Hist is a histogram of durations. It is not safe for concurrent use.
type Hist struct {
	counts *hdrhistogram.Histogram
	max    time.Duration
	sum    time.Duration
}

// New returns an empty histogram.
func New(p Precision) *Hist {
	return &Hist{counts: hdrhistogram.New(1, int64(maxDuration/resolution), int(p))}
}

// Record adds one duration; a negative one counts as zero.
func (h *Hist) Record(d time.Duration) {
	d = max(d, 0)
	v := int64(min(d, maxDuration) / resolution)
	if h.counts.RecordValue(v) != nil {
		return
	}
	h.max = max(h.max, d)
	h.sum += d
}

// Merge adds the durations recorded in other, which may be nil.
func (h *Hist) Merge(other *Hist) {
	if other == nil {
		return
	}
	h.counts.Merge(other.counts)
	h.max = max(h.max, other.max)
	h.sum += other.sum
}

// Clone returns a copy of the histogram.
func (h *Hist) Clone() *Hist {
	return &Hist{counts: h.counts.Clone(), max: h.max, sum: h.sum}
}

// Count returns the number of recorded durations.
func (h *Hist) Count() uint64 {
	return uint64(h.counts.TotalCount())
}

// Max returns the longest recorded duration, which is exact, unlike Quantile.
func (h *Hist) Max() time.Duration {
	return h.max
}

// Sum returns the exact sum of the recorded durations.
func (h *Hist) Sum() time.Duration {
	return h.sum
}

// Quantile returns the q-quantile of the recorded durations, for q between 0 and 1, within
// the histogram's precision. It is 0 for an empty histogram.
func (h *Hist) Quantile(q float64) time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return min(time.Duration(h.counts.ValueAtQuantile(q*100))*resolution, h.max)
}

// Bytes returns the approximate memory use of the histogram's buckets.
func (h *Hist) Bytes() int {
	return h.counts.ByteSize()
}

// jsonHist is the JSON form of a Hist.
type jsonHist struct {
	// Counts holds the buckets in the compressed HdrHistogram V2 format.
	Counts   string        `json:"counts"`
	MaxNanos time.Duration `json:"maxNanos"`
	SumNanos time.Duration `json:"sumNanos"`
}

// MarshalJSON encodes the histogram with its buckets compressed.
func (h *Hist) MarshalJSON() ([]byte, error) {
	counts, err := h.counts.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, trace.Wrap(err, "encode histogram")
	}
	return json.Marshal(jsonHist{Counts: string(counts), MaxNanos: h.max, SumNanos: h.sum})
}

// UnmarshalJSON decodes the output of MarshalJSON. It returns an error for anything else,
// including histograms with other bounds.
func (h *Hist) UnmarshalJSON(data []byte) error {
	var f jsonHist
	if err := json.Unmarshal(data, &f); err != nil {
		return trace.Wrap(err, "decode histogram")
	}
	counts, err := hdrhistogram.Decode([]byte(f.Counts))
	if err != nil {
		return trace.Wrap(err, "decode histogram")
	}
	if counts.HighestTrackableValue() != int64(maxDuration/resolution) || counts.LowestTrackableValue() != 1 {
		return trace.BadParameter("decode histogram: its range is %d to %d, this version knows 1 to %d",
			counts.LowestTrackableValue(), counts.HighestTrackableValue(), int64(maxDuration/resolution))
	}
	if f.MaxNanos < 0 || f.SumNanos < 0 {
		return trace.BadParameter("decode histogram: negative maximum %v or sum %v", f.MaxNanos, f.SumNanos)
	}
	*h = Hist{counts: counts, max: f.MaxNanos, sum: f.SumNanos}
	return nil
}
