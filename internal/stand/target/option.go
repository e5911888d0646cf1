package target

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Option changes a Server under construction.
type Option func(*Server)

// WithID names the target.
func WithID(id string) Option {
	return func(s *Server) { s.row.ID = id }
}

// WithBoot sets the engine's incarnation, random otherwise.
func WithBoot(boot string) Option {
	return func(s *Server) { s.boot = boot }
}

// WithService sets the service that the target is listed under.
func WithService(service string) Option {
	return func(s *Server) { s.row.Service = service }
}

// WithZone sets where the target is.
func WithZone(zone, region string) Option {
	return func(s *Server) { s.row.Zone, s.row.Region = zone, region }
}

// WithPlatform sets the platform's address, such as "http://192.0.2.7:7000":
// the target registers there and loads through its weight store.
func WithPlatform(baseURL string) Option {
	return func(s *Server) { s.platform = baseURL }
}

// WithMemory sets the accelerator memory.
func WithMemory(memoryBytes uint64) Option {
	return func(s *Server) { s.memoryBytes = memoryBytes }
}

// WithFencing tells whether the engine refuses orders with an old epoch.
func WithFencing(checks bool) Option {
	return func(s *Server) { s.checksFence = checks }
}

// WithCached sets the tiers at which checkpoints are cached at the start.
func WithCached(cached map[string]ports.Tier) Option {
	return func(s *Server) { s.cachedAt = cached }
}

// WithLoadTime sets how long a load from the weight store takes at full speed.
func WithLoadTime(of func(checkpoint string) time.Duration) Option {
	return func(s *Server) { s.loadTime = of }
}

// WithDelays sets the time to the first token and between tokens.
func WithDelays(first, token time.Duration) Option {
	return func(s *Server) { s.firstDelay, s.tokenDelay = first, token }
}

// WithConcurrency sets how many requests a replica batches if the order does
// not say.
func WithConcurrency(n int) Option {
	return func(s *Server) { s.concurrency = n }
}

// WithCache sets how many prefixes a replica holds, how late its events are
// published and which share of them is lost.
func WithCache(size int, lag time.Duration, loss float64) Option {
	return func(s *Server) { s.cacheSize, s.eventLag, s.eventLoss = size, lag, loss }
}

// WithLoadLag sets how old load reports get.
func WithLoadLag(d time.Duration) Option {
	return func(s *Server) { s.loadLag = d }
}

// WithAdapterTime sets the least time of an adapter load and how much longer
// single adapters may take.
func WithAdapterTime(least, spread time.Duration) Option {
	return func(s *Server) { s.adapterLeast, s.adapterMore = least, spread }
}

// WithFaults sets the faults at the start.
func WithFaults(f Faults) Option {
	return func(s *Server) { s.faults = f }
}

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.seed = seed }
}

func newBoot() string {
	var b [8]byte
	// Read never fails; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
