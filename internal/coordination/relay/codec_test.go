package relay

import (
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// drawDemand draws a value for every field, so that a field that is added to
// picker.Demand is missed by no test.
func drawDemand(t *rapid.T) picker.Demand {
	names := func() []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "names")
	}
	number := func() int { return rapid.IntRange(1, 300).Draw(t, "number") }
	var d picker.Demand
	v := reflect.ValueOf(&d).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Interface().(type) {
		case string:
			f.SetString(names()[0])
		case int, int64:
			f.SetInt(int64(number()))
		case []string:
			f.Set(reflect.ValueOf(names()))
		case map[string]int:
			f.Set(reflect.ValueOf(map[string]int{names()[0]: number(), "d": number()}))
		default:
			t.Fatalf("no value for field %s", v.Type().Field(i).Name)
		}
	}
	return d
}

// TestDemandCodec checks that what is decoded is what was encoded, and that cut messages
// are errors.
func TestDemandCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []picker.Demand
		for range rapid.IntRange(0, 4).Draw(t, "models") {
			want = append(want, drawDemand(t))
		}
		data := AppendDemand(nil, want)
		got, err := DecodeDemand(data)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Fatalf("%v (-want +got):\n%s", err, diff)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if got, err := DecodeDemand(data[:cut]); err == nil {
			t.Fatalf("the first %d of %d bytes were decoded as %+v", cut, len(data), got)
		}
	})
}

// TestDecodeForeignDemand guards against a message that makes the receiver run out of
// memory or panic.
func TestDecodeForeignDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _ = DecodeDemand(rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
	})
}

// TestSumHasEveryField adds up the demand of two instances and of none: no field may be
// lost.
func TestSumHasEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDemand(t)
		s := newSum()
		s.add([]picker.Demand{d})
		s.add([]picker.Demand{{Service: d.Service, Model: d.Model}})
		sorted := cmpopts.SortSlices(strings.Compare)
		if diff := cmp.Diff([]picker.Demand{d}, s.list(), sorted); diff != "" {
			t.Fatalf("sum (-want +got):\n%s", diff)
		}
	})
}
