package cfglog

import (
	"encoding/json"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Bounds of the patches kept in memory for other entries.
const (
	maxRecentPatches = 1024
	maxRecentBytes   = 2 << 20
)

// recent holds the newest accepted patches, which are consecutive.
type recent struct {
	limit   int
	records []config.Record
	sizes   []int
	bytes   int
}

// add appends a record, which must be the successor of the last one.
func (r *recent) add(record config.Record) {
	data, err := json.Marshal(record.Patch)
	if err != nil {
		r.clear()
		return
	}
	r.records = append(r.records, record)
	r.sizes = append(r.sizes, len(data))
	r.bytes += len(data)
	for len(r.records) > r.limit || r.bytes > maxRecentBytes {
		r.bytes -= r.sizes[0]
		r.records = r.records[1:]
		r.sizes = r.sizes[1:]
	}
}

func (r *recent) clear() {
	*r = recent{limit: r.limit}
}

// after returns the records after a version, up to limit records and maxBytes but at
// least one, and false if the records do not reach back that far.
func (r *recent) after(v config.Version, limit, maxBytes int) ([]config.Record, bool) {
	if len(r.records) == 0 || r.records[0].Version > v+1 {
		return nil, false
	}
	skip := int(v + 1 - r.records[0].Version)
	if skip > len(r.records) {
		return nil, true
	}
	var found []config.Record
	for i := skip; i < len(r.records) && len(found) < limit; i++ {
		maxBytes -= r.sizes[i]
		if maxBytes < 0 && len(found) > 0 {
			break
		}
		found = append(found, r.records[i])
	}
	return found, true
}
