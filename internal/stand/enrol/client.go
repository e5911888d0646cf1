package enrol

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
)

const (
	callTimeout = time.Second
	retryPeriod = 200 * time.Millisecond
)

// Client registers one row and tries again until the platform takes it.
type Client struct {
	base   string
	cancel context.CancelFunc
	ctx    context.Context

	mu   sync.Mutex
	row  ports.Instance
	news chan struct{}
}

// New returns a client that has begun to register row at the platform.
func New(baseURL string, row ports.Instance) *Client {
	c := &Client{base: baseURL, row: row, news: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wake()
	go c.run()
	return c
}

// Leave shows the row as leaving.
func (c *Client) Leave() {
	c.mu.Lock()
	c.row.Leaving = true
	c.mu.Unlock()
	c.wake()
}

// Remove takes the row off the list.
func (c *Client) Remove(ctx context.Context) error {
	c.cancel()
	return c.send(ctx, http.MethodDelete, nil)
}

// Drain waits for the work under way and takes the row off the list; a nil
// Client only waits.
func (c *Client) Drain(ctx context.Context, active *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "waiting for the work under way")
	}
	if c == nil {
		return nil
	}
	return trace.Wrap(c.Remove(ctx))
}

// Close stops registering and leaves the list as it is.
func (c *Client) Close() {
	c.cancel()
}

func (c *Client) wake() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

func (c *Client) run() {
	for {
		select {
		case <-c.news:
		case <-c.ctx.Done():
			return
		}
		for c.register() != nil {
			select {
			case <-time.After(retryPeriod):
			case <-c.ctx.Done():
				return
			}
		}
	}
}

func (c *Client) register() error {
	c.mu.Lock()
	row := c.row
	c.mu.Unlock()
	data, err := json.Marshal(row)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.send(c.ctx, http.MethodPut, data)
}

func (c *Client) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	address := c.base + wire.PathInstances + "/" + url.PathEscape(c.row.ID)
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err, "%s row at %s", method, c.base)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return trace.BadParameter("%s row at %s: HTTP status %d", method, c.base, resp.StatusCode)
	}
	return nil
}
