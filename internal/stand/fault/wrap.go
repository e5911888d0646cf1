package fault

import (
	"io"
	"net/http"
	"time"
)

// Wrap puts the common faults before and after handler; droppable, if not nil,
// tells which answers may be dropped, and down answers while refusing.
func (p *Panel[F]) Wrap(handler http.Handler, droppable func(*http.Request) bool, down http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := p.Get()
		common := *p.common(&now)
		if !sleep(r, time.Duration(common.Delay)) {
			return
		}
		switch common.Outage {
		case OutageRefuse:
			down(w, r)
			return
		case OutageHang:
			// The server notices a client that has gone only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case OutageReset:
			panic(http.ErrAbortHandler)
		case OutageNone:
		}
		if (droppable == nil || droppable(r)) && p.drops() {
			handler.ServeHTTP(&void{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// drops draws whether the next answer is dropped.
func (p *Panel[F]) drops() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	common := p.common(&p.now)
	if common.DropNext > 0 {
		common.DropNext--
		return true
	}
	return common.DropRate > 0 && p.random.Float64() < common.DropRate
}

// void is an answer that nobody gets.
type void struct{ header http.Header }

func (v *void) Header() http.Header         { return v.header }
func (v *void) Write(b []byte) (int, error) { return len(b), nil }
func (v *void) WriteHeader(int)             {}
func (v *void) Flush()                      {}
