package edge

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// testRevocation is the bound on revocation in tests, that of the platform.
const testRevocation = 5 * time.Second

// cuttable is a transport between instances that a test can cut.
type cuttable struct {
	http.RoundTripper
	cut *atomic.Bool
}

func (c cuttable) RoundTrip(req *http.Request) (*http.Response, error) {
	if c.cut.Load() {
		return nil, errors.New("cut off")
	}
	resp, err := c.RoundTripper.RoundTrip(req)
	if err == nil && c.cut.Load() {
		resp.Body.Close()
		return nil, errors.New("cut off")
	}
	return resp, err
}

// newKeyRig returns a rig with a holder and bounded revocation, whose team red has the key
// k1.
func newKeyRig(t *testing.T, instances int) *rig {
	r := newRig(t, 0)
	r.revocation = testRevocation
	r.teams = []fake.Team{{Name: "red", Keys: []string{"k1"}}}
	r.config(2, "/app/")
	for range instances {
		r.start()
	}
	r.eventually("all instances accept the key", func() bool { return r.statuses("k1", nil) == http.StatusOK })
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	return r
}

// statuses calls with a key at all instances but one and returns the status if all agree,
// else 0.
func (r *rig) statuses(key string, but *Edge) int {
	all := -1
	for _, e := range r.edges {
		if e == but {
			continue
		}
		status, _ := r.callWithKey(e, "/app/", "", key)
		if all >= 0 && all != status {
			return 0
		}
		all = status
	}
	return all
}

// TestRevokedKeyWhileCutOff revokes a key while an instance is cut off from the store and
// the other instances. The others must refuse it soon, and that one in time, although it
// cannot know; its public routes must be served all the while. Afterwards it must have the
// new keys.
func TestRevokedKeyWhileCutOff(t *testing.T) {
	r := newKeyRig(t, 4)
	var alone *Edge
	for _, e := range r.edges {
		if e != r.holder(nil) {
			alone = e
		}
	}
	r.cut[alone.boot.Instance].Store(true)
	r.apart[alone.boot.Instance].Store(true)
	// Calls that were open at the cut have ended.
	time.Sleep(strictWatchTimeout + 250*time.Millisecond)
	r.teams[0].Keys = []string{"k2"}
	r.config(3, "/app/")
	revokedAt := time.Now()
	r.eventually("the others refuse the key", func() bool { return r.statuses("k1", alone) == http.StatusUnauthorized })
	if took := time.Since(revokedAt); took > 2*time.Second {
		t.Errorf("the others refuse the key after %v", took)
	}
	served := false
	for time.Since(revokedAt) < testRevocation+time.Second {
		sentAt := time.Now()
		status, _ := r.callWithKey(alone, "/app/", "", "k1")
		served = served || status == http.StatusOK
		if sentAt.Sub(revokedAt) > testRevocation && status != http.StatusServiceUnavailable {
			t.Fatalf("the revoked key gets %d after %v", status, sentAt.Sub(revokedAt))
		}
		if status, _ := r.call(alone, "/open/", ""); status != http.StatusOK {
			t.Fatalf("the public route gets %d after %v", status, sentAt.Sub(revokedAt))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !served {
		t.Error("the key was refused at once, so nothing was tested")
	}
	if !r.isReady(alone) {
		t.Error("the instance is not ready")
	}
	r.cut[alone.boot.Instance].Store(false)
	r.apart[alone.boot.Instance].Store(false)
	r.eventually("the instance has the new key", func() bool {
		old, _ := r.callWithKey(alone, "/app/", "", "k1")
		now, _ := r.callWithKey(alone, "/app/", "", "k2")
		return old == http.StatusUnauthorized && now == http.StatusOK
	})
}

// TestKeysStayAccepted writes a configuration that is invalid, writes the active one once
// more and kills the holder. For longer than the bound, all other instances must accept the
// key: to refuse it would be an outage.
func TestKeysStayAccepted(t *testing.T) {
	for name, disturb := range map[string]func(*rig) *Edge{
		"nothing": func(*rig) *Edge { return nil },
		"invalid configuration": func(r *rig) *Edge {
			r.teams = append(r.teams, fake.Team{Name: "blue", Keys: []string{"k1"}})
			r.config(3, "/app/")
			return nil
		},
		"damaged configuration": func(r *rig) *Edge {
			r.store.Write(r.t, "op/config", []byte("{"))
			return nil
		},
		"rewritten configuration": func(r *rig) *Edge {
			r.config(2, "/app/")
			return nil
		},
		"lost holder": func(r *rig) *Edge {
			lost := r.holder(nil)
			lost.kill()
			return lost
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newKeyRig(t, 5)
			time.Sleep(time.Second)
			lost := disturb(r)
			for end := time.Now().Add(testRevocation + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if status := r.statuses("k1", lost); status != http.StatusOK {
					t.Fatalf("an instance answers %d, %v before the end", status, time.Until(end))
				}
			}
		})
	}
}
