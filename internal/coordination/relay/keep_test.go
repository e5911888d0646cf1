package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/state/config"
)

// ruleOf returns a patch that changes one entry only, so that the configuration
// stays small however many versions it has.
func ruleOf(base config.Version) config.Patch {
	p := patchOf("same", base)
	p.ID = fmt.Sprintf("p%d", base+1)
	service := p.Set.Services["service-same"]
	service.Deadline = config.Duration(base)
	p.Set.Services["service-same"] = service
	return p
}

// patchUpTo patches an entry until it has version v.
func patchUpTo(t *testing.T, f *fleet.Fleet, e *fleet.Entry, v config.Version) {
	t.Helper()
	for e.Version() < v {
		if a := f.Patch(e, ruleOf(e.Version())); a.Err != nil {
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

// TestTrimmedLog runs through more versions than the log keeps. An entry that
// was frozen meanwhile must not give a number twice, an old version stays
// readable as far back as promised, and a repeated ID is known at an entry that
// began with a snapshot.
func TestTrimmedLog(t *testing.T) {
	const versions = 4096 + 3*256 + 10
	f := started(t, 20, 1, 4)
	frozen := f.Entries[3]
	accepted(t, f, f.Entries[0])
	inForce(t, f, f.Entries, 1)
	frozen.Freeze()
	f.Cut([]*fleet.Entry{frozen}, f.Entries, true)
	patchUpTo(t, f, f.Entries[0], versions)
	f.Timer.Advance(time.Minute)
	k := keysOf(f)
	t.Logf("%d versions: %d log entries, %d snapshot chunks", versions, k.count("config/log/"), k.count("config/snap/"))
	if k[fleet.LogKey(2)] {
		t.Error("the log has not been trimmed, so nothing is tried")
	}
	if n := k.count("config/log/"); n < 4096 || n > 4096+4*256 {
		t.Errorf("%d log entries are kept", n)
	}

	var stale *relay.PatchAnswered
	frozen.Ask(ruleOf(1), func(a relay.PatchAnswered) { stale = &a })
	frozen.Thaw()
	f.Timer.Advance(20 * time.Second)
	if stale == nil || (!errorAs[*relay.ConflictError](stale.Err) && !stale.Repeated) {
		t.Errorf("patch on version 1 at an entry that was frozen: %+v", stale)
	}
	if keysOf(f)[fleet.LogKey(2)] {
		t.Error("version 2 was given a second time")
	}
	f.Timer.Advance(40 * time.Second)
	if frozen.Version() != versions {
		t.Errorf("an entry that was frozen and has no peers has version %d", frozen.Version())
	}
	f.Cut([]*fleet.Entry{frozen}, f.Entries, false)
	inForce(t, f, f.Entries, versions)

	frozen.Start()
	inForce(t, f, f.Entries, versions)
	again := ruleOf(versions - 4000)
	again.Base = versions
	reads := f.Calls()["read"]
	if a := f.Patch(frozen, again); a.Err != nil || a.Version != versions-3999 || !a.Repeated {
		t.Errorf("repeated ID at an entry that has just started: %+v", a)
	}
	if n := f.Calls()["read"] - reads; n > 60 {
		t.Errorf("%d reads to learn the IDs: at a latency of 2 s the patch would take %s", n, time.Duration(n)*2*time.Second)
	}

	var read config.Version
	frozen.Read(versions-4090, func(a relay.ReadAnswered) {
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

// TestRestartFromSnapshot restarts everything at once where most of the
// configuration stands in a snapshot.
func TestRestartFromSnapshot(t *testing.T) {
	f := started(t, 21, 1, 3)
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
	inForce(t, f, f.Entries, 300)
	t.Logf("%d reads", f.Calls()["read"]-before)
}

// kinds returns what an entry noted, by kind and subject.
func kinds(e *fleet.Entry) []string {
	var found []string
	for _, n := range e.Notes {
		if h, ok := n.(relay.Happened); ok {
			found = append(found, fmt.Sprintf("%s %s: %s", h.Kind, h.Subject, h.Detail))
		}
	}
	return found
}

// TestDamagedValues puts values into the store that cannot be read. The last
// good state stays in force, the value is not touched, and a patch is refused
// with the value's own error.
func TestDamagedValues(t *testing.T) {
	tables := []struct{ name, value, want string }{
		{"damaged", `{"format":1,"version":2,"sum":"x","patch":{}}`, "configDamage config/log/000000000002: the log entry of version 2 is damaged: the sum does not match"},
		{"newer", `{"format":2}`, "configDamage config/log/000000000002: the log entry of version 2 has format 2, this release reads up to 1"},
	}
	for _, row := range tables {
		t.Run(row.name, func(t *testing.T) {
			f := started(t, 22, 1, 3)
			v := accepted(t, f, f.Entries[0])
			inForce(t, f, f.Entries, v)
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
			if diff := cmp.Diff([]string{row.want}, kinds(f.Entries[0])); diff != "" {
				t.Errorf("notes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDamagedHead restarts an entry while the head of the snapshots cannot be
// read: it takes the configuration from its peers, and nobody overwrites the head.
func TestDamagedHead(t *testing.T) {
	f := started(t, 23, 1, 3)
	patchUpTo(t, f, f.Entries[0], 300)
	f.Timer.Advance(30 * time.Second)
	f.Overwrite("config/head", []byte(`{"format":9}`))
	f.Entries[2].Start()
	inForce(t, f, f.Entries, 300)
	patchUpTo(t, f, f.Entries[0], 600)
	f.Timer.Advance(time.Minute)
	inForce(t, f, f.Entries, 600)
	if value, _ := f.Value("config/head"); string(value) != `{"format":9}` {
		t.Errorf("the head was overwritten by %s", value)
	}
}

// TestLostAnswersOfASnapshot loses every answer to a write of the snapshot in
// turn; a later try completes it.
func TestLostAnswersOfASnapshot(t *testing.T) {
	for lost := range 3 {
		f := started(t, 24, 1, 2)
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
		inForce(t, f, f.Entries, 258)
		if value, ok := f.Value("config/head"); !ok || len(value) == 0 {
			t.Errorf("answer %d lost: there is no head", lost)
		}
	}
}
