package main

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/platform/fake"
)

// arrivedOrder is an order where it arrived.
type arrivedOrder struct {
	fake.Order
	target string
	// earliest is when it may have arrived, since the test's own process may have been held up
	// before it noted the time.
	earliest time.Time
}

// orderFault is a pair of orders to one target that no two holders may send.
type orderFault struct {
	at   time.Time
	text string
}

// handoverAt returns the least time between the orders of two holders, of which the later one
// arrives at a time.
type handoverAt func(time.Time) time.Duration

// judgeArrivals returns the faults among the orders that arrived at one incarnation of a
// target: orders of two instances within the handover, a token of two instances, and a token
// lower than one before. Orders that are excused are left out before.
func judgeArrivals(orders []arrivedOrder, handover handoverAt) []orderFault {
	var out []orderFault
	holders := make(map[uint64]string)
	for i, o := range orders {
		fault := func(format string, args ...any) {
			out = append(out, orderFault{o.At, fmt.Sprintf("%s: ", o.target) + fmt.Sprintf(format, args...)})
		}
		if owner, isKnown := holders[o.Token]; isKnown && owner != o.Holder {
			fault("one token %d of %s and %s", o.Token, owner, o.Holder)
		}
		holders[o.Token] = o.Holder
		if i == 0 {
			continue
		}
		before := orders[i-1]
		if gap := o.At.Sub(before.earliest); before.Holder != o.Holder && gap < handover(o.At) {
			fault("orders of %s and %s within %v", before.Holder, o.Holder, gap)
		}
		highest := slices.MaxFunc(orders[:i], func(x, y arrivedOrder) int { return cmp.Compare(x.Token, y.Token) })
		if o.Token < highest.Token {
			fault("token %d of %s after %d of %s", o.Token, o.Holder, highest.Token, highest.Holder)
		}
	}
	return out
}

// TestOrdersJudge guards against a judge of orders that misses a fault or finds one where there
// is none.
func TestOrdersJudge(t *testing.T) {
	start := time.Now()
	order := func(after time.Duration, holder string, token uint64) arrivedOrder {
		at := start.Add(after)
		return arrivedOrder{Order: fake.Order{At: at, Holder: holder, Token: token}, target: "t0", earliest: at}
	}
	unsure := order(time.Second, "i1", 5)
	unsure.earliest = start.Add(900 * time.Millisecond)
	raised := func(at time.Time) time.Duration {
		if at.Before(start.Add(4 * time.Second)) {
			return 3 * time.Second
		}
		return 5 * time.Second
	}
	for _, c := range []struct {
		name   string
		orders []arrivedOrder
		want   []string
	}{
		{"nothing", nil, nil},
		{"one holder", []arrivedOrder{order(0, "i1", 5), order(1, "i1", 5), order(2, "i1", 7)}, nil},
		{"far apart", []arrivedOrder{order(0, "i1", 5), order(3*time.Second, "i2", 7)}, nil},
		{
			"too near",
			[]arrivedOrder{order(0, "i1", 5), order(3*time.Second-1, "i2", 7)},
			[]string{"t0: orders of i1 and i2 within 2.999999999s"},
		},
		{
			"late order of the former holder",
			[]arrivedOrder{order(0, "i1", 5), order(3*time.Second, "i2", 7), order(3500*time.Millisecond, "i1", 5)},
			[]string{"t0: orders of i2 and i1 within 500ms", "t0: token 5 of i1 after 7 of i2"},
		},
		{
			"one token",
			[]arrivedOrder{order(0, "i1", 5), order(3*time.Second, "i2", 5)},
			[]string{"t0: one token 5 of i1 and i2"},
		},
		{
			"lower token of one instance",
			[]arrivedOrder{order(0, "i1", 7), order(1, "i1", 5), order(2, "i1", 7)},
			[]string{"t0: token 5 of i1 after 7 of i1"},
		},
		{"noted late", []arrivedOrder{unsure, order(3950*time.Millisecond, "i2", 7)}, nil},
		{
			"raised handover",
			[]arrivedOrder{order(0, "i1", 5), order(4*time.Second, "i2", 7)},
			[]string{"t0: orders of i1 and i2 within 4s"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, f := range judgeArrivals(c.orders, raised) {
				got = append(got, f.text)
			}
			if diff := gocmp.Diff(c.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}
