package shell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// OrdersCmd finds orders of two instances that are too near at one target.
type OrdersCmd struct {
	Files    []string      `arg:"" optional:"" help:"Logs of the instances; standard input if there are none." type:"existingfile"`
	Handover time.Duration `help:"Least time between the orders of two instances at a target, lease_ms of the boot file." default:"3s"`
	JSON     bool          `help:"Print JSON."`
}

// The causes of orders that are too near.
const (
	// causeOnItsWay means that the earlier order had passed its check when its sender's term
	// ended, and had no answer yet.
	causeOnItsWay = "onItsWay"
	// causeNoWait means that the later term began without a wait for a former holder.
	causeNoWait = "noWait"
	// causeShortWait means that the orders of the later term began before the handover had
	// passed.
	causeShortWait = "shortWait"
	// causeToken means that the later order has no higher token than the earlier one.
	causeToken = "token"
	// causeUnknown means that the lines name no cause, as those of a sender that was killed.
	causeUnknown = "unknown"
)

// orderLine is a line of an order or of a term; times are in milliseconds.
type orderLine struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"message"`
	Instance   string    `json:"instance"`
	Token      uint64    `json:"token"`
	Target     string    `json:"target"`
	Check      string    `json:"check"`
	SinceCheck float64   `json:"sinceCheck"`
	Reason     string    `json:"reason"`
	Wait       string    `json:"wait"`
	Waited     float64   `json:"waited"`
}

// checkedAt returns when an order passed its check; it arrived then or later.
func (l *orderLine) checkedAt() time.Time { return l.Time.Add(-millis(l.SinceCheck)) }

// termKey names a term in the lines.
type termKey struct {
	instance string
	token    uint64
}

func (l *orderLine) term() termKey { return termKey{l.Instance, l.Token} }

// orderAccount collects the orders and terms of all instances.
type orderAccount struct {
	orders []*orderLine
	// began and ends hold the lines of terms. Terms of one instance that follow each other may
	// have the same token.
	began, ends map[termKey][]*orderLine
}

func newOrderAccount() *orderAccount {
	return &orderAccount{began: make(map[termKey][]*orderLine), ends: make(map[termKey][]*orderLine)}
}

func (a *orderAccount) add(l *orderLine) {
	switch l.Message {
	case "order finished":
		if l.Check == "passed" {
			a.orders = append(a.orders, l)
		}
	case "orders may begin":
		a.began[l.term()] = append(a.began[l.term()], l)
	case "term ended":
		a.ends[l.term()] = append(a.ends[l.term()], l)
	}
}

// nearOrders are two orders of different instances at one target. Least and Most bound the
// time between their arrivals, in seconds.
type nearOrders struct {
	Target  string    `json:"target"`
	Earlier orderFrom `json:"earlier"`
	Later   orderFrom `json:"later"`
	Least   float64   `json:"least"`
	Most    float64   `json:"most"`
	Cause   string    `json:"cause"`
}

// orderFrom is one of two orders; it arrived between Checked and Ended.
type orderFrom struct {
	Instance string    `json:"instance"`
	Token    uint64    `json:"token"`
	Checked  time.Time `json:"checked"`
	Ended    time.Time `json:"ended"`
}

func newOrderFrom(l *orderLine) orderFrom {
	return orderFrom{Instance: l.Instance, Token: l.Token, Checked: l.checkedAt(), Ended: l.Time}
}

// near returns each pair of subsequent orders at a target that are of two instances, and nearer
// than the handover or with tokens that don't rise.
func (a *orderAccount) near(handover time.Duration) []nearOrders {
	slices.SortStableFunc(a.orders, func(x, y *orderLine) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), x.checkedAt().Compare(y.checkedAt()))
	})
	var out []nearOrders
	for i := 1; i < len(a.orders); i++ {
		x, y := a.orders[i-1], a.orders[i]
		if x.Target != y.Target || x.Instance == y.Instance {
			continue
		}
		least := y.checkedAt().Sub(x.Time)
		if least >= handover && y.Token > x.Token {
			continue
		}
		out = append(out, nearOrders{
			Target: x.Target, Earlier: newOrderFrom(x), Later: newOrderFrom(y),
			Least: least.Seconds(), Most: y.Time.Sub(x.checkedAt()).Seconds(), Cause: a.cause(x, y, handover),
		})
	}
	return out
}

// cause returns why two orders are too near, as far as the lines tell.
func (a *orderAccount) cause(x, y *orderLine, handover time.Duration) string {
	began := a.termOf(y)
	switch {
	case y.Token <= x.Token:
		return causeToken
	case began != nil && (began.Wait == "noFormer" || began.Wait == "ownTerm"):
		return causeNoWait
	case began != nil && millis(began.Waited) < handover:
		return causeShortWait
	case a.hasOutlivedTerm(x):
		return causeOnItsWay
	}
	return causeUnknown
}

// termOf returns the line of the start of the term that an order is from, nil if there is none.
func (a *orderAccount) termOf(l *orderLine) *orderLine {
	var latest *orderLine
	for _, b := range a.began[l.term()] {
		if !b.Time.After(l.Time) && (latest == nil || b.Time.After(latest.Time)) {
			latest = b
		}
	}
	return latest
}

// hasOutlivedTerm reports whether a term of the sender ended while the order had passed its
// check and had no answer.
func (a *orderAccount) hasOutlivedTerm(l *orderLine) bool {
	return slices.ContainsFunc(a.ends[l.term()], func(end *orderLine) bool {
		return !end.Time.Before(l.checkedAt()) && end.Time.Before(l.Time)
	})
}

// Run reads the logs and prints the pairs.
func (c *OrdersCmd) Run(s Streams) error {
	a, broken := newOrderAccount(), 0
	bad, err := readLogs(c.Files, s.In, func(_, text string) {
		if !strings.Contains(text, `"token"`) {
			return
		}
		l := new(orderLine)
		if err := json.Unmarshal([]byte(text), l); err != nil {
			broken++
			return
		}
		a.add(l)
	})
	if err != nil {
		return err
	}
	reportBad(s.Err, bad+broken)
	if len(a.orders) == 0 {
		return trace.NotFound("no line of the logs tells of an order that passed its check")
	}
	pairs := a.near(c.Handover)
	if c.JSON {
		return printJSON(s.Out, pairs)
	}
	return c.print(s.Out, len(a.orders), pairs)
}

func (c *OrdersCmd) print(out io.Writer, orders int, pairs []nearOrders) error {
	fmt.Fprintf(out, "%d orders, too near: %d\n", orders, len(pairs))
	if len(pairs) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "target\tearlier\ttoken\tchecked\tended\tlater\ttoken\tchecked\tapart\tcause\n")
	const clock = "15:04:05.000"
	for _, p := range pairs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%.2f to %.2f s\t%s\n", p.Target,
			p.Earlier.Instance, p.Earlier.Token, p.Earlier.Checked.UTC().Format(clock), p.Earlier.Ended.UTC().Format(clock),
			p.Later.Instance, p.Later.Token, p.Later.Checked.UTC().Format(clock), p.Least, p.Most, p.Cause)
	}
	return trace.Wrap(w.Flush())
}
