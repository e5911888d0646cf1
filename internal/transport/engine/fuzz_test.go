package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"chivecroft.example/chivecroft/internal/transport/gate"
)

// FuzzStream: whatever a target sends, a stream hands out its own request's
// tokens in order and without gaps, an end only after as many tokens as the end
// mark names, and once it has failed nothing but the same error.
func FuzzStream(f *testing.F) {
	f.Add([]byte(`{"requestId":"r","index":0,"text":"a"}`+"\n"+`{"requestId":"r","done":true,"tokens":1,"reason":"stop"}`+"\n"), 0)
	f.Add([]byte(`{"requestId":"r","index":3,"text":"d"}`+"\n"+`{"requestId":"r","index":3,"text":"d"}`+"\n"), 3)
	f.Add([]byte(`{"requestId":"x","index":0}`+"\n"), 0)
	f.Add([]byte(`{"requestId":"r","done":true,"tokens":-1,"reason":"length"}`+"\n"), -1)
	f.Fuzz(func(t *testing.T, sent []byte, offset int) {
		offset &= 0xffff
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, call := gate.Track(ctx, nil)
		s := &Stream{
			peer: netip.MustParseAddrPort("192.0.2.1:80"), id: "r", next: offset, call: call,
			resp:   &http.Response{Body: io.NopCloser(bytes.NewReader(nil))},
			lines:  bufio.NewReader(bytes.NewReader(sent)),
			parent: ctx, cancel: cancel,
		}
		for got := offset; ; got++ {
			chunk, err := s.Next(ctx)
			if err != nil {
				var fault *StreamError
				if !errors.As(err, &fault) {
					t.Fatalf("%v is no *StreamError", err)
				}
				if _, again := s.Next(ctx); !errors.Is(again, err) {
					t.Fatalf("%v after %v", again, err)
				}
				return
			}
			if chunk.RequestID != "r" {
				t.Fatalf("a chunk of request %q", chunk.RequestID)
			}
			if chunk.Done {
				if chunk.Tokens != got {
					t.Fatalf("the end of %d tokens after %d", chunk.Tokens, got)
				}
				return
			}
			if chunk.Index != got {
				t.Fatalf("token %d instead of %d", chunk.Index, got)
			}
		}
	})
}
