package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Figures of the largest deployment.
const (
	largeModels    = 970
	largeTargets   = 4000
	largeChildren  = 45
	largePerSecond = 56
	largeInFlight  = 190
)

// largeDemand returns the demand of one of 1,000 instances. Some models have many more
// requests than others.
func largeDemand(r *rand.Rand) []picker.Demand {
	sums := make(map[int]*picker.Demand)
	of := func() *picker.Demand {
		model := int(float64(largeModels) * r.Float64() * r.Float64() * r.Float64())
		if sums[model] == nil {
			sums[model] = &picker.Demand{Service: "llm", Model: modelName(model), InFlightByTarget: make(map[string]int)}
		}
		return sums[model]
	}
	for range largePerSecond * int(relay.Interval) / int(time.Second) {
		of().Arrived++
	}
	for range largeInFlight {
		d := of()
		d.InFlight++
		d.InFlightByTarget[targetName((rankOf(d.Model)+r.IntN(6))%largeTargets)]++
	}
	var out []picker.Demand
	for _, d := range sums {
		out = append(out, *d)
	}
	return out
}

func modelName(i int) string  { return fmt.Sprintf("mix%07x", i*2654435761%(1<<28)) }
func targetName(i int) string { return fmt.Sprintf("i-%010x", i*2654435761) }
func rankOf(model string) int { return int(model[4])*31 + int(model[6])*7 + int(model[8]) }

// largeUpdates returns the updates of some targets with four models each.
func largeUpdates(r *rand.Rand, n int) []picker.Update {
	var out []picker.Update
	for i := range n {
		u := picker.Update{
			Identity: fleet.Identity{ID: targetName(i), Born: 1766000000000 + r.Int64N(1e9)}, Service: "llm",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 9000), Zone: "bul-a", Slots: 48,
		}
		for range 4 {
			l := fleet.Loaded{Model: modelName(r.IntN(largeModels)), Version: 3}
			for range 2 {
				l.Adapters = append(l.Adapters, fmt.Sprintf("ad%07x", r.IntN(5600)*48271))
			}
			u.Models = append(u.Models, l)
		}
		out = append(out, u)
	}
	return out
}

func largeReport(r *rand.Rand) []picker.Demand {
	t := relay.NewTable()
	now := time.Now()
	for i := range largeChildren {
		t.Put(now, relay.Message{Child: relay.Child{Name: fmt.Sprint("i", i)}, Seq: 1, Demand: largeDemand(r)})
	}
	return t.Take(now, largeDemand(r))
}

// BenchmarkMessages measures the messages of the largest deployment: time to encode and
// compress, to uncompress and decode, and the bytes before and after.
func BenchmarkMessages(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	expected := make(map[string]int64)
	for range 60 {
		expected[modelName(r.IntN(largeModels))] = r.Int64N(13000)
	}
	for _, c := range []struct {
		name   string
		encode func() ([]byte, error)
		decode func([]byte) error
	}{
		{"demand of an instance", encodeRequest(exchangeRequest{From: "i", Demand: largeDemand(r)}), decodeRequest},
		{"report of a relay", encodeRequest(exchangeRequest{From: "i", Demand: largeReport(r)}), decodeRequest},
		{"no demand", encodeRequest(exchangeRequest{From: "front-bul-a-1", Term: 1766000000000000000, Version: 12345, IsWithoutDemand: true}), decodeRequest},
		{"no updates", encodeReply(exchangeReply{
			Term: 1766000000000000000, Version: 12345, Members: 1000, AgeMS: 120,
			Readers:        []netip.AddrPort{netip.MustParseAddrPort("10.3.1.38:9464"), netip.MustParseAddrPort("10.3.1.39:9464")},
			ConfigRevision: rev(1234567), ConfigThrough: rev(1234599), TargetsThrough: rev(1234599),
		}), decodeReply},
		{"20 updates", encodeReply(exchangeReply{Updates: largeUpdates(r, 20), ReadyInMS: expected}), decodeReply},
		{"all updates", encodeReply(exchangeReply{Updates: largeUpdates(r, largeTargets)}), decodeReply},
	} {
		plain, err := c.encode()
		if err != nil {
			b.Fatal(err)
		}
		sent := compress(plain)
		b.Run(c.name+"/encode", func(b *testing.B) {
			for b.Loop() {
				data, _ := c.encode()
				_ = compress(data)
			}
			b.ReportMetric(float64(len(plain)), "B-plain")
			b.ReportMetric(float64(len(sent)), "B-sent")
		})
		b.Run(c.name+"/decode", func(b *testing.B) {
			for b.Loop() {
				data, err := uncompress(sent)
				if err != nil {
					b.Fatal(err)
				}
				if err := c.decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func encodeRequest(m exchangeRequest) func() ([]byte, error) {
	return func() ([]byte, error) { return encodeExchange(m) }
}

func encodeReply(r exchangeReply) func() ([]byte, error) {
	return func() ([]byte, error) { return json.Marshal(r) }
}

func decodeRequest(data []byte) error {
	_, err := decodeExchange(data)
	return err
}

func decodeReply(data []byte) error {
	var r exchangeReply
	return json.Unmarshal(data, &r)
}
