package platf

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fault"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const rowBytes = 64 << 10

// instances is a list of instances that shows each change after a while.
type instances struct {
	timer timer.Service
	lag   time.Duration

	mu     sync.Mutex
	serial uint64
	latest map[string]uint64
	rows   map[string]ports.Instance
}

func newInstances(t timer.Service, lag time.Duration) *instances {
	return &instances{
		timer:  t,
		lag:    lag,
		latest: make(map[string]uint64),
		rows:   make(map[string]ports.Instance),
	}
}

func (l *instances) put(row ports.Instance) {
	l.later(row.ID, func() { l.rows[row.ID] = row })
}

func (l *instances) remove(id string) {
	l.later(id, func() { delete(l.rows, id) })
}

// later makes a change after the lag, unless a later one of the same row was
// quicker: timers that fall due together fire in any order.
func (l *instances) later(id string, change func()) {
	l.mu.Lock()
	l.serial++
	serial := l.serial
	l.mu.Unlock()
	l.timer.After(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.latest[id] > serial {
			return
		}
		l.latest[id] = serial
		change()
	})
}

func (l *instances) list() []ports.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make([]ports.Instance, 0, len(l.rows))
	for _, id := range slices.Sorted(maps.Keys(l.rows)) {
		rows = append(rows, l.rows[id])
	}
	return rows
}

// Register puts a row on the instance list, to be seen after the lag.
func (s *Server) Register(row ports.Instance) {
	s.rows.put(row)
}

// Unregister takes a row off the instance list, to be seen after the lag.
func (s *Server) Unregister(id string) {
	s.rows.remove(id)
}

func (s *Server) serveInstances(w http.ResponseWriter, _ *http.Request) {
	s.counts.lists.Add(1)
	fault.WriteJSON(w, http.StatusOK, s.rows.list())
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var row ports.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, rowBytes)).Decode(&row); err != nil {
		fault.WriteJSON(w, http.StatusBadRequest, fault.Problem{Detail: err.Error()})
		return
	}
	if row.ID != r.PathValue("id") {
		fault.WriteJSON(w, http.StatusBadRequest, fault.Problem{Detail: "id differs from the path"})
		return
	}
	s.rows.put(row)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.rows.remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
