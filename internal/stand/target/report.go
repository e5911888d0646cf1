package target

import (
	"net/http"
	"strconv"
	"time"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/fault"
)

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, wire.ReasonInvalid)
			return
		}
		after = n
	}
	events := s.cache.after(after)
	events.Boot = s.boot
	fault.WriteJSON(w, http.StatusOK, events)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.loadSeen
	report.Age = time.Since(s.loadAt)
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, report)
}

// sampleLoad renews the load report, which is therefore always somewhat old.
func (s *Server) sampleLoad() {
	f := s.Panel.Get()
	if f.StaleLoad {
		return
	}
	report := s.loadNow()
	if f.WrongLoad {
		for i := range report.Replicas {
			report.Replicas[i].Running, report.Replicas[i].Queued = 0, 0
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadSeen, s.loadAt = report, time.Now()
}

func (s *Server) loadNow() wire.LoadReport {
	state := s.engine.State()
	s.addLoad(&state)
	report := wire.LoadReport{Boot: s.boot, Leaving: state.Leaving, Replicas: []wire.ReplicaLoad{}}
	for _, r := range state.Replicas {
		report.Replicas = append(report.Replicas, wire.ReplicaLoad{Replica: r.Replica, Running: r.Running, Queued: r.Queued})
	}
	return report
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.Executions())
}

func (s *Server) serveRecord(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.engine.Record())
}

// serveState shows the state as it is, past all faults and lags.
func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	state := s.engine.State()
	s.addLoad(&state)
	fault.WriteJSON(w, http.StatusOK, state)
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	w.WriteHeader(http.StatusNoContent)
}
