package params

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is one key of the file: how it is parsed and what it accepts.
type field struct {
	section  string
	key      string
	accepts  string
	fallback string
	required bool
	set      func(s *Settings, value string) error
}

// bounds is an inclusive range.
type bounds[T int | int64 | float64 | time.Duration] struct{ low, high T }

func (b bounds[T]) check(v T) error {
	if v < b.low || v > b.high {
		return fmt.Errorf("out of range")
	}
	return nil
}

func (b bounds[T]) String() string {
	return fmt.Sprintf("%v to %v", b.low, b.high)
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameAccepts = "1 to 63 of a-z, 0-9, '-' and '.', beginning with a letter or digit"
	addrAccepts = "an IP address and port such as 127.0.0.1:8080"
	fileAccepts = "the path of a readable PEM file"
	hashAccepts = "lower-case hex SHA-256 sums separated by commas; make one with: printf %s KEY | sha256sum"
)

// fields are the keys of the file, in the order in which faults are reported.
var fields = slices.Concat(entryFields, listenerFields("callers", callers), operatorFields,
	listenerFields("peers", peers), seedFields, platformFields, linkFields, controlFields, policyFields, requestFields, logFields)

func callers(s *Settings) *Listener   { return &s.Callers }
func peers(s *Settings) *Listener     { return &s.Peers }
func operators(s *Settings) *Listener { return &s.Operators.Listener }

var entryFields = []field{
	nameField("entry", "id", func(s *Settings) *string { return &s.Entry.ID }),
	nameField("entry", "zone", func(s *Settings) *string { return &s.Entry.Zone }),
	nameField("entry", "region", func(s *Settings) *string { return &s.Entry.Region }),
	{
		section: "entry", key: "timeZone", accepts: "an IANA time zone such as Asia/Manila", fallback: "UTC",
		set: func(s *Settings, v string) (err error) {
			s.Entry.Location, err = time.LoadLocation(v)
			return err
		},
	},
	intField("entry", "daysKept", "30", bounds[int]{1, 3660}, func(s *Settings) *int { return &s.Entry.DaysKept }),
	durationField("entry", "drainTimeout", "10m", bounds[time.Duration]{time.Second, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Entry.DrainTimeout }),
}

var operatorFields = append(listenerFields("operators", operators), field{
	section: "operators", key: "keyHashes", accepts: hashAccepts, required: true,
	set: func(s *Settings, v string) error {
		for _, hash := range strings.Split(v, ",") {
			hash = strings.TrimSpace(hash)
			if !hashPattern.MatchString(hash) {
				return fmt.Errorf("%q is no such sum", hash)
			}
			s.Operators.KeyHashes = append(s.Operators.KeyHashes, hash)
		}
		return nil
	},
})

var seedFields = []field{{
	section: "peers", key: "seeds", accepts: "IP addresses and ports of other entries' peer listeners, separated by commas",
	set: func(s *Settings, v string) error {
		for _, text := range strings.Split(v, ",") {
			seed, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return err
			}
			s.Seeds = append(s.Seeds, seed)
		}
		return nil
	},
}}

var platformFields = []field{
	{
		section: "platform", key: "url", accepts: "an http or https URL with an IP address, such as http://127.0.0.1:9000", required: true,
		set: func(s *Settings, v string) error {
			u, err := url.Parse(v)
			if err != nil {
				return err
			}
			if u.Scheme != "http" && u.Scheme != "https" {
				return fmt.Errorf("scheme is %q", u.Scheme)
			}
			if _, err := netip.ParseAddr(u.Hostname()); err != nil {
				return err
			}
			s.Platform.URL = strings.TrimSuffix(v, "/")
			return nil
		},
	},
	durationField("platform", "timeout", "2s", bounds[time.Duration]{10 * time.Millisecond, time.Minute},
		func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
	durationField("platform", "listEvery", "2s", bounds[time.Duration]{100 * time.Millisecond, time.Minute},
		func(s *Settings) *time.Duration { return &s.Platform.ListEvery }),
	durationField("platform", "leaseTTL", "10s", bounds[time.Duration]{time.Second, 5 * time.Minute},
		func(s *Settings) *time.Duration { return &s.Platform.LeaseTTL }),
	durationField("platform", "reportEvery", "500ms", bounds[time.Duration]{50 * time.Millisecond, time.Minute},
		func(s *Settings) *time.Duration { return &s.Platform.ReportInterval }),
	intField("platform", "storeLoads", "4", bounds[int]{1, 1000}, func(s *Settings) *int { return &s.Platform.StoreSlots }),
	intField("platform", "adapterLoads", "30", bounds[int]{1, 10_000}, func(s *Settings) *int { return &s.Platform.AdapterLoads }),
	optionalName("platform", "storeRegion", func(s *Settings) *string { return &s.Platform.StoreRegion }),
}

// Bounds of what a link carries.
const (
	minLinkBits = 100_000
	maxLinkBits = 1_000_000_000_000
)

var linkFields = []field{
	{
		section: "link", key: "bitsPerSecond", accepts: fmt.Sprintf("a whole number from %d to %d", minLinkBits, maxLinkBits),
		set: func(s *Settings, v string) (err error) {
			if s.Link.BitsPerSecond, err = strconv.ParseInt(v, 10, 64); err != nil {
				return err
			}
			return bounds[int64]{minLinkBits, maxLinkBits}.check(s.Link.BitsPerSecond)
		},
	},
	floatField("link", "share", "0.5", bounds[float64]{0.01, 1}, func(s *Settings) *float64 { return &s.Link.Share }),
}

var controlFields = []field{
	intField("control", "shards", "2", bounds[int]{1, 256}, func(s *Settings) *int { return &s.Control.Shards }),
}

var policyFields = []field{
	floatField("policy", "coldStartWeight", "1", bounds[float64]{0, 100}, func(s *Settings) *float64 { return &s.Policy.ColdStartWeight }),
	floatField("policy", "idleHoursWeight", "1", bounds[float64]{0, 100}, func(s *Settings) *float64 { return &s.Policy.IdleHoursWeight }),
	durationField("policy", "keepAlive", "5m", bounds[time.Duration]{time.Second, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Policy.KeepAlive }),
	{
		section: "policy", key: "plain", accepts: "true or false", fallback: "false",
		set: func(s *Settings, v string) (err error) {
			s.Policy.Plain, err = strconv.ParseBool(v)
			return err
		},
	},
}

var requestFields = []field{
	durationField("requests", "deadline", "30s", bounds[time.Duration]{100 * time.Millisecond, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Requests.Deadline }),
	durationField("requests", "deferrableDeadline", "15m", bounds[time.Duration]{100 * time.Millisecond, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Requests.DeferrableDeadline }),
	durationField("requests", "maxDeadline", "1h", bounds[time.Duration]{100 * time.Millisecond, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Requests.MaxDeadline }),
	bytesField("requests", "chatBytes", "4194304", func(s *Settings) *int64 { return &s.Requests.ChatBytes }),
	bytesField("requests", "onceBytes", "1048576", func(s *Settings) *int64 { return &s.Requests.OnceBytes }),
	bytesField("requests", "queueBytes", "67108864", func(s *Settings) *int64 { return &s.Requests.QueueBytes }),
	intField("requests", "queueCount", "10000", bounds[int]{1, 1_000_000}, func(s *Settings) *int { return &s.Requests.QueueCount }),
	intField("requests", "inFlight", "20000", bounds[int]{1, 1_000_000}, func(s *Settings) *int { return &s.Requests.InFlight }),
	durationField("requests", "outcomeKept", "10m", bounds[time.Duration]{time.Minute, 24 * time.Hour},
		func(s *Settings) *time.Duration { return &s.Requests.OutcomeKept }),
}

var logFields = []field{
	choiceField("log", "level", "info", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	choiceField("log", "format", "json", []string{"json", "console"}, func(s *Settings) *string { return &s.Log.Format }),
}

func listenerFields(section string, of func(*Settings) *Listener) []field {
	return []field{
		{
			section: section, key: "listen", accepts: addrAccepts, required: true,
			set: func(s *Settings, v string) (err error) {
				of(s).Listen, err = netip.ParseAddrPort(v)
				return err
			},
		},
		{
			section: section, key: "advertise", accepts: addrAccepts + ", not 0.0.0.0",
			set: func(s *Settings, v string) error {
				a, err := netip.ParseAddrPort(v)
				if err != nil {
					return err
				}
				if a.Addr().IsUnspecified() {
					return fmt.Errorf("no one can reach an unspecified address")
				}
				of(s).Advertise = a
				return nil
			},
		},
		textField(section, "tlsCert", fileAccepts, func(s *Settings) *string { return &of(s).TLSCert }),
		textField(section, "tlsKey", fileAccepts, func(s *Settings) *string { return &of(s).TLSKey }),
		textField(section, "tlsCA", fileAccepts, func(s *Settings) *string { return &of(s).TLSCA }),
	}
}

func nameField(section, key string, of func(*Settings) *string) field {
	return field{
		section: section, key: key, accepts: nameAccepts, required: true,
		set: func(s *Settings, v string) error {
			if !namePattern.MatchString(v) {
				return fmt.Errorf("not a name")
			}
			*of(s) = v
			return nil
		},
	}
}

func optionalName(section, key string, of func(*Settings) *string) field {
	f := nameField(section, key, of)
	f.required = false
	return f
}

func textField(section, key, accepts string, of func(*Settings) *string) field {
	return field{section: section, key: key, accepts: accepts, set: func(s *Settings, v string) error {
		*of(s) = v
		return nil
	}}
}

func choiceField(section, key, fallback string, choices []string, of func(*Settings) *string) field {
	return field{
		section: section, key: key, fallback: fallback, accepts: "one of " + strings.Join(choices, ", "),
		set: func(s *Settings, v string) error {
			if !slices.Contains(choices, v) {
				return fmt.Errorf("not a choice")
			}
			*of(s) = v
			return nil
		},
	}
}

func durationField(section, key, fallback string, within bounds[time.Duration], of func(*Settings) *time.Duration) field {
	return field{
		section: section, key: key, fallback: fallback, accepts: "a time with its unit such as 500ms, 2s or 5m, from " + within.String(),
		set: func(s *Settings, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil {
				return err
			}
			*of(s) = d
			return within.check(d)
		},
	}
}

func intField(section, key, fallback string, within bounds[int], of func(*Settings) *int) field {
	return field{
		section: section, key: key, fallback: fallback, accepts: "a whole number from " + within.String(),
		set: func(s *Settings, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil {
				return err
			}
			*of(s) = n
			return within.check(n)
		},
	}
}

// maxBytes bounds the settings that are amounts of memory.
const maxBytes = 1 << 40

func bytesField(section, key, fallback string, of func(*Settings) *int64) field {
	within := bounds[int64]{1, maxBytes}
	return field{
		section: section, key: key, fallback: fallback, accepts: "a number of bytes from " + within.String(),
		set: func(s *Settings, v string) error {
			n, err := strconv.ParseInt(v, 10, 64)
			if err != nil {
				return err
			}
			*of(s) = n
			return within.check(n)
		},
	}
}

func floatField(section, key, fallback string, within bounds[float64], of func(*Settings) *float64) field {
	return field{
		section: section, key: key, fallback: fallback, accepts: "a number from " + within.String(),
		set: func(s *Settings, v string) error {
			x, err := strconv.ParseFloat(v, 64)
			if err != nil {
				return err
			}
			*of(s) = x
			return within.check(x)
		},
	}
}
