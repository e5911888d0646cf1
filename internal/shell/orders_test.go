package shell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// ordersLog writes lines of instances; times are in milliseconds.
type ordersLog struct{ b strings.Builder }

func (o *ordersLog) write(at int, message, fields string) {
	origin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	fmt.Fprintf(&o.b, `{"time":%q,%s,"message":%q}`+"\n",
		origin.Add(time.Duration(at)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"), fields, message)
}

// order writes the line of an order that was checked at from and ended at to.
func (o *ordersLog) order(from, to int, instance string, token int, check string) {
	o.write(to, "order finished", fmt.Sprintf(`"instance":%q,"target":"e1","token":%d,"check":%q,"sinceCheck":%d`, instance, token, check, to-from))
}

func (o *ordersLog) begin(at int, instance string, token int, wait string, waited int) {
	o.write(at, "orders may begin", fmt.Sprintf(`"instance":%q,"token":%d,"wait":%q,"waited":%d`, instance, token, wait, waited))
}

func (o *ordersLog) end(at int, instance string, token int) {
	o.write(at, "term ended", fmt.Sprintf(`"instance":%q,"token":%d,"reason":"stopped"`, instance, token))
}

// TestOrders writes a change of the holder for each cause of orders that are too near, and some
// without fault.
func TestOrders(t *testing.T) {
	pair := func(t2 int, cause string) []nearOrders {
		at := func(ms int) time.Time { return time.Date(2026, 1, 2, 3, 4, 5, ms*int(time.Millisecond), time.UTC) }
		return []nearOrders{{
			Target: "e1", Earlier: orderFrom{"i1", 7, at(100), at(700)}, Later: orderFrom{"i2", uint64(t2), at(3200), at(3210)},
			Least: 2.5, Most: 3.11, Cause: cause,
		}}
	}
	for _, c := range []struct {
		name  string
		write func(o *ordersLog)
		want  []nearOrders
	}{
		{"on its way at a planned stop", func(o *ordersLog) { o.end(150, "i1", 7); o.begin(3160, "i2", 9, "settled", 3005) }, pair(9, causeOnItsWay)},
		{"wait too short", func(o *ordersLog) { o.end(150, "i1", 7); o.begin(3160, "i2", 9, "settled", 2900) }, pair(9, causeShortWait)},
		{"no wait", func(o *ordersLog) { o.end(150, "i1", 7); o.begin(3160, "i2", 9, "noFormer", 0) }, pair(9, causeNoWait)},
		{"lower token", func(o *ordersLog) { o.end(150, "i1", 7); o.begin(3160, "i2", 6, "settled", 3005) }, pair(6, causeToken)},
		{"same token", func(o *ordersLog) { o.begin(3160, "i2", 7, "settled", 3005) }, pair(7, causeToken)},
		{"killed sender", func(o *ordersLog) { o.begin(3160, "i2", 9, "notSettled", 4500) }, pair(9, causeUnknown)},
		{"on its way at the first of two terms with one token", func(o *ordersLog) {
			o.end(150, "i1", 7)
			o.end(900, "i1", 7)
			o.begin(3160, "i2", 9, "settled", 3005)
		}, pair(9, causeOnItsWay)},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := new(ordersLog)
			o.order(100, 700, "i1", 7, "passed")
			c.write(o)
			second := int(c.want[0].Later.Token)
			o.order(3200, 3210, "i2", second, "passed")
			// None of these is near another instance's order, or was sent at all.
			o.order(2000, 2010, "i3", 8, "tooLate")
			o.order(3300, 3310, "i2", second, "passed")
			o.order(6310, 6320, "i4", 12, "passed")
			var out, errs bytes.Buffer
			s := Streams{In: strings.NewReader(o.b.String()), Out: &out, Err: &errs}
			if code := Run([]string{"orders", "--json"}, s); code != ExitDone {
				t.Fatalf("exit code %d: %s", code, errs.String())
			}
			var got []nearOrders
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("pairs (-want +got):\n%s", diff)
			}
			s.In, s.Out = strings.NewReader(o.b.String()), new(bytes.Buffer)
			if code := Run([]string{"orders"}, s); code != ExitDone || !strings.Contains(fmt.Sprint(s.Out), "4 orders, too near: 1\n") {
				t.Errorf("exit code %d, output:\n%s", code, s.Out)
			}
		})
	}
}
