package front

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// eventStream writes an answer as server-sent events in the shape of chat
// completion chunks. Its end mark is written only after the whole answer.
type eventStream struct {
	call *call
	head []byte
	tail []byte
	buf  []byte
}

func newEventStream(c *call, model string) *eventStream {
	name, err := json.Marshal(model)
	if err != nil {
		// Text always encodes.
		panic(err)
	}
	head := `data: {"id":` + strconv.Quote(completionID(c)) + `,"object":"chat.completion.chunk","created":` +
		strconv.FormatInt(c.start.Unix(), 10) + `,"model":` + string(name) + `,"choices":[{"index":0,"delta":`
	return &eventStream{call: c, head: []byte(head), tail: []byte("}]}\n\n")}
}

// token sends one token; the first one begins the answer.
func (s *eventStream) token(text string) error {
	if !s.call.w.(*answerWriter).begun {
		s.begin()
		if err := s.chunk(`{"role":"assistant","content":""},"finish_reason":null`); err != nil {
			return err
		}
	}
	content, err := json.Marshal(text)
	if err != nil {
		return err
	}
	return s.chunk(`{"content":` + string(content) + `},"finish_reason":null`)
}

func (s *eventStream) begin() {
	h := s.call.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.call.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) chunk(delta string) error {
	s.buf = append(s.buf[:0], s.head...)
	s.buf = append(s.buf, delta...)
	s.buf = append(s.buf, s.tail...)
	return s.send()
}

func (s *eventStream) send() error {
	if _, err := s.call.w.Write(s.buf); err != nil {
		return err
	}
	return s.call.w.(*answerWriter).flush()
}

// finish ends the events: with the end mark after a whole answer, with an error
// event and without the mark after a part of one.
func (s *eventStream) finish(problem *Problem, reason string) *Problem {
	if problem != nil {
		return s.abort(problem)
	}
	if !s.call.w.(*answerWriter).begun {
		s.begin()
	}
	s.call.conclude(nil)
	if err := s.chunk(`{},"finish_reason":` + strconv.Quote(reason)); err != nil {
		return stalled(err)
	}
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	if err := s.send(); err != nil {
		return stalled(err)
	}
	return nil
}

func (s *eventStream) abort(problem *Problem) *Problem {
	if !s.call.w.(*answerWriter).begun {
		return problem
	}
	s.call.conclude(problem)
	body := problem.encode(s.call.out.RequestID)
	s.buf = append(s.buf[:0], "event: error\ndata: {\"error\":"...)
	s.buf = append(s.buf, body[:len(body)-1]...)
	s.buf = append(s.buf, "}\n\n"...)
	// The caller may be what failed; the problem is reported either way.
	_ = s.send()
	s.call.closed = true
	return problem
}
