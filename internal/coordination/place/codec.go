package place

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/state/sums"
)

// Format is the version of the encoding of plans in the KV service.
const Format = 2

// Encode returns the plan as a KV value: JSON with a checksum, as package sums adds it.
func Encode(p Plan) ([]byte, error) {
	p.Format = Format
	data, err := json.Marshal(p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return sums.Add(data), nil
}

// Decode parses and checks the KV value of the given shard. It rejects unknown fields and
// other formats, because this program would lose their content when it writes the value
// back, and a wrong checksum, because a plan with one changed digit in an epoch or a number
// of permits would still be valid.
func Decode(data []byte, zone string, shard int) (Plan, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Plan{}, trace.BadParameter("plan of shard %s/%d is damaged: %v", zone, shard, err)
	}
	if head.Format != Format {
		return Plan{}, trace.BadParameter("plan of shard %s/%d has format %d, this program reads %d", zone, shard, head.Format, Format)
	}
	plan, err := sums.Strip(data)
	if err != nil {
		return Plan{}, trace.BadParameter("plan of shard %s/%d is damaged: %v", zone, shard, err)
	}
	var p Plan
	if err := decodeStrict(plan, &p); err != nil {
		return Plan{}, trace.BadParameter("plan of shard %s/%d is damaged: %v", zone, shard, err)
	}
	if err := p.check(zone, shard); err != nil {
		return Plan{}, trace.BadParameter("plan of shard %s/%d is damaged: %v", zone, shard, err)
	}
	return p, nil
}

// DecodeAny does the same as Decode for the shard that the value itself names.
func DecodeAny(data []byte) (Plan, error) {
	var head struct {
		Zone  string `json:"zone"`
		Shard int    `json:"shard"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Plan{}, trace.BadParameter("plan of a shard is damaged: %v", err)
	}
	return Decode(data, head.Zone, head.Shard)
}

// decodeStrict decodes one JSON value. It rejects unknown fields and data after the value.
func decodeStrict(data []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("data after the JSON value")
	}
	return nil
}

// check returns an error if the plan is of another shard, has no epoch, has a negative
// number of permits, or contains an invalid replica or the same replica twice.
func (p Plan) check(zone string, shard int) error {
	if p.Zone != zone || p.Shard != shard {
		return fmt.Errorf("the value names shard %s/%d", p.Zone, p.Shard)
	}
	if p.Epoch == 0 {
		return fmt.Errorf("the epoch is missing")
	}
	for resource, n := range p.Permits {
		if n < 0 {
			return fmt.Errorf("negative number of permits: %d of %s", n, resource)
		}
	}
	seen := make(map[string]string)
	for _, id := range p.TargetIDs() {
		for _, r := range p.Targets[id].Replicas {
			if err := r.check(); err != nil {
				return fmt.Errorf("target %s: %w", id, err)
			}
			if other, isDuplicate := seen[r.ID]; isDuplicate {
				return fmt.Errorf("replica %s is on targets %s and %s", r.ID, other, id)
			}
			seen[r.ID] = id
		}
	}
	return nil
}

// check returns an error if the ID or the model is missing or the phase is unknown.
func (r Replica) check() error {
	if r.ID == "" || r.Model == "" {
		return fmt.Errorf("replica without ID or model")
	}
	switch r.Phase {
	case PhaseDecided, PhaseConfirmed, PhaseUnloading:
		return nil
	}
	return fmt.Errorf("replica %s has unknown phase %q", r.ID, r.Phase)
}
