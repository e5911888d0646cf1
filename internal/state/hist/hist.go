package hist

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// Bounds of what a Hist tells apart; longer durations count as the longest.
const (
	unit    = time.Millisecond
	longest = 4 * time.Hour
)

// Precision is the number of significant digits of a Hist.
type Precision int

// The precisions.
const (
	// Coarse tells durations 6 % apart from each other, in about 3 KB.
	Coarse Precision = 1
	// Fine tells durations 1 % apart from each other, in about 18 KB.
	Fine Precision = 2
)

// Hist is a histogram of durations; it is not safe for concurrent use.
type Hist struct {
	counts *hdrhistogram.Histogram
	max    time.Duration
	sum    time.Duration
}

// New returns an empty histogram.
func New(p Precision) *Hist {
	return &Hist{counts: hdrhistogram.New(1, int64(longest/unit), int(p))}
}

// Record adds one duration; a negative one counts as zero.
func (h *Hist) Record(d time.Duration) {
	d = max(d, 0)
	v := int64(min(d, longest) / unit)
	if h.counts.RecordValue(v) != nil {
		return
	}
	h.max = max(h.max, d)
	h.sum += d
}

// Merge adds everything that was recorded in other.
func (h *Hist) Merge(other *Hist) {
	if other == nil {
		return
	}
	h.counts.Merge(other.counts)
	h.max = max(h.max, other.max)
	h.sum += other.sum
}

// Clone returns a copy.
func (h *Hist) Clone() *Hist {
	return &Hist{counts: h.counts.Clone(), max: h.max, sum: h.sum}
}

// Count returns the number of durations.
func (h *Hist) Count() uint64 {
	return uint64(h.counts.TotalCount())
}

// Max returns the longest duration exactly.
func (h *Hist) Max() time.Duration {
	return h.max
}

// Sum returns the sum of the durations.
func (h *Hist) Sum() time.Duration {
	return h.sum
}

// Quantile returns the duration that a share q of all does not exceed, within
// the precision; it is 0 for an empty histogram.
func (h *Hist) Quantile(q float64) time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return min(time.Duration(h.counts.ValueAtQuantile(q*100))*unit, h.max)
}

// Bytes returns the memory that the histogram takes.
func (h *Hist) Bytes() int {
	return h.counts.ByteSize()
}

// form is a Hist in JSON.
type form struct {
	// Counts are the buckets in the compressed HdrHistogram V2 format.
	Counts   string        `json:"counts"`
	MaxNanos time.Duration `json:"maxNanos"`
	SumNanos time.Duration `json:"sumNanos"`
}

// MarshalJSON writes the histogram with its buckets compressed.
func (h *Hist) MarshalJSON() ([]byte, error) {
	counts, err := h.counts.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, trace.Wrap(err, "encode histogram")
	}
	return json.Marshal(form{Counts: string(counts), MaxNanos: h.max, SumNanos: h.sum})
}

// UnmarshalJSON reads what MarshalJSON wrote and rejects anything else.
func (h *Hist) UnmarshalJSON(data []byte) error {
	var f form
	if err := json.Unmarshal(data, &f); err != nil {
		return trace.Wrap(err, "decode histogram")
	}
	counts, err := hdrhistogram.Decode([]byte(f.Counts))
	if err != nil {
		return trace.Wrap(err, "decode histogram")
	}
	if counts.HighestTrackableValue() != int64(longest/unit) || counts.LowestTrackableValue() != 1 {
		return trace.BadParameter("decode histogram: its range is %d to %d, this version knows 1 to %d",
			counts.LowestTrackableValue(), counts.HighestTrackableValue(), int64(longest/unit))
	}
	if f.MaxNanos < 0 || f.SumNanos < 0 {
		return trace.BadParameter("decode histogram: negative maximum %v or sum %v", f.MaxNanos, f.SumNanos)
	}
	*h = Hist{counts: counts, max: f.MaxNanos, sum: f.SumNanos}
	return nil
}
