package shell

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// logLineBytes bounds one line of a log.
const logLineBytes = 1 << 20

// ExplainCmd prints what instances' logs say of one request.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" help:"Logs of the instances; standard input if there are none." type:"existingfile"`
	JSON  bool     `help:"Print the lines as they are."`
}

// logLine is one line that concerns the request.
type logLine struct {
	at     time.Time
	source string
	text   string
	fields map[string]any
}

// Run reads the logs and prints the request's lines in the order of their times.
func (c *ExplainCmd) Run(s Streams) error {
	var lines []logLine
	bad := 0
	if len(c.Files) == 0 {
		lines, bad = c.read("-", s.In)
	}
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		more, n := c.read(path, f)
		_ = f.Close()
		lines, bad = append(lines, more...), bad+n
	}
	if len(lines) == 0 {
		return trace.NotFound("no line of the logs names request %s", c.ID)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	for _, l := range lines {
		c.print(s.Out, l)
	}
	if bad > 0 {
		fmt.Fprintf(s.Err, "%d lines are no log lines and were passed over\n", bad)
	}
	return nil
}

// read returns the lines that name the request, and how many could not be read.
func (c *ExplainCmd) read(source string, r io.Reader) (lines []logLine, bad int) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, logLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Other programs may put a time or a machine's name before the line.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			bad++
			continue
		}
		if !strings.Contains(text, c.ID) {
			continue
		}
		l := logLine{source: strings.TrimSpace(source + " " + strings.TrimSpace(text[:start])), text: text[start:]}
		if err := json.Unmarshal([]byte(l.text), &l.fields); err != nil || l.fields["request"] != c.ID {
			continue
		}
		at, _ := l.fields["time"].(string)
		l.at, _ = time.Parse(time.RFC3339Nano, at)
		lines = append(lines, l)
	}
	return lines, bad
}

func (c *ExplainCmd) print(w io.Writer, l logLine) {
	if c.JSON {
		fmt.Fprintln(w, l.text)
		return
	}
	var names []string
	for name := range l.fields {
		if name != "time" && name != "level" && name != "request" && name != "message" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	fmt.Fprintf(w, "%s  %s  %v", l.at.Format("15:04:05.000"), l.source, l.fields["message"])
	for _, name := range names {
		if v := l.fields[name]; v != nil && v != "" {
			fmt.Fprintf(w, " %s=%v", name, v)
		}
	}
	fmt.Fprintln(w)
}
