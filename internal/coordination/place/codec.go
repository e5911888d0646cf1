package place

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/state/sums"
)

// Format is the version of the plan's form in the KV service.
const Format = 2

// Encode writes the plan as a KV value.
func Encode(p Plan) ([]byte, error) {
	p.Format = Format
	data, err := json.Marshal(p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return sums.Add(data), nil
}

// Decode reads a KV value strictly: an unknown field or another format may mean
// something that this program would lose by writing the value back, and one
// changed digit of an epoch or a permit is as valid as the true one.
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

// DecodeAny reads the value of any shard as Decode does.
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

func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("data after the end")
	}
	return nil
}

func (p Plan) check(zone string, shard int) error {
	if p.Zone != zone || p.Shard != shard {
		return fmt.Errorf("it names shard %s/%d", p.Zone, p.Shard)
	}
	if p.Epoch == 0 {
		return fmt.Errorf("it has no epoch")
	}
	for resource, n := range p.Permits {
		if n < 0 {
			return fmt.Errorf("it holds %d permits of %s", n, resource)
		}
	}
	seen := make(map[string]string)
	for _, id := range p.TargetIDs() {
		for _, r := range p.Targets[id].Replicas {
			if err := r.check(); err != nil {
				return fmt.Errorf("target %s: %w", id, err)
			}
			if other, twice := seen[r.ID]; twice {
				return fmt.Errorf("replica %s is on %s and on %s", r.ID, other, id)
			}
			seen[r.ID] = id
		}
	}
	return nil
}

func (r Replica) check() error {
	if r.ID == "" || r.Model == "" {
		return fmt.Errorf("a replica lacks its id or model")
	}
	switch r.Phase {
	case PhaseDecided, PhaseConfirmed, PhaseUnloading:
		return nil
	}
	return fmt.Errorf("replica %s has the unknown phase %q", r.ID, r.Phase)
}
