package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// keyRig is a rig whose configuration has teams and whose proof the test decides on.
type keyRig struct {
	*rig
	unproven atomic.Bool
}

// newKeyRig returns a keyRig whose team red has the key k1 and green the key k2; the route
// of safe requests is public.
func newKeyRig(t *testing.T, targets ...*fake.Target) *keyRig {
	k := &keyRig{}
	k.rig = newRig(t, targets...)
	k.serve(proxy.WithKeyProof(func() bool { return !k.unproven.Load() }), proxy.WithBehind(k.behind.Load))
	k.setTeams(fleet.Team{Name: "red", Keys: []fleet.KeyDigest{fleet.DigestKey("k1")}, Priority: 3, HasPriority: true},
		fleet.Team{Name: "green", Keys: []fleet.KeyDigest{fleet.DigestKey("k2"), fleet.DigestKey(strings.Repeat("k", 1<<10))}})
	return k
}

// newKeyRigWithNear returns a keyRig and its only target.
func newKeyRigWithNear(t *testing.T) (*keyRig, *fake.Target) {
	near, _ := newTwoTargets(t)
	return newKeyRig(t, near), near
}

// setTeams makes a configuration with other teams active.
func (k *keyRig) setTeams(teams ...fleet.Team) {
	k.t.Helper()
	c := &fleet.Config{Version: k.config.Version + 1, Services: k.config.Services, Teams: teams}
	c.Routes = append(c.Routes, k.config.Routes...)
	c.Routes[1].Public = true
	if err := c.Index(); err != nil {
		k.t.Fatal(err)
	}
	k.config = c
	k.server.SetConfig(c)
}

func withAuthorization(values ...string) func(*http.Request) {
	return func(req *http.Request) { req.Header["Authorization"] = values }
}

// outcome is what a caller and the target see of a request.
type outcome struct {
	Status    int
	Challenge string
	Retry     string
	// Team and Key are the headers that the target got.
	Team, Key []string
}

func (k *keyRig) outcome(target *fake.Target, path string, change ...func(*http.Request)) outcome {
	before, _ := target.Seen()
	got, header := k.call(path, change...)
	out := outcome{Status: got.Status, Challenge: header.Get("WWW-Authenticate"), Retry: header.Get("Retry-After")}
	if seen, _ := target.Seen(); len(seen) > len(before) {
		last := seen[len(seen)-1]
		out.Team, out.Key = last["Chivecroft-Tenant"], last["Authorization"]
	}
	return out
}

var refused = outcome{Status: http.StatusUnauthorized, Challenge: "Bearer"}

func servedFor(team ...string) outcome { return outcome{Status: http.StatusOK, Team: team} }

// TestCredentials sends all kinds of credentials. A wrong reading lets a stranger in or a
// team's caller out, or makes a target work for the wrong team.
func TestCredentials(t *testing.T) {
	k, near := newKeyRigWithNear(t)
	for _, c := range []struct {
		name   string
		values []string
		want   outcome
	}{
		{"known", []string{"Bearer k1"}, servedFor("red")},
		{"another team's", []string{"Bearer k2"}, servedFor("green")},
		{"scheme in another case", []string{"bEARER k1"}, servedFor("red")},
		{"spaces around the key", []string{"Bearer   k1  "}, servedFor("red")},
		{"as long as a key may be", []string{"Bearer " + strings.Repeat("k", 1<<10)}, servedFor("green")},
		{"too long", []string{"Bearer " + strings.Repeat("k", 1<<10+1)}, refused},
		{"unknown", []string{"Bearer k3"}, refused},
		{"key in another case", []string{"Bearer K1"}, refused},
		{"none", nil, refused},
		{"empty", []string{""}, refused},
		{"without a key", []string{"Bearer "}, refused},
		{"without a scheme", []string{"k1"}, refused},
		{"of another scheme", []string{"Basic k1"}, refused},
		{"scheme and key in one", []string{"Bearerk1"}, refused},
		{"two keys", []string{"Bearer k1 k2"}, refused},
		{"keys in a list", []string{"Bearer k1, Bearer k1"}, refused},
		{"twice", []string{"Bearer k1", "Bearer k1"}, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			forged := func(req *http.Request) { req.Header["Chivecroft-Tenant"] = []string{"blue", "green"} }
			if diff := cmp.Diff(c.want, k.outcome(near, "/unsafe/", withAuthorization(c.values...), forged)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			public := servedFor(c.want.Team...)
			if diff := cmp.Diff(public, k.outcome(near, "/safe/", withAuthorization(c.values...), forged)); diff != "" {
				t.Errorf("on a public route (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallerCannotDropTeam names the team's header as one of the connection alone, which
// would have it dropped on the way to the target.
func TestCallerCannotDropTeam(t *testing.T) {
	k, near := newKeyRigWithNear(t)
	got := k.outcome(near, "/unsafe/", withAuthorization("Bearer k1"), func(req *http.Request) {
		req.Header.Set("Connection", "Chivecroft-Tenant, Chivecroft-Expect-Instance")
	})
	if diff := cmp.Diff(servedFor("red"), got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// TestWithoutTeamsHeadersPass checks that a configuration without teams changes nothing.
func TestWithoutTeamsHeadersPass(t *testing.T) {
	near, _ := newTwoTargets(t)
	near.AcceptsKeys = true
	k := newKeyRig(t, near)
	k.setTeams()
	k.unproven.Store(true)
	got := k.outcome(near, "/unsafe/", withAuthorization("Basic own"), func(req *http.Request) {
		req.Header.Set("Chivecroft-Tenant", "own")
	})
	want := outcome{Status: http.StatusOK, Team: []string{"own"}, Key: []string{"Basic own"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// TestWithoutProof has an instance that cannot know whether a key is still valid, or
// whether an unknown one is new: it must refuse both, and serve public routes to nobody's
// account.
func TestWithoutProof(t *testing.T) {
	k, near := newKeyRigWithNear(t)
	k.unproven.Store(true)
	stale := outcome{Status: http.StatusServiceUnavailable, Retry: "1.00"}
	for path, want := range map[string]outcome{"/unsafe/": stale, "/safe/": servedFor()} {
		for _, key := range []string{"Bearer k1", "Bearer k3", ""} {
			if diff := cmp.Diff(want, k.outcome(near, path, withAuthorization(key))); diff != "" {
				t.Errorf("%s with %q (-want +got):\n%s", path, key, diff)
			}
		}
	}
}

// TestUnknownKeyWhileBehind guards against a final answer for a key that a newer
// configuration has. Known keys are accepted meanwhile.
func TestUnknownKeyWhileBehind(t *testing.T) {
	k, near := newKeyRigWithNear(t)
	k.behind.Store(true)
	var got []int
	for _, key := range []string{"Bearer k3", "Bearer k1"} {
		got = append(got, k.outcome(near, "/unsafe/", withAuthorization(key)).Status)
	}
	k.behind.Store(false)
	got = append(got, k.outcome(near, "/unsafe/", withAuthorization("Bearer k3")).Status)
	want := []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusUnauthorized}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// TestKeyLostInQueue revokes a key, moves it to another team or lets the proof expire while
// its request waits for a target. The request must not run.
func TestKeyLostInQueue(t *testing.T) {
	red := fleet.Team{Name: "red", Keys: []fleet.KeyDigest{fleet.DigestKey("k1")}}
	for name, c := range map[string]struct {
		change func(*keyRig)
		want   int
	}{
		"removed": {func(k *keyRig) { k.setTeams(fleet.Team{Name: "red"}) }, http.StatusUnauthorized},
		"moved": {func(k *keyRig) {
			k.setTeams(fleet.Team{Name: "blue", Keys: red.Keys})
		}, http.StatusServiceUnavailable},
		"unproven": {func(k *keyRig) { k.unproven.Store(true) }, http.StatusServiceUnavailable},
		"kept":     {func(k *keyRig) { k.setTeams(red) }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			near, _ := newTwoTargets(t)
			k := newKeyRig(t)
			k.targets = append(k.targets, near)
			done := make(chan outcome, 1)
			go func() { done <- k.outcome(near, "/unsafe/", withAuthorization("Bearer k1")) }()
			time.Sleep(200 * time.Millisecond)
			c.change(k)
			k.picker.SetTarget(fleet.Target{
				Identity: fleet.Identity{ID: near.ID, Born: 1}, Service: "s", Addr: near.Addr(), Zone: near.Zone, Slots: near.Slots,
			})
			if got := <-done; got.Status != c.want {
				t.Errorf("%+v, want status %d", got, c.want)
			}
			if runs := len(k.runs()); (runs > 0) != (c.want == http.StatusOK) {
				t.Errorf("%d requests have run", runs)
			}
		})
	}
}

// TestKeyLostBetweenSends revokes a key after a first run was lost. The repeat must not be
// sent, and the caller must not hear that the request has not run.
func TestKeyLostBetweenSends(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		want       answer
	}{
		"repeat": {"/safe/", "", answer{Status: http.StatusBadGateway}},
		"resumed stream": {
			"/resumable/", fake.Event(1),
			answer{Status: http.StatusOK, Body: fake.Event(1), Signed: "sig-near", Cut: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := newTwoTargets(t)
			k := newKeyRig(t, near, far)
			for i := range k.config.Routes {
				k.config.Routes[i].Public = false
			}
			near.Behave(func(w http.ResponseWriter, req *http.Request) {
				near.Run(req)
				if c.body != "" {
					near.Sign(w, req)
					_, _ = io.WriteString(w, c.body)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
				}
				k.unproven.Store(true)
				panic(http.ErrAbortHandler)
			})
			got, _ := k.call(c.path, withAuthorization("Bearer k1"))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]int{"call-1": 1}, k.runs()); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKeyLostWhileConnecting lets the proof expire after the last check of the exchange,
// when a connection is being opened. Nothing may be written, and the target is not at fault.
func TestKeyLostWhileConnecting(t *testing.T) {
	k, near := newKeyRigWithNear(t)
	var checks atomic.Int64
	k.serve(proxy.WithKeyProof(func() bool { return checks.Add(1) <= 2 }))
	got := k.outcome(near, "/unsafe/", withAuthorization("Bearer k1"))
	if got.Status != http.StatusServiceUnavailable || len(k.runs()) > 0 {
		t.Errorf("%+v, runs %v", got, k.runs())
	}
	checks.Store(-10)
	if got := k.outcome(near, "/unsafe/", withAuthorization("Bearer k1")); got.Status != http.StatusOK {
		t.Errorf("afterwards: %+v", got)
	}
}

// TestLogNamesTeamNotKey checks that the log names the team of a request and holds no key,
// whether it is known, unknown or malformed.
func TestLogNamesTeamNotKey(t *testing.T) {
	k, _ := newKeyRigWithNear(t)
	k.setTeams(fleet.Team{Name: "red", Keys: []fleet.KeyDigest{fleet.DigestKey("sk-known")}})
	var out bytes.Buffer
	logger := &log.Logger{Level: log.TraceLevel, Writer: &log.IOWriter{Writer: &out}}
	k.serve(proxy.WithLogger(logger))
	for _, value := range []string{"Bearer sk-known", "Bearer sk-unknown", "sk-malformed"} {
		req := httptest.NewRequest(http.MethodPost, "http://x.example/unsafe/", strings.NewReader("body"))
		req.Header.Set("Authorization", value)
		req.Header.Set("Chivecroft-Attempt-Id", "call")
		k.server.ServeHTTP(httptest.NewRecorder(), req)
	}
	text := out.String()
	if strings.Contains(text, "sk-") || strings.Count(text, `"team":"red"`) != 1 {
		t.Errorf("log:\n%s", text)
	}
}

// TestTeamPriority checks that a team's priority replaces the route's on the way to an
// engine.
func TestTeamPriority(t *testing.T) {
	engine := fake.NewTarget(t, "e1", "a1", 0, "m1")
	k := newKeyRig(t)
	k.config.Services["s"] = fleet.Service{Name: "s", Engine: &fleet.Engine{Slots: 8}}
	k.picker.SetTarget(fleet.Target{
		Identity: fleet.Identity{ID: "e1", Born: 1}, Service: "s", Addr: engine.Addr(), Zone: "a1", Slots: 8,
		Holding: fleet.Holding{Models: []fleet.Loaded{{Model: "m1"}}},
	})
	var got []string
	for _, key := range []string{"k1", "k2"} {
		k.call("/stream/", withAuthorization("Bearer "+key), func(req *http.Request) { req.Header.Set("Chivecroft-Model", "m1") })
	}
	seen, _ := engine.Seen()
	for _, h := range seen {
		got = append(got, h.Get("Chivecroft-Request-Priority"))
	}
	if diff := cmp.Diff([]string{"3", "0"}, got); diff != "" {
		t.Errorf("priorities (-want +got):\n%s", diff)
	}
}

// BenchmarkKeyLookup reads the key of a request and finds its team among 100,000 keys; the
// limit is 2 µs, and what is allocated must not grow with the number of keys.
func BenchmarkKeyLookup(b *testing.B) {
	for _, keys := range []int{100, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			c := &fleet.Config{Teams: make([]fleet.Team, 100)}
			for i := range keys {
				team := &c.Teams[i%100]
				team.Name = fmt.Sprint(i % 100)
				team.Keys = append(team.Keys, fleet.DigestKey(fmt.Sprintf("sk-%058d", i)))
			}
			if err := c.Index(); err != nil {
				b.Fatal(err)
			}
			headers := make([]http.Header, 1024)
			for i := range headers {
				headers[i] = http.Header{"Authorization": {fmt.Sprintf("Bearer sk-%058d", i*97%keys)}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if digest, _ := fleet.ParseKey(platform.Codec{}.Key(headers[i%1024])); c.TeamOfDigest(digest) == nil {
					b.Fatal("the team is not found")
				}
			}
		})
	}
}

// TestUnknownRouteWithoutProof guards against a 404 for a route that a newer configuration
// has, at an instance that has heard of none for long.
func TestUnknownRouteWithoutProof(t *testing.T) {
	k, _ := newKeyRigWithNear(t)
	k.unproven.Store(true)
	stale, _ := k.call("/nowhere/")
	k.unproven.Store(false)
	proven, _ := k.call("/nowhere/")
	want := []int{http.StatusServiceUnavailable, http.StatusNotFound}
	if diff := cmp.Diff(want, []int{stale.Status, proven.Status}); diff != "" {
		t.Errorf("status without and with a proof (-want +got):\n%s", diff)
	}
}

// TestRouteDecidesOnKey guards against a key that is required by another route than the one
// that the request takes, for request targets whose path is empty or begins with two slashes.
func TestRouteDecidesOnKey(t *testing.T) {
	for _, c := range []struct {
		line string
		// public is the path prefix of the route that needs no key.
		public string
		want   int
	}{
		{"GET http://x.example HTTP/1.1", "", http.StatusUnauthorized},
		{"GET http://x.example HTTP/1.1", "/", http.StatusOK},
		{"GET http://x.example?a HTTP/1.1", "", http.StatusUnauthorized},
		{"GET http://x.example/ HTTP/1.1", "/", http.StatusOK},
		{"OPTIONS http://x.example HTTP/1.1", "/", http.StatusUnauthorized},
		{"GET //a HTTP/1.1", "/", http.StatusUnauthorized},
		{"GET //a HTTP/1.1", "//", http.StatusOK},
		{"GET http://x.example//a HTTP/1.1", "/", http.StatusUnauthorized},
		{"GET http://x.example//a HTTP/1.1", "//", http.StatusOK},
	} {
		t.Run(c.line+" public "+c.public, func(t *testing.T) {
			k, _ := newKeyRigWithNear(t)
			first := k.config.Routes[0]
			k.config.Routes = nil
			for _, prefix := range []string{"", "/", "//"} {
				first.Name, first.PathPrefix, first.Public = "route "+prefix, prefix, prefix == c.public
				k.config.Routes = append(k.config.Routes, first)
			}
			if err := k.config.Index(); err != nil {
				t.Fatal(err)
			}
			if got := k.statusOf(c.line); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}
