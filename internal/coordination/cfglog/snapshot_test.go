package cfglog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/state/config"
)

// rulePatch returns a patch that changes the same service every time, so that the
// configuration stays small no matter how many versions it has.
func rulePatch(base config.Version) config.Patch {
	p := patchOf("same", base)
	p.ID = fmt.Sprintf("p%d", base+1)
	service := p.Set.Services["service-same"]
	service.Deadline = config.Duration(base)
	p.Set.Services["service-same"] = service
	return p
}

// patchUpTo sends patches to an entry until it has version v.
func patchUpTo(t *testing.T, f *fleet.Fleet, e *fleet.Entry, v config.Version) {
	t.Helper()
	for e.Version() < v {
		if a := f.Patch(e, rulePatch(e.Version())); a.Err != nil {
			t.Fatalf("patch on version %d: %v", e.Version(), a.Err)
		}
	}
}

func (k keys) count(prefix string) int {
	n := 0
	for key := range k {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

type keys map[string]bool

func keysOf(f *fleet.Fleet) keys {
	k := make(keys)
	for _, item := range f.Store.Dump() {
		k[item.Key] = true
	}
	return k
}

// TestTrimmedLog creates more versions than the log keeps. An entry that was frozen
// meanwhile must not use a version number a second time, old versions must be readable as
// far back as the log is kept, and a repeated ID must be recognized at an entry that
// started from a snapshot.
func TestTrimmedLog(t *testing.T) {
	const versions = 4096 + 3*256 + 10
	f := startFleet(t, 20, 1, 4)
	frozen := f.Entries[3]
	acceptPatch(t, f, f.Entries[0])
	requireInForce(t, f, f.Entries, 1)
	frozen.Freeze()
	f.Cut([]*fleet.Entry{frozen}, f.Entries, true)
	patchUpTo(t, f, f.Entries[0], versions)
	f.Timer.Advance(time.Minute)
	k := keysOf(f)
	t.Logf("%d versions: %d log entries, %d snapshot chunks", versions, k.count("config/log/"), k.count("config/snap/"))
	if k[fleet.LogKey(2)] {
		t.Error("the log has not been trimmed, so the test covers nothing")
	}
	if n := k.count("config/log/"); n < 4096 || n > 4096+4*256 {
		t.Errorf("%d log entries are kept", n)
	}

	var stale *cfglog.PatchAnswered
	frozen.Ask(rulePatch(1), func(a cfglog.PatchAnswered) { stale = &a })
	frozen.Thaw()
	f.Timer.Advance(20 * time.Second)
	if stale == nil || (!errorAs[*cfglog.ConflictError](stale.Err) && !stale.Repeated) {
		t.Errorf("patch on version 1 at an entry that was frozen: %+v", stale)
	}
	if keysOf(f)[fleet.LogKey(2)] {
		t.Error("version 2 was created a second time")
	}
	f.Timer.Advance(40 * time.Second)
	if frozen.Version() != versions {
		t.Errorf("an entry that was frozen and has no peers has version %d", frozen.Version())
	}
	f.Cut([]*fleet.Entry{frozen}, f.Entries, false)
	requireInForce(t, f, f.Entries, versions)

	frozen.Start()
	requireInForce(t, f, f.Entries, versions)
	again := rulePatch(versions - 4000)
	again.Base = versions
	reads := f.Calls()["read"]
	if a := f.Patch(frozen, again); a.Err != nil || a.Version != versions-3999 || !a.Repeated {
		t.Errorf("repeated ID at an entry that has just started: %+v", a)
	}
	if n := f.Calls()["read"] - reads; n > 60 {
		t.Errorf("%d reads to load the IDs: at a latency of 2 s the patch would take %s", n, time.Duration(n)*2*time.Second)
	}

	var read config.Version
	frozen.Read(versions-4090, func(a cfglog.ReadAnswered) {
		if a.Err != nil {
			t.Error(a.Err)
			return
		}
		read = a.Config.Version
	})
	f.Timer.Advance(10 * time.Second)
	if read != versions-4090 {
		t.Errorf("read version %d", read)
	}
}

// TestRestartFromSnapshot restarts all entries at once when most of the configuration is
// in a snapshot.
func TestRestartFromSnapshot(t *testing.T) {
	f := startFleet(t, 21, 1, 3)
	patchUpTo(t, f, f.Entries[0], 300)
	f.Timer.Advance(30 * time.Second)
	if keysOf(f).count("config/snap/") == 0 {
		t.Fatal("there is no snapshot")
	}
	if !keysOf(f)[fleet.LogKey(1)] {
		t.Error("the log was trimmed though it holds fewer patches than it keeps")
	}
	before := f.Calls()["read"]
	for _, e := range f.Entries {
		e.Start()
	}
	requireInForce(t, f, f.Entries, 300)
	t.Logf("%d reads", f.Calls()["read"]-before)
}

// loggedEvents returns the LogEvent notes of an entry as text.
func loggedEvents(e *fleet.Entry) []string {
	var found []string
	for _, n := range e.Notes {
		if event, ok := n.(cfglog.LogEvent); ok {
			found = append(found, fmt.Sprintf("%s %s: %s", event.Kind, event.Subject, event.Detail))
		}
	}
	return found
}

// TestDamagedValues stores values that cannot be decoded. The last good configuration
// must stay in force, the value must not be overwritten, and a patch must be refused with
// the decoding error.
func TestDamagedValues(t *testing.T) {
	tables := []struct{ name, value, want string }{
		{"damaged", `{"format":1,"version":2,"sum":"x","patch":{}}`, "configDamage config/log/000000000002: the log entry of version 2 is damaged: the sum does not match"},
		{"newer", `{"format":2}`, "configDamage config/log/000000000002: the log entry of version 2 has format 2, this release reads up to 1"},
	}
	for _, row := range tables {
		t.Run(row.name, func(t *testing.T) {
			f := startFleet(t, 22, 1, 3)
			v := acceptPatch(t, f, f.Entries[0])
			requireInForce(t, f, f.Entries, v)
			f.Overwrite(fleet.LogKey(2), []byte(row.value))
			f.Timer.Advance(2 * time.Minute)
			a := f.Patch(f.Entries[0], patchOf("x", 1))
			if !errorAs[*config.DamagedError](a.Err) && !errorAs[*config.FormatError](a.Err) {
				t.Errorf("patch: %+v", a)
			}
			if value, _ := f.Value(fleet.LogKey(2)); string(value) != row.value {
				t.Errorf("the value was overwritten by %s", value)
			}
			for _, e := range f.Entries {
				if e.Version() != 1 {
					t.Errorf("%s has version %d", e.Self.ID, e.Version())
				}
			}
			if diff := cmp.Diff([]string{row.want}, loggedEvents(f.Entries[0])); diff != "" {
				t.Errorf("notes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDamagedHead restarts an entry while the head of the snapshots cannot be decoded.
// The entry must fetch the configuration from its peers, and no entry may overwrite the
// head.
func TestDamagedHead(t *testing.T) {
	f := startFleet(t, 23, 1, 3)
	patchUpTo(t, f, f.Entries[0], 300)
	f.Timer.Advance(30 * time.Second)
	f.Overwrite("config/head", []byte(`{"format":9}`))
	f.Entries[2].Start()
	requireInForce(t, f, f.Entries, 300)
	patchUpTo(t, f, f.Entries[0], 600)
	f.Timer.Advance(time.Minute)
	requireInForce(t, f, f.Entries, 600)
	if value, _ := f.Value("config/head"); string(value) != `{"format":9}` {
		t.Errorf("the head was overwritten by %s", value)
	}
}

// TestLostAnswersOfASnapshot loses the reply to each write of a snapshot in turn; a later
// attempt must complete the snapshot.
func TestLostAnswersOfASnapshot(t *testing.T) {
	for lost := range 3 {
		f := startFleet(t, 24, 1, 2)
		patchUpTo(t, f, f.Entries[0], 255)
		for _, e := range f.Entries {
			seen := 0
			e.Lose = func(req ports.KVRequest) bool {
				put, ok := req.(ports.KVPut)
				if !ok || strings.HasPrefix(put.Key, "config/log/") {
					return false
				}
				seen++
				return seen == lost+1
			}
		}
		patchUpTo(t, f, f.Entries[0], 256)
		f.Timer.Advance(10 * time.Second)
		patchUpTo(t, f, f.Entries[0], 258)
		f.Timer.Advance(time.Minute)
		for _, e := range f.Entries {
			e.Start()
		}
		requireInForce(t, f, f.Entries, 258)
		if value, ok := f.Value("config/head"); !ok || len(value) == 0 {
			t.Errorf("answer %d lost: there is no head", lost)
		}
	}
}
