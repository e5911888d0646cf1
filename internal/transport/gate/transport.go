package gate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// schemePlain is the scheme of requests without TLS.
const schemePlain = "http"

// Transport is an HTTP/1 transport that takes no broken response for a whole one.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of base, whose DialContext opens the
// connections. It takes base over.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newEndConn(raw), nil
	}
	return &Transport{base}
}

// RoundTrip sends a request and returns the response, as http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[endConn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := find[*endConn](info.Conn)
			c.beginRequest(req.URL.Scheme == schemePlain)
			used.Store(c)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				used.Load().endRequest()
			}
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		// The connection may be kept for the next request by now.
		_ = used.Load().Close()
		return nil, err
	}
	return resp, nil
}

// ErrInvalidHead is the error of a response whose head is none of a final HTTP response.
var ErrInvalidHead = errors.New("invalid head of a response")

// Range of the status codes of final responses, by RFC 9110, section 15.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// checkHead returns ErrInvalidHead for what net/http accepts although it is no final response.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalidHead, resp.StatusCode)
	}
	for name := range resp.Header {
		// A name with any other byte that is not allowed is refused by net/http.
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: name %q", ErrInvalidHead, name)
		}
	}
	return nil
}
