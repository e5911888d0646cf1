package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// endMark is the data of the last event of a whole answer.
const endMark = "[DONE]"

const eventBytes = 1 << 20

// events is what came of a stream of server-sent events.
type events struct {
	began  time.Time
	first  time.Duration
	tokens int
	text   strings.Builder
	whole  bool
	// after tells that something came after the end mark.
	after   bool
	failed  bool
	reason  string
	damaged string
}

// chunk is what the bench reads of a chat completion chunk.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (e *events) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, eventBytes)
	for lines.Scan() {
		e.line(lines.Text())
	}
	if err := lines.Err(); err != nil && !e.whole {
		e.damaged = cause(err)
	}
}

func (e *events) line(line string) {
	if line == "event: error" {
		e.failed = true
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case !ok:
	case e.whole:
		e.after = true
	case data == endMark:
		e.whole = true
	case e.failed:
		e.problem(data)
	default:
		e.chunk(data)
	}
}

func (e *events) problem(data string) {
	var body struct {
		Error problem `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		e.damaged = err.Error()
		return
	}
	e.reason = body.Error.Reason
}

func (e *events) chunk(data string) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		e.damaged = err.Error()
		return
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if e.tokens == 0 {
			e.first = time.Since(e.began)
		}
		e.tokens++
		e.text.WriteString(choice.Delta.Content)
	}
}

// judge compares the text with the right one. A stream without its end mark is
// cut even if its text happens to be all there: the caller cannot know.
func (e *events) judge(want string) (Verdict, string) {
	switch {
	case e.whole && (e.failed || e.after):
		return Wrong, "more than an end mark at the end"
	case e.whole && e.text.String() != want:
		return Wrong, "another text"
	case e.whole && e.damaged != "":
		return Wrong, e.damaged
	case e.whole:
		return Served, ""
	case !strings.HasPrefix(want, e.text.String()):
		return Wrong, "another text before the cut"
	case e.failed:
		return Cut, e.reason
	case e.damaged != "":
		return Cut, e.damaged
	}
	return Cut, "no end mark"
}
