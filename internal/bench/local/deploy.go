package local

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
	"chivecroft.example/chivecroft/internal/transport/opapi"
)

const (
	settleTimeout = 60 * time.Second
	settlePoll    = 50 * time.Millisecond
	firstDelay    = 20 * time.Millisecond
	tokenDelay    = 2 * time.Millisecond
)

// Deploy starts a deployment in the given shape, applies the shape's patch and
// waits until it is in force at every entry.
func Deploy(ctx context.Context, shape bench.Shape, key string) (*bench.Deployment, error) {
	running, err := demo.Deploy(ctx, demoShape(shape))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := configure(ctx, running, shape, key); err != nil {
		running.Close()
		return nil, trace.Wrap(err)
	}
	d := &bench.Deployment{Key: key, Platform: running.Platform.URL(), Close: running.Close}
	for n := range running.Entries {
		d.Entries = append(d.Entries, running.Callers(n))
	}
	for _, t := range running.Targets {
		d.Targets = append(d.Targets, t.URL())
	}
	for _, s := range running.Services {
		d.Services = append(d.Services, s.URL())
	}
	// All entries share this process, so one of them reports for all, and the
	// stand-ins and callers besides: no processor time is given here.
	return d, nil
}

func demoShape(shape bench.Shape) demo.Shape {
	s := demo.Shape{
		ModelService: shape.ModelService,
		PlainService: shape.PlainService,
		MemoryBytes:  shape.MemoryBytes,
		LoadTime:     shape.LoadTime,
		FirstDelay:   firstDelay,
		TokenDelay:   tokenDelay,
	}
	for _, z := range shape.Zones {
		s.Zones = append(s.Zones, demo.Zone(z))
	}
	return s
}

func configure(ctx context.Context, running *demo.Deployment, shape bench.Shape, key string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	data, err := json.Marshal(shape.Patch(key))
	if err != nil {
		return trace.Wrap(err)
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	api, err := opapi.NewClient(running.Operators(0), demo.OperatorKey, client)
	if err != nil {
		return trace.Wrap(err)
	}
	result, err := api.Patch(ctx, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return trace.Wrap(err, "patch")
	}
	for n := range running.Entries {
		if err := settle(ctx, running.Operators(n), result.Version, client); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// settle waits until an entry has the version, and every shard of its zone an
// owner.
func settle(ctx context.Context, url string, version uint64, client *http.Client) error {
	api, err := opapi.NewClient(url, demo.OperatorKey, client)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		status, err := api.Status(ctx)
		if err != nil {
			return trace.Wrap(err, "wait for version %d at %s", version, url)
		}
		owned := 0
		for _, m := range status.Members {
			if m.Zone == status.Zone {
				owned += len(m.Shards)
			}
		}
		if status.Ready && status.ConfigVersion >= version && owned >= len(status.Shards) {
			return nil
		}
		time.Sleep(settlePoll)
	}
}
