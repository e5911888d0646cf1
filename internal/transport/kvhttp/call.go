package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// replyBytes bounds an answer: a full list of large values.
const replyBytes = 64 << 20

// repliesBytes bounds what all answers that are being read hold. The largest one needs one and
// a half times its size while its buffer grows.
const repliesBytes = 96 << 20

func (c *Client) call(req ports.KVRequest) ports.KVReply {
	path, body := encode(req)
	status, answer, sent, err := c.roundTrip(path, body, c.limit(req))
	if err != nil {
		return c.failed(req, lost(req, sent), err)
	}
	reply, err := decode(req, answer)
	if err == nil {
		if reply.Status != ports.KVUnavailable && reply.Status != ports.KVUnknown {
			c.answered()
		}
		return reply
	}
	return c.failed(req, refused(req, status), fmt.Errorf("HTTP status %d: %w", status, err))
}

// roundTrip tells, beside the answer, whether the request may have been sent.
func (c *Client) roundTrip(path string, body wire.KVRequest, limit time.Duration) (int, []byte, bool, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, false, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	ctx, call := gate.Track(ctx, nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		sent := call.Seal()
		c.suspect(err)
		return 0, nil, sent, err
	}
	defer resp.Body.Close()
	answer, err := c.replies.ReadAll(resp.Body)
	if err != nil {
		call.Seal()
		c.suspect(err)
		return 0, nil, true, err
	}
	call.Release()
	return resp.StatusCode, answer, true, nil
}

// suspect retires the open connections after a timeout: what made one silent has
// probably lost track of the others too, and each would cost a timeout of its own.
func (c *Client) suspect(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.dialer.Retire(c.address)
	}
}

func (c *Client) limit(req ports.KVRequest) time.Duration {
	if w, ok := req.(ports.KVWatch); ok {
		return w.Wait + c.watchMargin
	}
	return c.timeout
}

func (c *Client) failed(req ports.KVRequest, status ports.KVStatus, err error) ports.KVReply {
	return ports.KVReply{Status: status, Err: trace.Wrap(err, "%s to %s", stepOf(req), c.base)}
}

// lost is the end of a call without a whole answer. Reads and watches change
// nothing, so it does not matter whether the service saw them.
func lost(req ports.KVRequest, sent bool) ports.KVStatus {
	if !sent || !changes(req) {
		return ports.KVUnavailable
	}
	return ports.KVUnknown
}

// refused is the end of a call that was answered by something other than a
// well-formed reply, for instance by a balancer. Only statuses that say that
// the request was not processed are taken at their word.
func refused(req ports.KVRequest, status int) ports.KVStatus {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusUnauthorized, http.StatusForbidden:
		return ports.KVInvalid
	case http.StatusTooManyRequests:
		return ports.KVUnavailable
	}
	return lost(req, true)
}

// Instances reads the instance list on its own goroutine.
func (c *Client) Instances(done func([]ports.Instance, error)) {
	c.counts.lists.Add(1)
	go func() {
		rows, err := c.instances()
		if err != nil {
			done(nil, trace.Wrap(err, "read instance list from %s", c.base))
			return
		}
		c.answered()
		done(rows, nil)
	}()
}

func (c *Client) instances() ([]ports.Instance, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	ctx, call := gate.Track(ctx, nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+wire.PathInstances, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		call.Seal()
		c.suspect(err)
		return nil, err
	}
	defer resp.Body.Close()
	data, err := c.replies.ReadAll(resp.Body)
	if err != nil {
		call.Seal()
		c.suspect(err)
		return nil, err
	}
	call.Release()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	var rows []ports.Instance
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, err
	}
	if rows == nil {
		return nil, errors.New("the answer is no list")
	}
	return rows, nil
}
