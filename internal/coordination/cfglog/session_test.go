package cfglog_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/state/config"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session records the patches that operators send, the answers, and the writes to the KV
// service.
type session struct {
	t     *testing.T
	fleet *fleet.Fleet
	text  strings.Builder
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.text, format+"\n", args...)
}

// patch sends a patch in JSON to an entry and records the answer.
func (s *session) patch(entry int, text string) {
	e := s.fleet.Entries[entry]
	s.printf("\npatch at %s: %s", e.Self.ID, text)
	p, err := config.ParsePatch([]byte(text))
	if err != nil {
		s.printf("  unreadable: %s", indented(err))
		return
	}
	a := s.fleet.Patch(e, p)
	s.fleet.Timer.Advance(5 * time.Second)
	if a.Err != nil {
		s.printf("  refused: %s", indented(a.Err))
		return
	}
	s.printf("  version %d, repeated %t", a.Version, a.Repeated)
	for _, w := range a.Warnings {
		s.printf("  warning: %s: %s", w.Path, w.Text)
	}
}

func indented(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", "\n    ")
}

func (s *session) versions() {
	for _, e := range s.fleet.Entries {
		s.printf("  %s has version %d", e.Self.ID, e.Version())
	}
}

// recordWrites records every write to the KV service.
func (s *session) recordWrites() {
	for _, e := range s.fleet.Entries {
		e.Lose = func(req ports.KVRequest) bool {
			if put, ok := req.(ports.KVPut); ok {
				s.printf("  %s writes %s (expect %d): %s", e.Self.ID, put.Key, put.Expect, put.Value)
			}
			return false
		}
	}
}

func TestSession(t *testing.T) {
	s := &session{t: t, fleet: startFleet(t, 40, 2, 2)}
	s.recordWrites()
	s.patch(0, `{"id":"menu","base":0,"author":"ana","set":{"services":{"assist":{"kind":"model","class":"interactive","deadline":"20s"}},
	"models":{"menu-7b":{"service":"assist","checkpoint":"menu","memoryBytes":16000000000}},"rules":{"menu-7b":{"maxReplicas":4}}}}`)
	s.versions()
	s.patch(1, `{"id":"fewer","base":1,"author":"ben","set":{"rules":{"menu-7b":{"maxReplicas":2}}}}`)
	s.patch(3, `{"id":"fewer","base":2,"set":{"rules":{"menu-7b":{"maxReplicas":2}}}}`)
	s.patch(3, `{"id":"fewer","base":2,"set":{"rules":{"menu-7b":{"maxReplicas":1}}}}`)
	s.patch(2, `{"id":"more","base":1,"author":"ana","set":{"rules":{"menu-7b":{"maxReplicas":9}}}}`)
	s.patch(2, `{"id":"other","base":1,"set":{"services":{"desk":{"kind":"plain","class":"lookup"}}}}`)
	s.patch(2, `{"id":"early","base":7}`)
	s.patch(0, `{"id":"typo","base":2,"set":{"rules":{"menu-7b":{"maxReplica":2}}}}`)
	s.patch(0, `{"id":"bad","base":2,"set":{"rules":{"menu-8b":{"maxReplicas":1,"minReplicas":3}}},"remove":{"services":["assist"]}}`)

	s.printf("\nthe KV service goes down")
	s.fleet.SetKV(s.fleet.Entries, down)
	s.fleet.Timer.Advance(time.Minute)
	s.patch(0, `{"id":"down","base":2}`)
	s.patch(0, `{"id":"fewer","base":1,"author":"ben","set":{"rules":{"menu-7b":{"maxReplicas":2}}}}`)
	s.printf("\nthe KV service is back; the answer to a write is lost")
	s.fleet.SetKV(s.fleet.Entries, noFaults)
	s.fleet.Timer.Advance(10 * time.Second)
	lost := false
	s.fleet.Entries[0].Lose = func(req ports.KVRequest) bool {
		put, write := req.(ports.KVPut)
		if !write || lost {
			return false
		}
		s.printf("  answer lost: %s", put.Key)
		lost = true
		return true
	}
	s.patch(0, `{"id":"lost","base":2,"remove":{"rules":["menu-7b"]}}`)
	s.versions()
	s.history()
	for _, e := range s.fleet.Entries {
		for _, n := range e.Notes {
			s.printf("%s noted %+v", e.Self.ID, n)
		}
	}
	golden(t, "testdata/session.golden", s.text.String())
}

func (s *session) history() {
	s.printf("\nhistory after version 1")
	s.fleet.Entries[3].History(1, 10, func(a cfglog.HistoryAnswered) {
		for _, r := range a.Records {
			s.printf("  %d %s %s %q touches %s", r.Version, r.At.Format(time.RFC3339), r.Patch.ID, r.Patch.Author, strings.Join(config.Touched(r.Patch), ", "))
		}
	})
	s.fleet.Timer.Advance(time.Second)
	var old *config.Config
	s.fleet.Entries[3].Read(1, func(a cfglog.ReadAnswered) { old = a.Config })
	s.fleet.Timer.Advance(time.Second)
	s.printf("difference from version 1 to %d", s.fleet.Entries[3].Version())
	for _, c := range config.Diff(old, s.fleet.Entries[3].Config()) {
		s.printf("  %s %s %s -> %s", c.Kind, c.Path, c.Before, c.After)
	}
	s.printf("")
}

// golden compares a text with a file, or writes the file if -update is given.
func golden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}
