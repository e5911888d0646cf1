package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

const (
	stepGenerate = "generate"
	// chunkBytes bounds one line of a stream.
	chunkBytes = 64 << 10
	// tailBytes is how much is read after the end mark to keep the connection.
	tailBytes = 4 << 10
	// tailTimeout is how long the end of the body may take after the end mark.
	tailTimeout = 50 * time.Millisecond
)

var (
	errNoEndMark   = errors.New("no end mark")
	errClosed      = errors.New("the stream is closed")
	errLineTooLong = errors.New("a line of the stream is too long")
)

// Stream is an answer that is being generated; it is not safe for use by
// several goroutines at once.
type Stream struct {
	peer   netip.AddrPort
	id     string
	next   int
	resp   *http.Response
	call   *gate.Call
	lines  *bufio.Reader
	parent context.Context
	cancel context.CancelFunc
	err    error
}

// Generate asks an engine for an answer and returns it as a stream once the
// engine has taken the request. The stream lives no longer than ctx and must be
// closed.
func (c *Client) Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest) (*Stream, error) {
	own, cancel := context.WithCancel(ctx)
	tracked, call := gate.Track(own, nil)
	resp, err := c.send(tracked, c.streams, at, http.MethodPost, wire.PathGenerate, req)
	if err != nil {
		notRun := !call.Seal()
		cancel()
		return nil, trace.Wrap(&Error{Step: stepGenerate, Peer: at, NotRun: notRun, Err: err})
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, trace.Wrap(c.refused(at, resp, call))
	}
	return &Stream{
		peer:   at,
		id:     req.RequestID,
		next:   req.Offset,
		resp:   resp,
		call:   call,
		lines:  bufio.NewReader(resp.Body),
		parent: ctx,
		cancel: cancel,
	}, nil
}

func (c *Client) refused(at netip.AddrPort, resp *http.Response, call *gate.Call) *Error {
	defer resp.Body.Close()
	data, err := c.replies.ReadAll(resp.Body)
	if err != nil {
		call.Seal()
		return &Error{Step: stepGenerate, Peer: at, Status: resp.StatusCode, Err: err}
	}
	call.Release()
	return refusal(stepGenerate, at, resp.StatusCode, data)
}

// Tokens returns how many tokens of the whole answer have arrived, including
// those that a resumed stream began after.
func (s *Stream) Tokens() int {
	return s.next
}

// Next returns the next token, then once the end mark, then io.EOF. Any other
// error is a *StreamError and final.
func (s *Stream) Next(ctx context.Context) (wire.Chunk, error) {
	if s.err != nil {
		return wire.Chunk{}, s.err
	}
	// Most callers pass the context that they began with, which needs no watcher.
	if ctx.Done() != s.parent.Done() {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	for {
		chunk, err := s.read()
		if err != nil {
			return wire.Chunk{}, s.fail(ctx, err)
		}
		if s.isDuplicate(chunk) {
			continue
		}
		if err := s.check(chunk); err != nil {
			return wire.Chunk{}, s.fail(ctx, err)
		}
		if chunk.Done {
			s.err = io.EOF
			return chunk, nil
		}
		s.next++
		return chunk, nil
	}
}

// Close gives up what has not arrived yet. After the end mark it keeps the
// connection, unless the end of the body does not follow at once.
func (s *Stream) Close() {
	if !errors.Is(s.err, io.EOF) {
		s.err = errClosed
		s.drop()
		return
	}
	s.err = errClosed
	late := time.AfterFunc(tailTimeout, s.cancel)
	defer late.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(s.lines, tailBytes))
	if err != nil || n == tailBytes {
		s.drop()
		return
	}
	s.call.Release()
	s.resp.Body.Close()
	s.cancel()
}

func (s *Stream) isDuplicate(chunk wire.Chunk) bool {
	return chunk.RequestID == s.id && !chunk.Done && chunk.Index < s.next
}

func (s *Stream) read() (wire.Chunk, error) {
	line, err := s.readLine()
	if err != nil {
		return wire.Chunk{}, err
	}
	var chunk wire.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return wire.Chunk{}, s.fault(StreamDamaged, err)
	}
	return chunk, nil
}

// readLine returns a whole line; what stands before a cut is no line, even if
// it happens to be valid JSON.
func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && line == nil {
			return part, nil
		}
		line = append(line, part...)
		if len(line) > chunkBytes {
			return nil, s.fault(StreamDamaged, errLineTooLong)
		}
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, s.fault(StreamCut, errNoEndMark)
		default:
			return nil, s.fault(StreamCut, err)
		}
	}
}

func (s *Stream) check(chunk wire.Chunk) error {
	switch {
	case chunk.RequestID != s.id:
		return s.fault(StreamCrossed, fmt.Errorf("chunk of request %q instead of %q", chunk.RequestID, s.id))
	case chunk.Done && chunk.Reason == wire.FinishCancelled:
		return s.fault(StreamCancelled, nil)
	case chunk.Done && chunk.Reason != wire.FinishStop && chunk.Reason != wire.FinishLength:
		return s.fault(StreamDamaged, fmt.Errorf("undefined reason %q of the end", chunk.Reason))
	case chunk.Done && chunk.Tokens != s.next:
		return s.fault(StreamGap, fmt.Errorf("the whole answer has %d tokens", chunk.Tokens))
	case !chunk.Done && chunk.Index != s.next:
		return s.fault(StreamGap, fmt.Errorf("token %d came instead of %d", chunk.Index, s.next))
	}
	return nil
}

func (s *Stream) fault(fault StreamFault, err error) error {
	return &StreamError{Fault: fault, Step: stepGenerate, Peer: s.peer, Tokens: s.next, Err: err}
}

func (s *Stream) fail(ctx context.Context, err error) error {
	var fault *StreamError
	if cause := context.Cause(ctx); cause != nil && errors.As(err, &fault) {
		fault.Err = cause
	}
	s.err = trace.Wrap(err)
	s.drop()
	return s.err
}

func (s *Stream) drop() {
	s.call.Seal()
	s.cancel()
	s.resp.Body.Close()
}
