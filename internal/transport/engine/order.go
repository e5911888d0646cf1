package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// ErrLapsed is the cause of an order that came after its time.
var ErrLapsed = errors.New("the order's time has passed")

// Order sends an order on its own goroutine.
func (c *Client) Order(to netip.AddrPort, order ports.Order, done func(ports.OrderReply)) {
	select {
	case c.orders <- struct{}{}:
	default:
		err := trace.LimitExceeded("order %s to %s: too many orders in flight", order.Kind, to)
		done(ports.OrderReply{Status: ports.OrderUnsent, Reason: "too many orders in flight", Err: err})
		return
	}
	go func() {
		reply := c.order(to, order)
		<-c.orders
		done(reply)
	}()
}

// route returns the client and the time that an order gets.
//
// A kept connection may have gone silent, and an order that is lost on it costs
// its whole timeout and leaves its end unknown. Orders that change something
// are rare beside the requests, so each gets a connection that was opened for
// it. Reports are frequent and change nothing: they go over kept connections,
// with a shorter timeout, after which the others to that engine are retired.
func (c *Client) route(order ports.Order) (*http.Client, time.Duration) {
	if order.Kind == ports.OrderReport {
		return c.http, c.callTimeout
	}
	return c.fresh, c.orderTimeout
}

// order sends an order whose time is checked immediately before each write to
// the socket: time spent on dialling or on a busy machine counts too.
func (c *Client) order(to netip.AddrPort, order ports.Order) ports.OrderReply {
	over, limit := c.route(order)
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	ctx, call := gate.Track(ctx, func() error { return c.inTime(order) })
	resp, err := c.send(ctx, over, to, http.MethodPost, wire.PathOrder, order)
	if err != nil {
		sent := call.Seal()
		c.suspect(to, err)
		return lostOrder(to, order, sent, err)
	}
	defer resp.Body.Close()
	data, err := c.replies.ReadAll(resp.Body)
	if err != nil {
		call.Seal()
		c.suspect(to, err)
		return lostOrder(to, order, true, err)
	}
	call.Release()
	reply, err := decodeOrder(resp.StatusCode, data)
	if err != nil {
		return lostOrder(to, order, true, err)
	}
	return reply
}

func (c *Client) inTime(order ports.Order) error {
	if order.NotAfter.IsZero() || c.timer.Now().Before(order.NotAfter) {
		return nil
	}
	return ErrLapsed
}

func lostOrder(to netip.AddrPort, order ports.Order, sent bool, err error) ports.OrderReply {
	status := ports.OrderUnsent
	if sent {
		status = ports.OrderUnknown
	}
	return ports.OrderReply{
		Status: status,
		Reason: err.Error(),
		Err:    trace.Wrap(err, "order %s to %s", order.Kind, to),
	}
}

// decodeOrder takes an answer only if it is whole and says how the order ended.
func decodeOrder(status int, data []byte) (ports.OrderReply, error) {
	if status != http.StatusOK {
		return ports.OrderReply{}, fmt.Errorf("HTTP status %d", status)
	}
	var reply ports.OrderReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return ports.OrderReply{}, err
	}
	switch reply.Status {
	case ports.OrderTaken, ports.OrderFenced, ports.OrderRefused:
		return reply, nil
	}
	return ports.OrderReply{}, fmt.Errorf("undefined status %q", reply.Status)
}
