package policy

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of the options, and the concurrency assumed for a model that states none.
const (
	defaultKeepAlive        = 10 * time.Minute
	defaultMaxKeepAlive     = 4 * time.Hour
	defaultAcceleratorBytes = 80 << 30
	defaultMaxPreloads      = 2
	defaultConcurrency      = 8
)

// Option sets a parameter of New or Plain.
type Option func(*settings)

type settings struct {
	keepAlive        time.Duration
	maxKeepAlive     time.Duration
	acceleratorBytes uint64
	maxPreloads      int
}

// WithKeepAlive sets how long the policies of Plain keep an idle replica.
func WithKeepAlive(d time.Duration) Option {
	return func(s *settings) { s.keepAlive = d }
}

// WithMaxKeepAlive sets the maximum time for which the policies of New keep an idle replica
// if the operators have set none for the model.
func WithMaxKeepAlive(d time.Duration) Option {
	return func(s *settings) { s.maxKeepAlive = d }
}

// WithAcceleratorBytes sets the memory of one accelerator in bytes. An idle replica counts
// as the fraction of an accelerator that its memory takes.
func WithAcceleratorBytes(n uint64) Option {
	return func(s *settings) { s.acceleratorBytes = n }
}

// WithPreloads sets the maximum number of models that one decision preloads; 0 turns
// preloading off.
func WithPreloads(n int) Option {
	return func(s *settings) { s.maxPreloads = n }
}

func newSettings(opts []Option) settings {
	s := settings{
		keepAlive:        defaultKeepAlive,
		maxKeepAlive:     defaultMaxKeepAlive,
		acceleratorBytes: defaultAcceleratorBytes,
		maxPreloads:      defaultMaxPreloads,
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
	if s.maxPreloads < 0 {
		errs = append(errs, trace.BadParameter("policy preloads is %d, accepted is 0 or more", s.maxPreloads))
	}
	return trace.NewAggregate(errs...)
}
