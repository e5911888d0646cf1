package shell

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/phuslu/log"
)

// logLines bounds the log lines that wait to be written; more are dropped.
const logLines = 4096

// errLogFull is returned for a line that is dropped because too many wait.
var errLogFull = errors.New("too many log lines wait to be written")

// logWriter writes log lines in the background. What comes after its end is dropped:
// parts of an instance that stops may still have something to say.
//
// log.AsyncWriter does the same, but reads a line's length after it has handed the line
// over, when its buffer may already be in use for another one.
type logWriter struct {
	mu     sync.RWMutex
	closed bool
	lines  chan *bytes.Buffer
	// spare holds the buffers of lines that have been written.
	spare sync.Pool
	// done receives the error of the last write at the end.
	done chan error
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{
		lines: make(chan *bytes.Buffer, logLines), done: make(chan error, 1),
		spare: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
	go w.writeLines(out)
	return w
}

// writeLines writes the lines until the writer is closed.
func (w *logWriter) writeLines(out io.Writer) {
	var err error
	for line := range w.lines {
		_, err = out.Write(line.Bytes())
		w.spare.Put(line)
	}
	w.done <- err
}

// WriteEntry takes one line.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	line := w.spare.Get().(*bytes.Buffer)
	line.Reset()
	n, err := log.IOWriter{Writer: line}.WriteEntry(e)
	if err != nil {
		return n, err
	}
	select {
	case w.lines <- line:
		return n, nil
	default:
		w.spare.Put(line)
		return 0, errLogFull
	}
}

// Close writes the lines that wait.
func (w *logWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	close(w.lines)
	return <-w.done
}
