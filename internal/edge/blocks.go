package edge

import (
	"net/http"

	"chivecroft.example/chivecroft/internal/coordination/crash"
)

// Paths at which operators see and lift blocks, beside the metrics.
const (
	// BlocksPath lists the blocks that the instance knows.
	BlocksPath = "/blocks"
	// LiftPath lifts, by POST, the blocks that name the part in the query.
	LiftPath = "/blocks/lift"
)

// Lifted is the response to a request to LiftPath.
type Lifted struct {
	// Lifted is the number of blocks that were lifted.
	Lifted int `json:"lifted"`
}

func (e *Edge) serveBlocks(w http.ResponseWriter, r *http.Request) {
	blocks := e.crashes.Blocks()
	if blocks == nil {
		blocks = []crash.Block{}
	}
	e.writeJSON(w, r, blocks)
}

// serveLift lifts the blocks of a part. Any instance can be asked; it tells the others.
func (e *Edge) serveLift(w http.ResponseWriter, r *http.Request) {
	part := r.URL.Query().Get("part")
	if r.Method != http.MethodPost || part == "" {
		http.Error(w, "lift a block by POST "+LiftPath+"?part=ID", http.StatusBadRequest)
		return
	}
	n := e.crashes.Lift(crash.Part(part))
	e.log.Warn().Str("part", part).Str("by", r.RemoteAddr).Int("lifted", n).Msg("lift requested")
	if n == 0 {
		http.Error(w, "no block in force names this part", http.StatusNotFound)
		return
	}
	e.writeJSON(w, r, Lifted{n})
}
