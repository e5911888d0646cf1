package fleet

import (
	"fmt"
	"reflect"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Oracle knows every accepted patch and checks what each entry does against it.
type Oracle struct {
	// Errors are the broken promises, in order.
	Errors []string

	folds    []*config.Config
	accepted map[config.Version]config.Patch
	versions map[string]config.Version
	inForce  map[string]config.Version
	logged   map[string]config.Version
	// retain is for how many patches IDs are remembered, zero for all.
	retain config.Version
}

func newOracle() *Oracle {
	return &Oracle{
		folds:    []*config.Config{{}},
		accepted: make(map[config.Version]config.Patch),
		versions: make(map[string]config.Version),
		inForce:  make(map[string]config.Version),
		logged:   make(map[string]config.Version),
	}
}

func (o *Oracle) fail(format string, args ...any) {
	o.Errors = append(o.Errors, fmt.Sprintf(format, args...))
}

// Newest returns the highest version in the log.
func (o *Oracle) Newest() config.Version {
	return config.Version(len(o.folds) - 1)
}

// Logged returns the version under which the log holds a patch, and false if it
// does not; a patch that stands there twice is a broken promise.
func (o *Oracle) Logged(id string) (config.Version, bool) {
	v, ok := o.logged[id]
	return v, ok
}

func (o *Oracle) started(id string) {
	delete(o.inForce, id)
}

// answered checks that a number is given to one patch and a patch gets one number.
func (o *Oracle) answered(p config.Patch, a cfglog.PatchAnswered) {
	if a.Err != nil {
		return
	}
	if first, ok := o.versions[p.ID]; ok && first != a.Version && o.remembered(first, a.Version) {
		o.fail("patch %s got version %d and %d", p.ID, first, a.Version)
	}
	if logged, ok := o.logged[p.ID]; !ok || logged != a.Version {
		o.fail("patch %s was answered with version %d, the log has it as %d", p.ID, a.Version, logged)
	}
	o.versions[p.ID] = a.Version
	if before, ok := o.accepted[a.Version]; ok && before.ID != p.ID {
		o.fail("version %d was given to patches %s and %s", a.Version, before.ID, p.ID)
	}
	o.accepted[a.Version] = p
}

// remembered reports whether the ID of a patch must still be known when a later
// version is given.
func (o *Oracle) remembered(first, later config.Version) bool {
	return o.retain == 0 || later <= first+o.retain
}

// configChanged checks that an entry goes forward only, to what the log says.
func (o *Oracle) configChanged(e *Entry, c *config.Config) {
	if before, ok := o.inForce[e.Self.ID]; ok && c.Version <= before {
		o.fail("%s went from version %d to %d", e.Self.ID, before, c.Version)
	}
	o.inForce[e.Self.ID] = c.Version
	o.extend(e.fleet)
	if int(c.Version) >= len(o.folds) {
		o.fail("%s adopted version %d, which the log does not hold", e.Self.ID, c.Version)
		return
	}
	if want := o.folds[c.Version]; !reflect.DeepEqual(want, c) {
		o.fail("%s has another version %d than the log:\n%s", e.Self.ID, c.Version, cmp.Diff(want, c))
	}
}

// extend folds the log entries that are new in the store.
func (o *Oracle) extend(f *Fleet) {
	for {
		last := o.folds[len(o.folds)-1]
		record, ok := readLog(f, last.Version+1)
		if !ok {
			return
		}
		next, err := config.Replay(last, record.Patch)
		if err != nil {
			o.fail("log entry %d does not follow: %v", last.Version+1, err)
			return
		}
		if before, ok := o.logged[record.Patch.ID]; ok && o.remembered(before, next.Version) {
			o.fail("patch %s stands in the log as version %d and %d", record.Patch.ID, before, next.Version)
		}
		o.logged[record.Patch.ID] = next.Version
		o.folds = append(o.folds, next)
	}
}

func readLog(f *Fleet, v config.Version) (config.Record, bool) {
	value, ok := f.Value(LogKey(v))
	if !ok {
		return config.Record{}, false
	}
	record, err := config.DecodeRecord(v, value)
	return record, err == nil
}
