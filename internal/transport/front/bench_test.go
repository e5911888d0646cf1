package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chivecroft.example/chivecroft/internal/transport/front"
)

// BenchmarkWarmChat answers a completion of ten tokens, whole and streamed, from
// an engine that costs nothing.
func BenchmarkWarmChat(b *testing.B) {
	for name, body := range map[string]string{
		"whole":    tenTokens,
		"streamed": strings.Replace(tenTokens, "{", `{"stream":true,`, 1),
	} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			defer r.driver.Stop()
			r.handler = front.New(front.Deps{
				Config: r.configuration, Table: r.table, Room: r.queues, Limits: r.limits, Claims: r.driver,
				Engine: r.engine, Services: r.sender, Timer: r.clock,
			})
			r.rows(1, replicaRow("r1", "menu", 9001))
			b.ReportAllocs()
			for b.Loop() {
				req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
				r.handler.ServeHTTP(httptest.NewRecorder(), req)
			}
		})
	}
}
