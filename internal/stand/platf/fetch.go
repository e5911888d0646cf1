package platf

import (
	"encoding/json"
	"net/http"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/fault"
)

// serveFetch answers when the checkpoint has been read. A read waits for its
// start under the rate, then shares the store's speed with the others.
func (s *Server) serveFetch(w http.ResponseWriter, r *http.Request) {
	s.counts.fetches.Add(1)
	var req wire.FetchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, rowBytes)).Decode(&req); err != nil {
		fault.WriteJSON(w, http.StatusBadRequest, fault.Problem{Detail: err.Error()})
		return
	}
	if s.Panel.Chance(s.Panel.Get().StoreFailRate) {
		fault.WriteJSON(w, http.StatusBadGateway, fault.Problem{Detail: "read error"})
		return
	}
	if err := s.starts.Wait(r.Context()); err != nil {
		return
	}
	read := make(chan struct{})
	drop := s.pool.Start(req.LoadTime, func() { close(read) })
	defer drop()
	select {
	case <-read:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}
