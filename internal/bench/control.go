package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/stand/plain"
)

// Deployment is what a run works against: the entries, and the stand-ins behind
// them as far as they may be made to fail and asked what they ran.
type Deployment struct {
	// Entries are the callers' URLs, Metrics those of the entries' metrics.
	Entries []string
	Metrics []string
	Key     string
	// Platform, Targets and Services are URLs of stand-ins, empty where there
	// are none or where they are not to be touched.
	Platform string
	Targets  []string
	Services []string
	// Close stops what was started for the run; it may be nil.
	Close func()
}

const controlTimeout = 2 * time.Second

// control talks to the stand-ins, on connections of its own, so that freezing
// the others does not hit it.
type control struct {
	deployment Deployment
	client     *http.Client
}

func newControl(d Deployment) *control {
	return &control{deployment: d, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// faultOf returns the address of a trouble's stand-in and the faults to set,
// and false where there is no such stand-in.
func (c *control) faultOf(t Trouble) (url, faults string, ok bool) {
	d := c.deployment
	switch t.Kind {
	case TroubleKVHang:
		return d.Platform, `{"outage":"hang"}`, d.Platform != ""
	case TroubleKVDrop:
		return d.Platform, `{"dropRate":0.2,"writesOnly":true}`, d.Platform != ""
	case TroubleStoreSlow:
		return d.Platform, `{"storeSlowdown":4}`, d.Platform != ""
	case TroubleTargetFreeze:
		url, ok = pick(d.Targets, t.Target)
		return url, `{"freeze":true}`, ok
	case TroubleTargetCut:
		url, ok = pick(d.Targets, t.Target)
		return url, `{"cutNext":3,"cutAfter":4}`, ok
	case TroubleServiceDrop:
		url, ok = pick(d.Services, t.Target)
		return url, `{"dropNext":3}`, ok
	}
	return "", "", false
}

func pick(urls []string, n int) (string, bool) {
	if len(urls) == 0 {
		return "", false
	}
	return urls[n%len(urls)], true
}

// begin brings a trouble about and returns what ends it.
func (c *control) begin(ctx context.Context, t Trouble) (func(context.Context) error, error) {
	url, faults, ok := c.faultOf(t)
	if !ok {
		return nil, trace.NotFound("no stand-in for %s", t.Kind)
	}
	if err := c.send(ctx, http.MethodPost, url, faults); err != nil {
		return nil, trace.Wrap(err)
	}
	return func(ctx context.Context) error { return c.send(ctx, http.MethodDelete, url, "") }, nil
}

func (c *control) send(ctx context.Context, method, url, body string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url+"/faults", strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return trace.Wrap(err, "set faults of %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("set faults of %s: HTTP status %d", url, resp.StatusCode)
	}
	return nil
}

// runs adds up how often the plain services ran each request key.
func (c *control) runs(ctx context.Context) (map[string]int, error) {
	sum := make(map[string]int)
	for _, url := range c.deployment.Services {
		var e plain.Executions
		if err := c.read(ctx, url+"/executions", &e); err != nil {
			return nil, trace.Wrap(err)
		}
		for key, n := range e.Runs {
			sum[key] += n
		}
	}
	return sum, nil
}

func (c *control) read(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return trace.Wrap(err, "read %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("read %s: HTTP status %d", url, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	return nil
}
