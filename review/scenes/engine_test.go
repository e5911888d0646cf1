package scenes

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Sizes and times of the model engines, those of lec-etch's sheet.
const (
	weightsMB    = 230000.0
	adapterSlots = 8
	modelMB      = 65100.0
	adapterMB    = 12.0
	storeTime    = 6 * time.Second
	diskTime     = 780 * time.Millisecond
	adapterTime  = 5 * time.Millisecond
)

// engine is what a replica holds; nil models mean a plain replica.
type engine struct {
	models   map[string][]string
	disk     []string
	sequence int64
	busy     bool
	// overfull describes the first load that exceeded what the replica holds, empty if none did.
	overfull string
}

// order is an order as it came.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing_token"`
}

func (e *engine) rows() []map[string]any {
	rows := []map[string]any{}
	for name, adapters := range e.models {
		rows = append(rows, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	slices.SortFunc(rows, func(a, b map[string]any) int { return strings.Compare(a["name"].(string), b["name"].(string)) })
	return rows
}

func (e *engine) adapterCount() int {
	n := 0
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

func (e *engine) usedMB() float64 {
	return modelMB*float64(len(e.models)) + adapterMB*float64(e.adapterCount())
}

// hold makes the replica hold models, which lie on its disk too.
func (r *replica) hold(models ...string) {
	r.mu.Lock()
	r.engine.models = make(map[string][]string)
	for _, m := range models {
		r.engine.models[m] = nil
	}
	r.engine.disk = append([]string{}, models...)
	r.mu.Unlock()
	r.announce()
}

// restart starts a new incarnation under the same id, which holds nothing.
func (r *replica) restart() error {
	r.mu.Lock()
	r.engine.models = make(map[string][]string)
	r.engine.sequence, r.engine.busy = 0, false
	r.mu.Unlock()
	return r.start()
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engine.models == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "born": r.born, "models": r.engine.rows(), "busy": r.engine.busy, "sequence": r.engine.sequence,
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 128189, "handles": 0, "pending": []string{},
		"available": map[string]any{"in_memory": []string{}, "on_disk": r.engine.disk},
	})
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.onOrder != nil && r.onOrder(o) {
		r.w.rec.add("%s leaves the order to %s unanswered", r.id, o.text())
		<-req.Context().Done()
		return
	}
	status := r.carryOut(o)
	r.w.rec.add("%s is ordered by %s to %s: %d", r.id, o.Holder, o.text(), status)
	w.WriteHeader(status)
}

func (o order) text() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	if o.Expected == nil {
		return o.Operation + " " + name
	}
	return o.Operation + " " + name + " as number " + string(json.RawMessage(mustJSON(*o.Expected)))
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// carryOut carries an order out and returns the status of its answer.
func (r *replica) carryOut(o order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.engine
	adapters, present := e.models[o.Model]
	switch {
	case e.busy, o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case o.Adapter != "" && !present:
		return http.StatusBadRequest
	case o.Adapter != "" && o.Operation == "load":
		return r.loadAdapter(o, adapters)
	case o.Adapter != "":
		if !slices.Contains(adapters, o.Adapter) {
			return http.StatusOK
		}
		e.sequence++
		e.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
		return http.StatusOK
	case o.Operation == "load" && present:
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	took := adapterTime
	if o.Operation == "load" {
		took = storeTime
		if slices.Contains(e.disk, o.Model) {
			took = diskTime
		}
		if e.usedMB()+modelMB > weightsMB {
			r.overflow(o)
		}
	}
	born := r.born
	time.AfterFunc(took, func() { r.finish(o, born) })
	return http.StatusAccepted
}

// loadAdapter loads an adapter, under the lock.
func (r *replica) loadAdapter(o order, adapters []string) int {
	e := &r.engine
	if slices.Contains(adapters, o.Adapter) {
		return http.StatusOK
	}
	e.sequence++
	e.models[o.Model] = append(slices.Clone(adapters), o.Adapter)
	if e.adapterCount() > adapterSlots || e.usedMB() > weightsMB {
		r.overflow(o)
	}
	return http.StatusAccepted
}

// overflow notes a load that exceeds what the replica holds, which then crashes.
func (r *replica) overflow(o order) {
	if r.engine.overfull == "" {
		r.engine.overfull = o.text()
	}
	go r.crash()
}

// finish ends an order that took its time, unless the replica has restarted since.
func (r *replica) finish(o order, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born != born {
		return
	}
	r.engine.busy = false
	if o.Operation == "load" {
		r.engine.models[o.Model] = nil
		if !slices.Contains(r.engine.disk, o.Model) {
			r.engine.disk = append(r.engine.disk, o.Model)
		}
	} else {
		delete(r.engine.models, o.Model)
	}
	go r.announce()
}

// serves reports whether the replica holds what a request needs.
func (r *replica) serves(req *http.Request) bool {
	model, adapter, _ := strings.Cut(req.Header.Get("Chivecroft-Model"), "/")
	if model == "" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, present := r.engine.models[model]
	return present && (adapter == "" || slices.Contains(adapters, adapter))
}
