package meter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

func newMeter(t testing.TB) *Meter {
	t.Helper()
	m, err := New("e1", "bul-a", WithTenants(2), WithModels(3))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := m.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return m
}

// scrape returns the lines of the metrics that hold part.
func scrape(m *Meter, part string) []string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var lines []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.Contains(line, part) && !strings.HasPrefix(line, "#") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

func TestSeries(t *testing.T) {
	m := newMeter(t)
	call := Call{Service: "assist", Tenant: "desk", Class: config.ClassInteractive}
	m.QueueWait(call, 30*time.Millisecond)
	m.ColdStart(call, "menu", 3*time.Second)
	m.FirstToken(call, 700*time.Millisecond)
	m.TokenGap(call, 20*time.Millisecond)
	m.Served(call)
	m.Refused(call, "deadline", true)
	m.KVCall("put", ports.KVConflict)
	m.ControlBytes("gossip", true, 120)
	m.LinkBytes("pampanga", "service", false, 7)
	m.Load("menu", ports.TierDisk, false)
	m.IdleAccelerator("menu", 90*time.Second)
	m.Limits(2)
	m.Quota("desk", "granted", 400)
	m.QuotaLevel("desk", -20)
	m.TargetEnd("assist")
	m.Blocks(1)
	m.ProofAge(1500 * time.Millisecond)
	m.Order("taken", "passed")
	m.OrderTermLeft(460 * time.Millisecond)
	m.TermEnd("stopped")
	m.StoreRestored()
	m.OutdatedIgnored("config", 3)
	m.ConfigActivated(7, "relay")
	labels := `{chivecroft_class="interactive",chivecroft_service="assist",chivecroft_tenant="desk"`
	cases := []struct{ part, want string }{
		{"queue_wait_duration_seconds_sum", `chivecroft_queue_wait_duration_seconds_sum` + labels + `} 0.03`},
		{"cold_start_duration_seconds_sum", `chivecroft_cold_start_duration_seconds_sum` + labels + `,gen_ai_request_model="menu"} 3`},
		{"time_to_first_token_seconds_count", `gen_ai_server_time_to_first_token_seconds_count` + labels + `} 1`},
		{`time_per_output_token_seconds_bucket` + labels + `,le="0.02"`, `gen_ai_server_time_per_output_token_seconds_bucket` + labels + `,le="0.02"} 1`},
		{"quota_amount", `chivecroft_quota_amount_total{chivecroft_outcome="granted",chivecroft_team="desk"} 400`},
		{"quota_level", `chivecroft_quota_level{chivecroft_team="desk"} -20`},
		{"requests_served", `chivecroft_requests_served_total` + labels + `} 1`},
		{"requests_refused", `chivecroft_requests_refused_total{chivecroft_class="interactive",chivecroft_not_run="true",chivecroft_service="assist",chivecroft_tenant="desk",error_type="deadline"} 1`},
		{"kv_calls", `chivecroft_kv_calls_total{db_operation_name="put",db_response_status_code="conflict"} 1`},
		{"control_io", `chivecroft_control_io_bytes_total{chivecroft_message="gossip",network_io_direction="transmit"} 120`},
		{"link_io", `chivecroft_link_io_bytes_total{chivecroft_kind="service",chivecroft_region="pampanga",network_io_direction="receive"} 7`},
		{"chivecroft_loads", `chivecroft_loads_total{chivecroft_outcome="failed",chivecroft_tier="disk",gen_ai_request_model="menu"} 1`},
		{"accelerator_idle", `chivecroft_accelerator_idle_time_seconds_total{gen_ai_request_model="menu"} 90`},
		{"target_limits", `chivecroft_target_limits 2`},
		{"prompt_blocks", `chivecroft_prompt_blocks 1`},
		{"config_proof_age", `chivecroft_config_proof_age_seconds 1.5`},
		{"chivecroft_orders", `chivecroft_orders_total{chivecroft_check="passed",chivecroft_result="taken"} 1`},
		{"term_left_seconds_sum", `chivecroft_order_term_left_seconds_sum 0.46`},
		{"kv_restores", `chivecroft_kv_restores_total 1`},
		{"outdated", `chivecroft_outdated_total{chivecroft_feed="config"} 3`},
		{"config_version", `chivecroft_config_version 7`},
		{"config_activations", `chivecroft_config_activations_total{chivecroft_source="relay"} 1`},
		{"term_ends", `chivecroft_term_ends_total{chivecroft_reason="stopped"} 1`},
		{"target_ends", `chivecroft_target_ends_total{chivecroft_service="assist"} 1`},
	}
	for _, c := range cases {
		if diff := cmp.Diff([]string{c.want}, scrape(m, c.part)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.part, diff)
		}
	}
}

// TestSeriesAreBounded uses as many tenants and models as the target size has:
// those beyond the bounds share a series, and nothing is lost.
func TestSeriesAreBounded(t *testing.T) {
	m := newMeter(t)
	const calls = 5600
	for i := range calls {
		call := Call{Service: "assist", Tenant: fmt.Sprintf("tenant-%d", i), Class: config.ClassLookup}
		m.Served(call)
		m.ColdStart(call, fmt.Sprintf("model-%d", i), time.Second)
	}
	served := scrape(m, "requests_served")
	if len(served) != 3 {
		t.Errorf("%d series, wanted two tenants and other:\n%s", len(served), strings.Join(served, "\n"))
	}
	want := fmt.Sprintf(`tenant="other"} %d`, calls-2)
	if !strings.Contains(strings.Join(served, "\n"), want) {
		t.Errorf("no series ends in %s:\n%s", want, strings.Join(served, "\n"))
	}
	if all := scrape(m, "cold_start_duration_seconds_count"); len(all) > 3*4 {
		t.Errorf("%d series of cold starts, wanted at most %d", len(all), 3*4)
	}
}

// BenchmarkTokenGap is the cost of the metric that is recorded most often.
func BenchmarkTokenGap(b *testing.B) {
	m := newMeter(b)
	call := Call{Service: "assist", Tenant: "desk", Class: config.ClassInteractive}
	b.ReportAllocs()
	for b.Loop() {
		m.TokenGap(call, 20*time.Millisecond)
	}
}
