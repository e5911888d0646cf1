package proxy_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/platform/fake"
)

// TestLimitsInResponses has a target name a rate limit in responses of all kinds, and in
// some that are not its own, and lists the limits that the lease holder is told.
func TestLimitsInResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		behave func(w http.ResponseWriter, req *http.Request, f *fake.Target)
		want   []float64
	}{
		{"success", "/unsafe/", func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
			f.Sign(w, req)
			_, _ = io.WriteString(w, "whole")
		}, []float64{2}},
		{"stream", "/stream/", func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
			f.Sign(w, req)
			_, _ = io.WriteString(w, fake.Event(1))
		}, []float64{2}},
		{"rejection", "/unsafe/", func(w http.ResponseWriter, req *http.Request, _ *fake.Target) {
			fake.Refuse(w, req)
		}, []float64{2}},
		{"failure of its own", "/unsafe/", func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
			f.Sign(w, req)
			w.WriteHeader(http.StatusInternalServerError)
		}, []float64{2}},
		{"response to another request", "/unsafe/", func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
			f.Sign(w, req)
			w.Header().Set("Chivecroft-Attempt-Id", "other")
		}, nil},
		{"another target at the address", "/unsafe/", func(w http.ResponseWriter, req *http.Request, _ *fake.Target) {
			w.Header().Set("Chivecroft-Attempt-Id", fake.CallID(req))
			w.Header().Set("Chivecroft-Instance-Id", "other")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := newTwoTargets(t)
			r := newRig(t, near, far)
			near.NameLimit(2)
			near.Behave(func(w http.ResponseWriter, req *http.Request) { c.behave(w, req, near) })
			r.call(c.path)
			var got []float64
			reports, _ := r.picker.LimitDemand()
			for _, report := range reports {
				got = append(got, report.PerSecond)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("limits (-want +got):\n%s", diff)
			}
		})
	}
}
