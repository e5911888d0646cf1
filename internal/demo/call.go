package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/transport/dayui"
)

// streamEnd is the last event of a whole streamed answer.
const streamEnd = "[DONE]"

// chat asks a model for a streamed answer and checks that it came whole.
func (s *session) chat(ctx context.Context, step, model string) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":"What is for supper?"}]}`, model)
	began := time.Now()
	resp, err := s.do(ctx, 0, http.MethodPost, "/v1/chat/completions", body, nil)
	if err != nil {
		return trace.Wrap(err, step)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return trace.Errorf("%s: status %d: %s", step, resp.StatusCode, text)
	}
	events, first, err := readEvents(resp.Body, began)
	if err != nil {
		return trace.Wrap(err, step)
	}
	s.note(Step{
		Step: step, Status: resp.StatusCode, Took: time.Since(began), FirstToken: first,
		Result: fmt.Sprintf("%s answered with %d events and the end mark", model, events),
	})
	return nil
}

// readEvents counts the events of a stream and tells when the first one came.
func readEvents(r io.Reader, began time.Time) (int, time.Duration, error) {
	events := 0
	var first time.Duration
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == streamEnd {
			return events, first, nil
		}
		if events == 0 {
			first = time.Since(began)
		}
		events++
	}
	return events, first, trace.Errorf("the stream ended after %d events without its end mark", events)
}

func (s *session) send(ctx context.Context, step, method, path, body string, header http.Header, want int) error {
	return s.sendTo(ctx, 0, step, method, path, body, header, want)
}

// sendTo sends a call to one entry and checks the status of the answer.
func (s *session) sendTo(ctx context.Context, n int, step, method, path, body string, header http.Header, want int) error {
	began := time.Now()
	resp, err := s.do(ctx, n, method, path, body, header)
	if err != nil {
		return trace.Wrap(err, step)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err, step)
	}
	if resp.StatusCode != want {
		return trace.Errorf("%s: status %d, not %d: %s", step, resp.StatusCode, want, text)
	}
	s.note(Step{Step: step, Status: resp.StatusCode, Took: time.Since(began), Result: summary(text)})
	return nil
}

func (s *session) do(ctx context.Context, n int, method, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.deployment.Callers(n)+path, strings.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	return s.client.Do(req)
}

// summaryBytes is how much of an answer a step shows.
const summaryBytes = 160

// summary is the beginning of an answer, or the gist of a refusal.
func summary(text []byte) string {
	var problem struct {
		Reason string `json:"reason"`
		Detail string `json:"detail"`
		NotRun bool   `json:"notRun"`
	}
	if json.Unmarshal(text, &problem) == nil && problem.Reason != "" {
		return fmt.Sprintf("refused (%s), notRun %t: %s", problem.Reason, problem.NotRun, problem.Detail)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return line[:min(len(line), summaryBytes)]
}

// print shows the session.
func (r Report) print(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(r))
	}
	for _, step := range r.Steps {
		fmt.Fprintf(w, "%-22s %9s  %s\n", step.Step, step.Took.Round(time.Millisecond), step.Result)
	}
	fmt.Fprintln(w)
	return dayui.Text(w, r.Day)
}
