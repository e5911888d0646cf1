package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/stand/fault"
	"chivecroft.example/chivecroft/internal/stand/plain"
	"chivecroft.example/chivecroft/internal/stand/platf"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Standin is the command that runs one of the platform's stand-ins.
type Standin struct {
	Platform Platform `cmd:"" help:"Run a key-value service, an instance list and a weight store."`
	Target   Target   `cmd:"" help:"Run a model engine."`
	Service  Service  `cmd:"" help:"Run a plain service that counts executions for each request key."`
}

// Common are the flags of every stand-in.
type Common struct {
	Listen   netip.AddrPort `help:"Address to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	Delay    time.Duration  `help:"Delay before the effect of each call."`
	DropRate float64        `help:"Share of answers to drop after the effect, 0 to 1."`
	DropNext int            `help:"Number of next answers to drop after the effect."`
	Outage   string         `help:"How the stand-in is down: refuse, hang or reset." enum:",refuse,hang,reset" default:""`
	Seed     uint64         `help:"Seed of random faults." default:"1"`
}

func (c Common) faults() (fault.Common, error) {
	f := fault.Common{
		Delay:    config.Duration(c.Delay),
		DropRate: c.DropRate,
		DropNext: c.DropNext,
		Outage:   fault.Outage(c.Outage),
	}
	return f, trace.Wrap(f.Check())
}

// Place are the flags of the stand-ins that stand on the instance list.
type Place struct {
	ID       string        `help:"Name on the instance list." required:""`
	Zone     string        `help:"Availability zone." default:"zone-1"`
	Region   string        `help:"Region." default:"region-1"`
	Platform string        `help:"Platform to register at, such as http://127.0.0.1:7000."`
	Linger   time.Duration `help:"Time between showing as leaving and stopping, on SIGTERM." default:"2s"`
}

// Ready is the line that a stand-in prints once it listens.
type Ready struct {
	Standin string         `json:"standin"`
	ID      string         `json:"id,omitempty"`
	Addr    netip.AddrPort `json:"addr"`
	URL     string         `json:"url"`
}

func ready(standin, id string, addr netip.AddrPort) error {
	line := Ready{Standin: standin, ID: id, Addr: addr, URL: "http://" + addr.String()}
	data, err := json.Marshal(line)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Println(string(data))
	return nil
}

// Platform is the command of the platform stand-in.
type Platform struct {
	Common
	ListLag       time.Duration `help:"How late the instance list shows a change." default:"500ms"`
	StoreRate     float64       `help:"Reads of the weight store that may begin a second." default:"4"`
	StoreWidth    int           `help:"Reads of the weight store that go at full speed side by side." default:"4"`
	StoreSlowdown float64       `help:"Divisor of the weight store's speed." default:"1"`
	WritesOnly    bool          `help:"Drop only the answers to writes."`
}

// Help shows examples.
func (Platform) Help() string {
	return `Examples:
  chivecroft standin platform --listen 127.0.0.1:7000
  curl -X POST -d '{"dropNext":3,"writesOnly":true}' http://127.0.0.1:7000/faults
  curl -X POST -d '{"outage":"hang"}' http://127.0.0.1:7000/faults
  curl -X POST -d '{"freeze":true}' http://127.0.0.1:7000/faults
  curl -X DELETE http://127.0.0.1:7000/faults
  curl http://127.0.0.1:7000/counts`
}

// Run serves until SIGTERM or SIGINT.
func (p *Platform) Run() error {
	common, err := p.faults()
	if err != nil {
		return err
	}
	faults := platf.Faults{Common: common, WritesOnly: p.WritesOnly, StoreSlowdown: p.StoreSlowdown}
	s := platf.New(
		platf.WithFaults(faults),
		platf.WithSeed(p.Seed),
		platf.WithListLag(p.ListLag),
		platf.WithStoreRate(p.StoreRate, p.StoreWidth),
	)
	return serve("platform", "", p.Listen, s, 0)
}

// Target is the command of the model engine stand-in.
type Target struct {
	Common
	Place
	Service       string        `help:"Service to be listed under."`
	MemoryBytes   uint64        `help:"Accelerator memory in bytes." default:"85899345920"`
	IgnoreFencing bool          `help:"Take orders with an old fencing number."`
	LoadTime      time.Duration `help:"Time of a load from the weight store at full speed." default:"2s"`
	FirstDelay    time.Duration `help:"Time to the first token without a cached prefix." default:"20ms"`
	TokenDelay    time.Duration `help:"Time between tokens." default:"2ms"`
	Concurrency   int           `help:"Requests that a replica batches, if the order does not say." default:"8"`
	LoadLag       time.Duration `help:"How old load reports get." default:"500ms"`
}

// Help shows examples.
func (Target) Help() string {
	return `Examples:
  chivecroft standin target --id bul-a-t1 --zone bul-a --region bulacan --platform http://127.0.0.1:7000
  curl http://127.0.0.1:7101/executions
  curl -X POST -d '{"cutNext":1,"cutAfter":3}' http://127.0.0.1:7101/faults
  curl -X POST http://127.0.0.1:7101/leave`
}

// Run serves until SIGTERM or SIGINT.
func (t *Target) Run() error {
	common, err := t.faults()
	if err != nil {
		return err
	}
	s := target.New(
		target.WithID(t.ID),
		target.WithService(t.Service),
		target.WithZone(t.Zone, t.Region),
		target.WithPlatform(t.Platform),
		target.WithMemory(t.MemoryBytes),
		target.WithFencing(!t.IgnoreFencing),
		target.WithLoadTime(func(string) time.Duration { return t.LoadTime }),
		target.WithDelays(t.FirstDelay, t.TokenDelay),
		target.WithConcurrency(t.Concurrency),
		target.WithLoadLag(t.LoadLag),
		target.WithFaults(target.Faults{Common: common}),
		target.WithSeed(t.Seed),
	)
	return serve("target", t.ID, t.Listen, s, t.Linger)
}

// Service is the command of the plain service stand-in.
type Service struct {
	Common
	Place
	Service string `help:"Service to be listed under." default:"echo"`
}

// Help shows examples.
func (Service) Help() string {
	return `Examples:
  chivecroft standin service --id bul-a-s1 --service ticket-desk --zone bul-a --region bulacan --platform http://127.0.0.1:7000
  curl -X POST -H 'Idempotency-Key: 7' -d seat=12 http://127.0.0.1:7201/issue
  curl http://127.0.0.1:7201/executions`
}

// Run serves until SIGTERM or SIGINT.
func (s *Service) Run() error {
	common, err := s.faults()
	if err != nil {
		return err
	}
	server := plain.New(
		plain.WithID(s.ID),
		plain.WithService(s.Service),
		plain.WithZone(s.Zone, s.Region),
		plain.WithPlatform(s.Platform),
		plain.WithFaults(plain.Faults{Common: common}),
		plain.WithSeed(s.Seed),
	)
	return serve("service", s.ID, s.Listen, server, s.Linger)
}

// standin is what the three have in common.
type standin interface {
	Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error)
	Close()
}

// drainer is a stand-in that leaves before it stops.
type drainer interface {
	Leave()
	Drain(ctx context.Context) error
}

const drainTimeout = 30 * time.Second

func serve(name, id string, listen netip.AddrPort, s standin, linger time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	addr, err := s.Start(ctx, listen)
	if err != nil {
		return trace.Wrap(err)
	}
	defer s.Close()
	if err := ready(name, id, addr); err != nil {
		return err
	}
	<-ctx.Done()
	if d, ok := s.(drainer); ok {
		return leave(d, linger)
	}
	return nil
}

func leave(d drainer, linger time.Duration) error {
	d.Leave()
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return trace.Wrap(d.Drain(ctx))
}
