package proxy

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// pieceReader returns text in pieces of the given sizes, which are used in rotation.
type pieceReader struct {
	text  []byte
	sizes []byte
	turn  int
}

func (p *pieceReader) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	size := 1
	if len(p.sizes) > 0 {
		size += int(p.sizes[p.turn%len(p.sizes)])
	}
	p.turn++
	n := copy(b, p.text[:min(size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// split returns the complete events of a text and whether nothing is left after the last
// one. It is the reference for eventReader.
func split(text []byte) (events []string, whole bool) {
	for {
		lf, crlf := bytes.Index(text, []byte("\n\n")), bytes.Index(text, []byte("\n\r\n"))
		switch {
		case lf < 0 && crlf < 0:
			return events, len(text) == 0
		case crlf < 0 || lf >= 0 && lf < crlf:
			events, text = append(events, string(text[:lf+2])), text[lf+2:]
		default:
			events, text = append(events, string(text[:crlf+3])), text[crlf+3:]
		}
	}
}

// FuzzEvents reads any text in pieces of any sizes. The events must be those of the whole
// text, and only a text that ends with an event may end with io.EOF.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{
		"", "\n", "\n\n", "id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", "data: x\n\r\n\n\n",
		"data: half", "id: 1\n\nid: 2\ndata", "\r\n\r\n", "a\n\r\r\n\n",
	} {
		f.Add([]byte(text), []byte{0})
		f.Add([]byte(text), []byte{0, 2, 7})
	}
	f.Fuzz(func(t *testing.T, text, sizes []byte) {
		if len(text) > maxEventBytes/2 {
			return
		}
		want, whole := split(text)
		r := newEventReader(&pieceReader{text: text, sizes: sizes}, timer.NewSystem(), time.Minute)
		var got []string
		event, err := r.next()
		for ; err == nil; event, err = r.next() {
			got = append(got, string(event))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		if whole != errors.Is(err, io.EOF) || !whole && !errors.Is(err, errTruncatedEvent) {
			t.Errorf("ended with %v, whole: %v", err, whole)
		}
	})
}

// TestEventSizeLimit reads an event of the maximum size and one that is larger.
func TestEventSizeLimit(t *testing.T) {
	fits := "data: " + strings.Repeat("x", maxEventBytes-len("data: \n\n")) + "\n\n"
	r := newEventReader(strings.NewReader(fits), timer.NewSystem(), time.Minute)
	if event, err := r.next(); err != nil || string(event) != fits {
		t.Errorf("%d bytes, %v", len(event), err)
	}
	r = newEventReader(strings.NewReader("x"+fits), timer.NewSystem(), time.Minute)
	if _, err := r.next(); !errors.Is(err, errEventTooLong) {
		t.Errorf("longer event: %v", err)
	}
	if cap(r.buf) > maxEventBytes {
		t.Errorf("the buffer has %d bytes", cap(r.buf))
	}
}

// TestStalledStreamIsDetected checks that only the time since the latest progress counts,
// and only once more bytes come without an event.
func TestStalledStreamIsDetected(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	for _, c := range []struct {
		name  string
		sent  []string
		pause time.Duration
		want  string
	}{
		{"events after long silences", []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n"}, time.Hour, "EOF after 3"},
		{"an event in two parts with a silence between", []string{"data: 1", "\n\n"}, time.Hour, "EOF after 1"},
		{"comments alone", []string{":\n\n", ":\n\n", ":\n\n"}, 6 * time.Second, "stalled after 3"},
		{"comments between events", []string{":\n\n", "data: 1\n\n", ":\n\n", "data: 2\n\n"}, 6 * time.Second, "EOF after 4"},
		{"parts of an event", []string{"data: ", "x", "x", "x", "x"}, 3 * time.Second, "stalled after 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newEventReader(&pausedReader{sent: c.sent, clock: clock, pause: c.pause}, clock, 10*time.Second)
			n := 0
			event, err := r.next()
			for ; err == nil; event, err = r.next() {
				n++
				if hasData(event) {
					r.markProgress()
				}
			}
			got := map[bool]string{true: "stalled", false: err.Error()}[errors.Is(err, errStalled)]
			if got += " after " + string(rune('0'+n)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// pausedReader returns parts, each after a pause on a virtual clock.
type pausedReader struct {
	sent  []string
	clock *timer.Virtual
	pause time.Duration
}

func (p *pausedReader) Read(b []byte) (int, error) {
	if len(p.sent) == 0 {
		return 0, io.EOF
	}
	p.clock.Advance(p.pause)
	n := copy(b, p.sent[0])
	p.sent = p.sent[1:]
	return n, nil
}
