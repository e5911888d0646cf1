package front

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"strings"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Bounds of an answer's length in tokens.
const (
	defaultTokens = 512
	mostTokens    = 32_768
)

// Priorities of the engines, higher ones first.
const (
	priorityUrgent     = 10
	priorityDeferrable = 0
)

// chatRequest is the body of POST /v1/chat/completions; fields that are not
// named here are accepted and have no effect.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Seed                *int64        `json:"seed"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is text, given whole or in parts.
type chatContent string

// UnmarshalJSON reads text or a list of text parts.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is text or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("only text parts are taken")
		}
		b.WriteString(part.Text)
	}
	*c = chatContent(b.String())
	return nil
}

func (c *call) serveChat() *Problem {
	body, problem := c.readAll(c.h.Bounds.ChatBytes)
	if problem != nil {
		return problem
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return refuse(http.StatusBadRequest, reasonMalformed, "the body is not a chat completion request: "+err.Error())
	}
	if problem := req.check(); problem != nil {
		return problem
	}
	at, problem := c.dir.resolve(req.Model)
	if problem != nil {
		return problem
	}
	c.out.Model, c.out.Adapter = at.model, at.adapter
	if problem := c.settle(at.service, pathChat); problem != nil {
		return problem
	}
	g := c.newGeneration(at, req, int64(len(body)))
	if c.out.Class == config.ClassRunOnce {
		return c.chatOnce(g, req, body)
	}
	return c.limited(func() *Problem { return c.chat(g, req) })
}

func (r chatRequest) check() *Problem {
	switch {
	case r.Model == "":
		return refuse(http.StatusBadRequest, reasonMalformed, "model is missing")
	case len(r.Messages) == 0:
		return refuse(http.StatusBadRequest, reasonMalformed, "messages is missing or empty")
	case r.tokens() < 1 || r.tokens() > mostTokens:
		return refuse(http.StatusBadRequest, reasonMalformed, "max_tokens is between 1 and 32768")
	}
	return nil
}

func (r chatRequest) tokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return defaultTokens
}

func (c *call) chat(g *generation, req chatRequest) *Problem {
	if req.Stream {
		sse := newEventStream(c, req.Model)
		problem := g.run(sse.token)
		return sse.finish(problem, g.reason)
	}
	var text strings.Builder
	problem := g.run(func(s string) error {
		text.WriteString(s)
		return nil
	})
	if problem != nil {
		return problem
	}
	return c.writeJSON(http.StatusOK, g.completion(req.Model, text.String()))
}

// newGeneration prepares the request for the engines. Its id is the entry's
// own: two callers may choose the same one, and an engine must not mix them up.
func (c *call) newGeneration(at address, req chatRequest, size int64) *generation {
	messages := make([]wire.Message, len(req.Messages))
	for i, m := range req.Messages {
		messages[i] = wire.Message{Role: m.Role, Content: string(m.Content)}
	}
	id := c.h.NewID()
	seed := int64(hashText(id))
	if req.Seed != nil {
		seed = *req.Seed
	}
	priority := priorityUrgent
	if c.out.Class == config.ClassDeferrable {
		priority = priorityDeferrable
	}
	return &generation{
		call: c, size: size, prefix: wire.Prefix(at.model, at.adapter, messages),
		req: wire.GenerateRequest{
			RequestID: id, Model: at.model, Adapter: at.adapter, Messages: messages,
			MaxTokens: req.tokens(), Seed: seed, Priority: priority,
		},
	}
}

func hashText(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// completion is a whole chat completion.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Message      wire.Message `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (g *generation) completion(model, text string) completion {
	return completion{
		ID: completionID(g.call), Object: "chat.completion", Created: g.call.start.Unix(), Model: model,
		Choices: []completionChoice{{
			Message:      wire.Message{Role: "assistant", Content: text},
			FinishReason: g.reason,
		}},
		Usage: completionUsage{CompletionTokens: g.next},
	}
}

func completionID(c *call) string {
	return "chatcmpl-" + c.out.RequestID
}
