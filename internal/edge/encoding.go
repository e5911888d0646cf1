package edge

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const (
	encodingGzip = "gzip"
	// minCompressedBytes is the size from which on messages are compressed. Smaller ones
	// fit into one packet.
	minCompressedBytes = 1200
)

// compressors holds compressors of the fastest level: each has tables of 1.2 MB.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// compress returns the compressed data.
func compress(data []byte) []byte {
	var b bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	// Writes to a Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// setBody sets the body of a message, compressed if it is large.
func setBody(req *http.Request, data []byte) {
	if len(data) >= minCompressedBytes {
		data = compress(data)
		req.Header.Set("Content-Encoding", encodingGzip)
	}
	req.Body = io.NopCloser(bytes.NewReader(data))
	req.ContentLength = int64(len(data))
}

// writeBody writes the body of a response to r, compressed if it is large and the other
// instance accepts that.
func writeBody(w http.ResponseWriter, r *http.Request, data []byte) {
	isCompressed := len(data) >= minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip)
	if isCompressed {
		data = compress(data)
	}
	if !chargeAnswer(w, r, len(data)) {
		return
	}
	if isCompressed {
		w.Header().Set("Content-Encoding", encodingGzip)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// readBody has readAll read a body, uncompressed.
func readBody(h http.Header, body io.Reader, readAll func(io.Reader) ([]byte, error)) ([]byte, error) {
	if h.Get("Content-Encoding") != encodingGzip {
		return readAll(body)
	}
	z, err := gzip.NewReader(body)
	if err != nil {
		return nil, err
	}
	var out io.Reader = z
	if m, ok := body.(*chargedMessage); ok {
		out = m.uncompressed(z)
	}
	return readAll(out)
}

// readAtMost returns a function that reads limit bytes and cuts what is longer there.
func readAtMost(limit int64) func(io.Reader) ([]byte, error) {
	return func(r io.Reader) ([]byte, error) { return io.ReadAll(io.LimitReader(r, limit)) }
}

// uncompress returns the data that compress has compressed.
func uncompress(data []byte) ([]byte, error) {
	return readBody(http.Header{"Content-Encoding": {encodingGzip}}, bytes.NewReader(data), readAtMost(maxConfigBytes))
}
