package shell

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// TestLinesAfterTheEnd logs while the writer is closed, as parts of an instance do
// that end a little later than the others.
func TestLinesAfterTheEnd(t *testing.T) {
	w := newLogWriter(io.Discard)
	l := &log.Logger{Level: log.InfoLevel, Writer: w}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 2000 {
				l.Info().Msg("line")
			}
		})
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	writers.Wait()
	if err := w.Close(); err != nil {
		t.Error(err)
	}
}

// TestLinesAreWhole logs from several goroutines: each line that is written must be whole
// and its own, and none may be missing while there is room.
func TestLinesAreWhole(t *testing.T) {
	var out bytes.Buffer
	w := newLogWriter(&out)
	l := &log.Logger{Level: log.InfoLevel, Writer: w}
	const writers, lines = 4, 500
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			for n := range lines {
				l.Info().Int("line", i*lines+n).Msg(strings.Repeat("x", n))
			}
		})
	}
	group.Wait()
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	seen := make(map[int]bool)
	for text := range strings.Lines(out.String()) {
		var got struct {
			Line    int    `json:"line"`
			Message string `json:"message"`
		}
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got.Message) != got.Line%lines {
			t.Fatalf("line %q: %v", text, err)
		}
		seen[got.Line] = true
	}
	if len(seen) != writers*lines {
		t.Errorf("%d different lines of %d", len(seen), writers*lines)
	}
}
