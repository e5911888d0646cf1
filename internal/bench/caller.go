package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/plain"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// Verdict is how a call ended for its caller.
type Verdict string

// The ends of a call.
const (
	// Served means a whole answer with the right content, in time.
	Served Verdict = "served"
	// Late means a whole and right answer after the deadline.
	Late Verdict = "late"
	// Refused means a refusal that says that nothing ran.
	Refused Verdict = "refused"
	// Unknown means an honest "outcome unknown".
	Unknown Verdict = "unknown"
	// Repeated means that the request key is in progress or its outcome known.
	Repeated Verdict = "repeated"
	// Cut means that a stream broke off and said so, or lacks its end mark.
	Cut Verdict = "cut"
	// Wrong means an answer that claims to be whole and is not the right one.
	Wrong Verdict = "wrong"
	// Unreached means that no connection was made, so that nothing was sent.
	Unreached Verdict = "unreached"
	// Lost means no answer, or one that cannot be understood.
	Lost Verdict = "lost"
)

// Answer is the end of one call.
type Answer struct {
	Verdict Verdict
	Status  int
	// Reason is the problem document's, or what was found wrong.
	Reason string
	// FirstToken is the time to the first token, or to the head of the answer of
	// a plain service; 0 if none came.
	FirstToken time.Duration
	Took       time.Duration
	Tokens     int
	RequestID  string
}

// Chat is a streamed chat completion to be asked for.
type Chat struct {
	Model    string
	Adapter  string
	Content  string
	Seed     int64
	Tokens   int
	Deadline time.Duration
}

// Want returns the right text of the whole answer, given that the entry's
// engines are the stand-ins.
func (c Chat) Want() string {
	return strings.Join(target.Answer(wire.GenerateRequest{
		Model: c.Model, Adapter: c.Adapter, Seed: c.Seed, MaxTokens: c.Tokens,
		Messages: []wire.Message{{Role: "user", Content: c.Content}},
	}), "")
}

// Call is a call of a plain service to be made.
type Call struct {
	Service  string
	Method   string
	Path     string
	Body     string
	Key      string
	Deadline time.Duration
}

// Caller makes calls at one entry and judges their answers.
type Caller struct {
	url    string
	key    string
	client *http.Client
}

// deadlineGrace is how much longer than its deadline a caller listens: it is
// promised an answer or a refusal in time, and later than that counts as none.
const deadlineGrace = 2 * time.Second

// NewCaller returns a caller at an entry with an API key.
func NewCaller(url, key string, client *http.Client) *Caller {
	return &Caller{url: strings.TrimRight(url, "/"), key: key, client: client}
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model     string         `json:"model"`
	Messages  []wire.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Seed      int64          `json:"seed"`
	Stream    bool           `json:"stream"`
}

// Chat asks for a streamed answer and reads it to its end.
func (c *Caller) Chat(ctx context.Context, chat Chat) Answer {
	began := time.Now()
	model := chat.Model
	if chat.Adapter != "" {
		model += ":" + chat.Adapter
	}
	body, err := json.Marshal(chatBody{
		Model: model, MaxTokens: chat.Tokens, Seed: chat.Seed, Stream: true,
		Messages: []wire.Message{{Role: "user", Content: chat.Content}},
	})
	if err != nil {
		return Answer{Verdict: Lost, Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, chat.Deadline+deadlineGrace)
	defer cancel()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", string(body), chat.Deadline, "")
	if err != nil {
		return unanswered(err, began)
	}
	defer resp.Body.Close()
	answer := Answer{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		return refusal(answer, resp.Body, began)
	}
	e := events{began: began}
	e.read(resp.Body)
	answer.FirstToken, answer.Tokens, answer.Took = e.first, e.tokens, time.Since(began)
	answer.Verdict, answer.Reason = e.judge(chat.Want())
	return inTime(answer, chat.Deadline)
}

// Models asks for the list of models, and judges only whether it came.
func (c *Caller) Models(ctx context.Context) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, deadlineGrace)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, "/v1/models", "", deadlineGrace, "")
	if err != nil {
		return unanswered(err, began)
	}
	defer resp.Body.Close()
	answer := Answer{Status: resp.StatusCode, Verdict: Served}
	if resp.StatusCode != http.StatusOK {
		return refusal(answer, resp.Body, began)
	}
	return answer
}

// Call makes a call of a plain service.
func (c *Caller) Call(ctx context.Context, call Call) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+deadlineGrace)
	defer cancel()
	resp, err := c.send(ctx, call.Method, "/services/"+call.Service+call.Path, call.Body, call.Deadline, call.Key)
	if err != nil {
		return unanswered(err, began)
	}
	defer resp.Body.Close()
	answer := Answer{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id"), FirstToken: time.Since(began)}
	if resp.StatusCode != http.StatusOK {
		return refusal(answer, resp.Body, began)
	}
	got, err := io.ReadAll(resp.Body)
	answer.Took = time.Since(began)
	switch {
	case err != nil:
		answer.Verdict, answer.Reason = Cut, cause(err)
	case string(got) != string(plain.Echo(call.Method, call.Path, []byte(call.Body))):
		answer.Verdict, answer.Reason = Wrong, "another body"
	default:
		answer.Verdict = Served
	}
	return inTime(answer, call.Deadline)
}

func (c *Caller) send(ctx context.Context, method, path, body string, deadline time.Duration, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if body == "" {
		// A call that net/http repeats by itself would be counted once here and
		// twice by the entry.
		req.Body = front.Unrepeatable()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline", deadline.String())
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if key != "" {
		// Under its usual spelling net/http would repeat the call by itself.
		req.Header["idempotency-key"] = []string{key}
	}
	return c.client.Do(req)
}

// problem is what the bench reads of a problem document.
type problem struct {
	Reason         string `json:"reason"`
	NotRun         bool   `json:"notRun"`
	OutcomeUnknown bool   `json:"outcomeUnknown"`
}

const problemBytes = 64 << 10

// repeats are the reasons that answer a request key seen before.
var repeats = map[string]bool{"inProgress": true, "outcomeKnownBodyNotKept": true}

// refusal judges an answer that is not 200. One that is no problem document
// leaves the caller in the dark.
func refusal(answer Answer, body io.Reader, began time.Time) Answer {
	var p problem
	err := json.NewDecoder(io.LimitReader(body, problemBytes)).Decode(&p)
	answer.Took = time.Since(began)
	answer.Reason = p.Reason
	switch {
	case err != nil || p.Reason == "":
		answer.Verdict, answer.Reason = Lost, fmt.Sprintf("status %d without a problem document", answer.Status)
	case repeats[p.Reason]:
		answer.Verdict = Repeated
	case p.OutcomeUnknown || !p.NotRun:
		answer.Verdict = Unknown
	default:
		answer.Verdict = Refused
	}
	return answer
}

// unanswered judges a call that failed before the head of its answer.
func unanswered(err error, began time.Time) Answer {
	answer := Answer{Verdict: Lost, Reason: cause(err), Took: time.Since(began)}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		answer.Verdict = Unreached
	}
	return answer
}

func inTime(answer Answer, deadline time.Duration) Answer {
	if answer.Verdict == Served && answer.Took > deadline {
		answer.Verdict = Late
	}
	return answer
}

// cause shortens an error to what groups with others of its kind.
func cause(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}
