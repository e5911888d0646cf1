package opapi

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"

	"chivecroft.example/chivecroft/api/gen/http/operator/client"
	"chivecroft.example/chivecroft/api/gen/operator"
)

// Client calls the operators' API of one entry.
type Client struct {
	api *operator.Client
	key string
}

// NewClient returns a client of the entry at base, which uses key.
func NewClient(base, key string, doer *http.Client) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, trace.BadParameter("%q is not an entry's URL such as http://127.0.0.1:8081", base)
	}
	c := client.NewClient(u.Scheme, u.Host, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{
		api: operator.NewClient(c.Patch(), c.Config(), c.History(), c.Status(), c.Day(), c.Drain()),
		key: "Bearer " + key,
	}, nil
}

// Patch applies a patch given as JSON.
func (c *Client) Patch(ctx context.Context, body io.ReadCloser) (*operator.PatchResult, error) {
	return c.api.Patch(ctx, &operator.PatchPayload{Key: c.key}, body)
}

// Config reads the configuration at a version, 0 for the one in force.
func (c *Client) Config(ctx context.Context, version uint64) (any, error) {
	return c.api.Config(ctx, &operator.ConfigPayload{Key: c.key, Version: version})
}

// History lists the patches after a version.
func (c *Client) History(ctx context.Context, after uint64, limit int) (any, error) {
	return c.api.History(ctx, &operator.HistoryPayload{Key: c.key, After: after, Limit: limit})
}

// Status tells how the entry sees the deployment.
func (c *Client) Status(ctx context.Context) (*operator.StatusResult, error) {
	return c.api.Status(ctx, &operator.StatusPayload{Key: c.key})
}

// Day reads the day page of a date, empty for today.
func (c *Client) Day(ctx context.Context, date string) (any, error) {
	return c.api.Day(ctx, &operator.DayPayload{Key: c.key, Date: date})
}

// Drain drains the entry, a target or a zone, or takes the latter two back.
func (c *Client) Drain(ctx context.Context, scope, name string, undo bool) (*operator.DrainResult, error) {
	return c.api.Drain(ctx, &operator.DrainPayload{Key: c.key, Scope: scope, Name: name, Undo: undo})
}
