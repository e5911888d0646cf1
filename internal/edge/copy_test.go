package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/platform"
)

// item reads a key directly from the fake store.
func (r *rig) item(key string) (ports.Item, bool) {
	var have ports.Item
	var ok bool
	r.store.KV.Call(ports.KVGet{Key: key}, func(reply ports.KVReply) { have, ok = reply.Item() })
	return have, ok
}

// copied reports whether the store has a copy of the newest configuration.
func (r *rig) copied() bool {
	config, _ := r.item(platform.ConfigKey)
	item, ok := r.item(configCopyKey)
	if !ok {
		return false
	}
	s, err := decodeSnapshot(dated(0, item))
	return err == nil && s.revision == rev(config.Revision)
}

// TestStartReadsTheCopy starts an instance beside others. It must read the configuration
// from its compressed copy and only the targets as a list.
func TestStartReadsTheCopy(t *testing.T) {
	r := newRig(t, 2)
	r.eventually("the configuration is copied", r.copied)
	before := r.store.Lists()
	late := r.start()
	if n := r.store.Lists() - before; n > 1 {
		t.Errorf("%d list pages were read, want at most 1", n)
	}
	r.config(2, "/second/")
	r.eventually("the new configuration is copied", r.copied)
	r.eventually("the new configuration is active", func() bool { status, _ := r.call(late, "/second/", ""); return status == http.StatusOK })
}

// TestOutdatedCopy starts an instance while the copy is of an older configuration, is
// damaged, or claims to be newer than the configuration: the newest configuration must be
// used.
func TestOutdatedCopy(t *testing.T) {
	for name, value := range map[string]func(old []byte) []byte{
		"older":   func(old []byte) []byte { return old },
		"damaged": func(old []byte) []byte { return append(old[:len(old)/2:len(old)/2], 0, 1, 2) },
		"foreign": func([]byte) []byte { return []byte("{}") },
		"newer":   func(old []byte) []byte { return append([]byte("99"), old...) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			r.eventually("the configuration is copied", r.copied)
			old, _ := r.item(configCopyKey)
			r.edges[0].kill()
			r.config(7, "/seventh/")
			r.store.Write(t, configCopyKey, value(old.Value))
			late := r.start()
			if status, body := r.call(late, "/seventh/", ""); status != http.StatusOK {
				t.Errorf("newest route: %d %s", status, body)
			}
			r.eventually("the new configuration is copied", r.copied)
		})
	}
}

// TestSnapshotRoundTrip encodes and decodes a configuration.
func TestSnapshotRoundTrip(t *testing.T) {
	item := dated(2, ports.Item{Key: platform.ConfigKey, Value: []byte(`{"version":3}`), Revision: 41})
	packed, err := newConfigSnapshot(item, 3).encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeSnapshot(dated(2, ports.Item{Key: configCopyKey, Value: packed, Revision: 42}))
	if err != nil {
		t.Fatal(err)
	}
	got, err := back.item()
	if diff := cmp.Diff(item, got, cmp.AllowUnexported(storeItem{})); diff != "" || err != nil {
		t.Errorf("(-want +got):\n%s%v", diff, err)
	}
}

// TestHolderWritesOneCopy checks that the holder does not rewrite an up-to-date copy.
func TestHolderWritesOneCopy(t *testing.T) {
	r := newRig(t, 3)
	r.eventually("the configuration is copied", r.copied)
	first, _ := r.item(configCopyKey)
	time.Sleep(4 * copyCheckInterval)
	if again, _ := r.item(configCopyKey); again.Revision != first.Revision {
		t.Errorf("copy rewritten: revision %d after %d", again.Revision, first.Revision)
	}
}
