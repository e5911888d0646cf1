package policy

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of the options.
const (
	defaultKeepAlive        = 10 * time.Minute
	defaultMaxKeepAlive     = 4 * time.Hour
	defaultAcceleratorBytes = 80 << 30
	defaultPreloads         = 2
	defaultConcurrency      = 8
)

// Option changes a Set under construction.
type Option func(*settings)

type settings struct {
	keepAlive        time.Duration
	maxKeepAlive     time.Duration
	acceleratorBytes uint64
	preloads         int
}

// WithKeepAlive sets how long Plain keeps an idle replica.
func WithKeepAlive(d time.Duration) Option {
	return func(s *settings) { s.keepAlive = d }
}

// WithMaxKeepAlive bounds how long New keeps an idle replica that no operator's rule bounds.
func WithMaxKeepAlive(d time.Duration) Option {
	return func(s *settings) { s.maxKeepAlive = d }
}

// WithAcceleratorBytes sets the memory of one accelerator, by which idle hours are counted.
func WithAcceleratorBytes(n uint64) Option {
	return func(s *settings) { s.acceleratorBytes = n }
}

// WithPreloads bounds the models that one decision loads ahead of use; 0 turns preloading off.
func WithPreloads(n int) Option {
	return func(s *settings) { s.preloads = n }
}

func newSettings(opts []Option) settings {
	s := settings{
		keepAlive:        defaultKeepAlive,
		maxKeepAlive:     defaultMaxKeepAlive,
		acceleratorBytes: defaultAcceleratorBytes,
		preloads:         defaultPreloads,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

func (s settings) check() error {
	var errs []error
	if s.keepAlive < 0 || s.maxKeepAlive <= 0 {
		errs = append(errs, trace.BadParameter("policy keep-alive is %v and its maximum %v, neither may be negative nor the maximum 0",
			s.keepAlive, s.maxKeepAlive))
	}
	if s.acceleratorBytes == 0 {
		errs = append(errs, trace.BadParameter("policy accelerator memory is 0 bytes, it has to be above"))
	}
	if s.preloads < 0 {
		errs = append(errs, trace.BadParameter("policy preloads is %d, accepted is 0 or more", s.preloads))
	}
	return trace.NewAggregate(errs...)
}
