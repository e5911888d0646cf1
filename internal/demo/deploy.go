package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/entry"
	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/stand/plain"
	"chivecroft.example/chivecroft/internal/stand/platf"
	"chivecroft.example/chivecroft/internal/stand/target"
)

// The keys of every embedded deployment.
const (
	// OperatorKey is accepted by the operators' API.
	OperatorKey = "demo-operator"
	// CallerKey belongs to the tenant "residents" of the demo's patch.
	CallerKey = "demo-caller"
)

// loopback is any free port of the local address.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Zone is the shape of one availability zone.
type Zone struct {
	Name     string
	Region   string
	Entries  int
	Targets  int
	Services int
}

// Shape is what a deployment consists of.
type Shape struct {
	Zones []Zone
	// ModelService and PlainService are what targets and services run.
	ModelService string
	PlainService string
	MemoryBytes  uint64
	LoadTime     time.Duration
	FirstDelay   time.Duration
	TokenDelay   time.Duration
	// IgnoreFencing makes the targets take orders with an old epoch.
	IgnoreFencing bool
	// Settings are lines of INI that replace the defaults of every entry.
	Settings string
	Log      *log.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Platform *platf.Server
	Targets  []*target.Server
	Services []*plain.Server
	Entries  []*entry.Entry
	zones    int
}

// Deploy starts a deployment and waits until its entries own all shards.
func Deploy(ctx context.Context, shape Shape) (*Deployment, error) {
	d := &Deployment{Platform: platf.New(), zones: len(shape.Zones)}
	if err := d.start(ctx, shape); err != nil {
		d.Close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, shape Shape) error {
	at, err := d.Platform.Start(ctx, loopback)
	if err != nil {
		return trace.Wrap(err, "platform")
	}
	url := "http://" + at.String()
	for _, z := range shape.Zones {
		if err := d.startZone(ctx, shape, z, url); err != nil {
			return trace.Wrap(err, "zone %s", z.Name)
		}
	}
	return nil
}

func (d *Deployment) startZone(ctx context.Context, shape Shape, z Zone, platform string) error {
	for n := range z.Targets {
		if err := d.startTarget(ctx, shape, z, n, platform); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := range z.Services {
		s := plain.New(plain.WithID(fmt.Sprintf("%s-s%d", z.Name, n+1)), plain.WithService(shape.PlainService),
			plain.WithZone(z.Name, z.Region), plain.WithPlatform(platform))
		if _, err := s.Start(ctx, loopback); err != nil {
			return trace.Wrap(err)
		}
		d.Services = append(d.Services, s)
	}
	for n := range z.Entries {
		if err := d.startEntry(ctx, shape, z, n, platform); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (d *Deployment) startTarget(ctx context.Context, shape Shape, z Zone, n int, platform string) error {
	t := target.New(
		target.WithID(fmt.Sprintf("%s-t%d", z.Name, n+1)),
		target.WithService(shape.ModelService),
		target.WithZone(z.Name, z.Region),
		target.WithPlatform(platform),
		target.WithMemory(shape.MemoryBytes),
		target.WithFencing(!shape.IgnoreFencing),
		target.WithLoadTime(func(string) time.Duration { return shape.LoadTime }),
		target.WithDelays(shape.FirstDelay, shape.TokenDelay),
	)
	if _, err := t.Start(ctx, loopback); err != nil {
		return trace.Wrap(err)
	}
	d.Targets = append(d.Targets, t)
	return nil
}

func (d *Deployment) startEntry(ctx context.Context, shape Shape, z Zone, n int, platform string) error {
	id := fmt.Sprintf("%s-e%d", z.Name, n+1)
	settings, err := params.Parse(id+".ini", []byte(settingsText(id, z, platform, shape.Settings)))
	if err != nil {
		return trace.Wrap(err)
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return trace.Wrap(err)
	}
	settings.Peers.Listen = peers.Addr().(*net.TCPAddr).AddrPort()
	settings.Peers.Advertise = settings.Peers.Listen
	logger := shape.Log
	if logger == nil {
		logger = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	e, err := entry.New(settings, entry.WithLogger(logger), entry.WithListener(entry.ListenerPeers, peers))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := e.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.Entries = append(d.Entries, e)
	d.Platform.Register(ports.Instance{
		ID: id, Kind: ports.InstanceEntry, Zone: z.Name, Region: z.Region, Addr: e.Addr(entry.ListenerPeers),
	})
	return nil
}

func settingsText(id string, z Zone, platform, more string) string {
	return fmt.Sprintf(`
[entry]
id = %s
zone = %s
region = %s
[callers]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
keyHashes = %s
[peers]
listen = 127.0.0.1:0
[platform]
url = %s
listEvery = 500ms
%s`, id, z.Name, z.Region, KeyHash(OperatorKey), platform, more)
}

// KeyHash is the form in which keys stand in settings and configurations.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Callers returns the callers' URL of an entry.
func (d *Deployment) Callers(n int) string {
	return "http://" + d.Entries[n].Addr(entry.ListenerCallers).String()
}

// Operators returns the operators' URL of an entry.
func (d *Deployment) Operators(n int) string {
	return "http://" + d.Entries[n].Addr(entry.ListenerOperators).String()
}

// Close stops everything.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Close()
	}
	for _, t := range d.Targets {
		t.Close()
	}
	for _, s := range d.Services {
		s.Close()
	}
	d.Platform.Close()
	http.DefaultClient.CloseIdleConnections()
}
