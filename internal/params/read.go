package params

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// Fault is one thing that is wrong in a file of settings.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Problem string
	Accepts string
}

// Error names the place, the value and what is accepted there.
func (f Fault) Error() string {
	place := f.File
	if f.Section != "" {
		place += fmt.Sprintf(": [%s]", f.Section)
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	text := place + ": " + f.Problem
	if f.Value != "" {
		text = fmt.Sprintf("%s = %q: %s", place, f.Value, f.Problem)
	}
	if f.Accepts != "" {
		text += "; accepted: " + f.Accepts
	}
	return text
}

// Faults are all the things that are wrong.
type Faults []Fault

// Error lists every fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Read reads and checks a file of settings; the error is a Faults if the file
// could be read.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse checks settings given as text; name stands for the file in errors.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false, IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return Settings{}, trace.Wrap(Faults{{File: name, Problem: err.Error(), Accepts: "INI sections and key = value lines"}})
	}
	r := reader{name: name, file: file}
	r.unknown()
	for _, f := range fields {
		r.read(f)
	}
	if len(r.faults) == 0 {
		r.contradictions()
	}
	if len(r.faults) > 0 {
		return Settings{}, trace.Wrap(r.faults)
	}
	r.settings.fill()
	return r.settings, nil
}

// CheckBind tries whether the listeners' addresses belong to this machine.
func (s Settings) CheckBind(ctx context.Context, file string) error {
	var faults Faults
	for _, l := range s.listeners() {
		addr := net.JoinHostPort(l.listener.Listen.Addr().String(), "0")
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			faults = append(faults, Fault{
				File: file, Section: l.section, Key: "listen", Value: l.listener.Listen.String(),
				Problem: "cannot be bound: " + rootCause(err), Accepts: "an address of this machine",
			})
			continue
		}
		_ = listener.Close()
	}
	if len(faults) > 0 {
		return trace.Wrap(faults)
	}
	return nil
}

func rootCause(err error) string {
	var sys *os.SyscallError
	if errors.As(err, &sys) {
		return sys.Err.Error()
	}
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}

type namedListener struct {
	section  string
	listener Listener
}

func (s Settings) listeners() []namedListener {
	return []namedListener{
		{"callers", s.Callers},
		{"operators", s.Operators.Listener},
		{"peers", s.Peers},
	}
}

// fill sets what follows from other settings.
func (s *Settings) fill() {
	for _, l := range []*Listener{&s.Callers, &s.Operators.Listener, &s.Peers} {
		if !l.Advertise.IsValid() {
			l.Advertise = l.Listen
		}
	}
}

type reader struct {
	name     string
	file     *ini.File
	settings Settings
	faults   Faults
}

func (r *reader) add(f Fault) {
	f.File = r.name
	r.faults = append(r.faults, f)
}

// unknown reports sections and keys that no field reads, and keys given twice.
func (r *reader) unknown() {
	known := make(map[string][]string)
	for _, f := range fields {
		known[f.section] = append(known[f.section], f.key)
	}
	for _, section := range r.file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && section.Name() != ini.DefaultSection {
			r.add(Fault{Section: section.Name(), Problem: "unknown section", Accepts: sectionNames()})
			continue
		}
		for _, key := range section.Keys() {
			r.unknownKey(section.Name(), key, keys)
		}
	}
}

func (r *reader) unknownKey(section string, key *ini.Key, known []string) {
	if !slices.Contains(known, key.Name()) {
		accepts := strings.Join(known, ", ")
		if section == ini.DefaultSection {
			accepts = "keys below a section: " + sectionNames()
		}
		r.add(Fault{Section: section, Key: key.Name(), Value: key.Value(), Problem: "unknown key", Accepts: accepts})
		return
	}
	if values := key.ValueWithShadows(); len(values) > 1 {
		r.add(Fault{Section: section, Key: key.Name(), Value: strings.Join(values, " and "), Problem: "given twice", Accepts: "one value"})
	}
}

func (r *reader) read(f field) {
	value := f.fallback
	section, err := r.file.GetSection(f.section)
	if err == nil && section.HasKey(f.key) {
		value = section.Key(f.key).Value()
	}
	if value == "" {
		if f.required {
			r.add(Fault{Section: f.section, Key: f.key, Problem: "is missing", Accepts: f.accepts})
		}
		return
	}
	if err := f.set(&r.settings, value); err != nil {
		r.add(Fault{Section: f.section, Key: f.key, Value: value, Problem: err.Error(), Accepts: f.accepts})
	}
}

// contradictions reports settings that are fine alone but not together.
func (r *reader) contradictions() {
	s := &r.settings
	r.listenerContradictions()
	if longest := max(s.Requests.Deadline, s.Requests.DeferrableDeadline); s.Requests.MaxDeadline < longest {
		r.add(Fault{
			Section: "requests", Key: "maxDeadline", Value: s.Requests.MaxDeadline.String(),
			Problem: "is shorter than deadline or deferrableDeadline", Accepts: "at least " + longest.String(),
		})
	}
	if s.Platform.LeaseTTL < minLeaseTimeouts*s.Platform.Timeout {
		r.add(Fault{
			Section: "platform", Key: "leaseTTL", Value: s.Platform.LeaseTTL.String(),
			Problem: "leaves no time to renew after one lost answer",
			Accepts: fmt.Sprintf("at least %d times timeout, %v", minLeaseTimeouts, minLeaseTimeouts*s.Platform.Timeout),
		})
	}
	if s.Policy.ColdStartWeight == 0 && s.Policy.IdleHoursWeight == 0 {
		r.add(Fault{
			Section: "policy", Key: "coldStartWeight", Value: "0",
			Problem: "both weights are 0", Accepts: "one of coldStartWeight and idleHoursWeight above 0",
		})
	}
}

// minLeaseTimeouts is how many KV calls must be able to time out within a lease.
const minLeaseTimeouts = 3

func (r *reader) listenerContradictions() {
	seen := make(map[string]string)
	for _, l := range r.settings.listeners() {
		addr := l.listener.Listen.String()
		if other, taken := seen[addr]; taken && l.listener.Listen.Port() != 0 {
			r.add(Fault{
				Section: l.section, Key: "listen", Value: addr,
				Problem: "is also the address of [" + other + "]", Accepts: "a different port for each listener",
			})
		}
		seen[addr] = l.section
		r.advertiseContradiction(l)
		r.tlsContradictions(l)
	}
}

func (r *reader) advertiseContradiction(l namedListener) {
	if l.section == "peers" && l.listener.Listen.Addr().IsUnspecified() && !l.listener.Advertise.IsValid() {
		r.add(Fault{
			Section: l.section, Key: "advertise", Problem: "is missing, and listen names no address that peers can use",
			Accepts: addrAccepts,
		})
	}
}

func (r *reader) tlsContradictions(l namedListener) {
	cert, key, ca := l.listener.TLSCert, l.listener.TLSKey, l.listener.TLSCA
	if (cert == "") != (key == "") {
		r.add(Fault{Section: l.section, Key: "tlsCert", Value: cert, Problem: "tlsCert and tlsKey belong together", Accepts: "both or neither"})
	}
	if ca != "" && cert == "" {
		r.add(Fault{Section: l.section, Key: "tlsCA", Value: ca, Problem: "a CA without tlsCert verifies nobody", Accepts: "tlsCert and tlsKey besides"})
	}
	if l.section == "peers" && cert != "" && ca == "" {
		r.add(Fault{Section: l.section, Key: "tlsCA", Problem: "is missing; TLS between entries is mutual", Accepts: fileAccepts})
	}
	for _, f := range []struct{ key, path string }{{"tlsCert", cert}, {"tlsKey", key}, {"tlsCA", ca}} {
		r.readable(l.section, f.key, f.path)
	}
}

func (r *reader) readable(section, key, path string) {
	if path == "" {
		return
	}
	if _, err := os.ReadFile(path); err != nil {
		r.add(Fault{Section: section, Key: key, Value: path, Problem: rootCause(err), Accepts: fileAccepts})
	}
}

func sectionNames() string {
	var names []string
	for _, f := range fields {
		if !slices.Contains(names, f.section) {
			names = append(names, f.section)
		}
	}
	return strings.Join(names, ", ")
}
