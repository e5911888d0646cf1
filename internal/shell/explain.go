package shell

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

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
	bad, err := readLogs(c.Files, s.In, func(source, text string) {
		if l, ok := c.parse(source, text); ok {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return trace.NotFound("no line of the logs names request %s", c.ID)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	for _, l := range lines {
		c.print(s.Out, l)
	}
	reportBad(s.Err, bad)
	return nil
}

// parse returns a line if it is of the request.
func (c *ExplainCmd) parse(source, text string) (logLine, bool) {
	if !strings.Contains(text, c.ID) {
		return logLine{}, false
	}
	l := logLine{source: source, text: text}
	if err := json.Unmarshal([]byte(text), &l.fields); err != nil || l.fields["request"] != c.ID {
		return logLine{}, false
	}
	at, _ := l.fields["time"].(string)
	l.at, _ = time.Parse(time.RFC3339Nano, at)
	return l, true
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
