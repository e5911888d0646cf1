package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/shard"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// stripeCount is the number of separately locked parts of the table.
const stripeCount = 64

// Table is the routing table of one entry. It is safe for concurrent use.
type Table struct {
	zone, region string
	timer        timer.Service
	onChange     func(key string)
	linkGate     LinkGate
	isCut        func(zone string) bool
	stripes      [stripeCount]stripe

	mu      sync.Mutex
	sources map[string]*source

	blockedMu sync.Mutex
	// blockedKeys are the keys of requests that could not cross the link between regions.
	blockedKeys map[string]struct{}

	// models maps the id of a replica to its key.
	models *shard.Map[string, string]
	// targets maps a target to the ids of its replicas.
	targets *shard.Map[string, []string]
	// cursors maps a target to the position in its cache events.
	cursors *shard.Map[string, cursor]
}

// stripe holds the models under one lock.
type stripe struct {
	mu     sync.Mutex
	random *rand.Rand
	models map[string]*model
}

// model is the state of one model or plain service.
type model struct {
	replicas []*replica
	prefixes prefixIndex
	// avgDuration is the moving average of the duration of a call, 0 if unknown.
	avgDuration time.Duration
}

// source is the state of one sender of deltas.
type source struct {
	mu     sync.Mutex
	stream uint64
	seq    uint64
	// rows maps the id of each replica that the source has sent to its key.
	rows map[string]string
}

// Option configures a Table.
type Option func(*Table)

// WithListener sets the function that is called, without locks held, with the key of a model
// or service that may have got a free slot.
func WithListener(changed func(key string)) Option {
	return func(t *Table) { t.onChange = changed }
}

// LinkGate limits new work on the link between regions.
type LinkGate interface {
	// Open reports whether new work of a priority may cross now. If it may not,
	// Table.LinkOpened has to be called once it may.
	Open(p link.Priority) bool
	// Wait returns the minimum time until new work of a priority may cross.
	Wait(p link.Priority) time.Duration
}

// WithLinkGate allows picks in other regions only if the link is open.
func WithLinkGate(g LinkGate) Option {
	return func(t *Table) { t.linkGate = g }
}

// NewTable returns an empty table for an entry in a zone of a region. Random choices are
// determined by seed.
func NewTable(zone, region string, clock timer.Service, seed uint64, opts ...Option) *Table {
	t := &Table{
		zone: zone, region: region, timer: clock,
		onChange:    func(string) {},
		isCut:       func(string) bool { return false },
		sources:     make(map[string]*source),
		blockedKeys: make(map[string]struct{}),
		models:      shard.NewMap[string, string](),
		targets:     shard.NewMap[string, []string](),
		cursors:     shard.NewMap[string, cursor](),
	}
	for i := range t.stripes {
		t.stripes[i].random = rand.New(rand.NewPCG(seed, uint64(i)))
		t.stripes[i].models = make(map[string]*model)
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// OnChange replaces the function set by WithListener. It must be called before the table is
// used.
func (t *Table) OnChange(changed func(key string)) {
	t.onChange = changed
}

// canCross reports whether a request may go to another region now, and records its key for
// LinkOpened if it may not.
func (t *Table) canCross(q Query) bool {
	if t.linkGate == nil || t.linkGate.Open(q.Priority) {
		return true
	}
	t.blockedMu.Lock()
	defer t.blockedMu.Unlock()
	t.blockedKeys[q.Key] = struct{}{}
	return false
}

// LinkOpened notifies the listener of the keys of requests that could not cross the link.
func (t *Table) LinkOpened() {
	t.blockedMu.Lock()
	turned := t.blockedKeys
	t.blockedKeys = make(map[string]struct{})
	t.blockedMu.Unlock()
	t.notify(turned)
}

// SetUnreachable sets the function that reports whether a zone is unreachable. Replicas in
// unreachable zones other than the entry's own are not picked. It must be called before the
// table is used.
func (t *Table) SetUnreachable(cut func(zone string) bool) {
	t.isCut = cut
}

// isReachable reports whether the zone of a replica is reachable as far as is known.
func (t *Table) isReachable(r *replica) bool {
	return r.ring == 0 || !t.isCut(r.row.Zone)
}

// ServiceKey returns the key of a plain service. It differs from all names of models.
func ServiceKey(service string) string {
	return "\x00" + service
}

// Apply applies a delta from a source: an entry of the own zone, or the summary of another
// zone. A delta that is older than an earlier one of the source is ignored.
func (t *Table) Apply(from string, delta ports.TableDelta) {
	s := t.source(from)
	touched := s.apply(t, from, delta, t.setRow)
	t.notify(touched)
}

// ApplyRepeated applies a delta from a source that repeats rows of other sources. It adds rows
// that no other source has sent and leaves all others as they are. If the repeating source
// became the source of such a row, RemoveSource would remove the row with it although the
// owner still sends it.
func (t *Table) ApplyRepeated(from string, delta ports.TableDelta) {
	s := t.source(from)
	touched := s.apply(t, from, delta, t.fillRow)
	t.notify(touched)
}

// RemoveSource removes a source and the rows that no other source has sent since.
func (t *Table) RemoveSource(from string) {
	t.mu.Lock()
	s := t.sources[from]
	delete(t.sources, from)
	t.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	touched := s.retain(t, from, nil)
	s.mu.Unlock()
	t.notify(touched)
}

// Cursor returns the stream and sequence number of the latest delta applied from a source.
func (t *Table) Cursor(from string) (stream, seq uint64) {
	s := t.source(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream, s.seq
}

// ApplyInstances applies the instance list: instances of plain services become rows, and
// leaving targets get no new work.
func (t *Table) ApplyInstances(rows []ports.Instance) {
	var services []ports.Replica
	for _, row := range rows {
		switch row.Kind {
		case ports.InstanceService:
			services = append(services, serviceRow(row))
		case ports.InstanceTarget:
			if row.Leaving {
				t.MarkLeaving(row.ID)
			}
		case ports.InstanceEntry:
		}
	}
	const from = "instance list"
	s := t.source(from)
	s.mu.Lock()
	delta := ports.TableDelta{Stream: 1, Seq: s.seq + 1, Full: true, Replicas: services}
	s.mu.Unlock()
	t.Apply(from, delta)
}

// MarkLeaving excludes all replicas of a target from picks immediately and for good.
func (t *Table) MarkLeaving(target string) {
	ids, _ := t.targets.Get(target)
	for _, id := range ids {
		t.withReplica(id, func(_ *model, r *replica) { r.hasLeft = true })
	}
}

func serviceRow(row ports.Instance) ports.Replica {
	return ports.Replica{
		ID: row.ID, Model: ServiceKey(row.Service), Target: row.ID, Addr: row.Addr,
		Zone: row.Zone, Region: row.Region, Phase: ports.PhaseReady, Leaving: row.Leaving,
	}
}

func (t *Table) source(from string) *source {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sources[from]
	if s == nil {
		s = &source{rows: make(map[string]string)}
		t.sources[from] = s
	}
	return s
}

func (t *Table) notify(keys map[string]struct{}) {
	for key := range keys {
		t.onChange(key)
	}
}

func (t *Table) stripe(key string) *stripe {
	return &t.stripes[fnv(key)%stripeCount]
}

// withReplica calls use, under the lock of the replica's stripe, if the replica is known.
func (t *Table) withReplica(id string, use func(*model, *replica)) {
	key, ok := t.models.Get(id)
	if !ok {
		return
	}
	s := t.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[key]
	if m == nil {
		return
	}
	if r := m.find(id); r != nil {
		use(m, r)
	}
}

// apply applies a delta to the rows of one source and returns the keys affected.
func (s *source) apply(t *Table, from string, delta ports.TableDelta, set func(from string, row ports.Replica)) map[string]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta.Stream == s.stream && delta.Seq <= s.seq && s.seq > 0 {
		return nil
	}
	if delta.Stream != s.stream && !delta.Full && s.stream != 0 {
		return nil
	}
	s.stream, s.seq = delta.Stream, delta.Seq
	touched := make(map[string]struct{})
	if delta.Full {
		touched = s.retain(t, from, delta.Replicas)
	}
	for _, id := range delta.Removed {
		s.remove(t, from, id, touched)
	}
	for _, row := range delta.Replicas {
		s.rows[row.ID] = row.Model
		set(from, row)
		touched[row.Model] = struct{}{}
	}
	return touched
}

// retain removes the rows of the source that are not in keep and returns the keys affected.
func (s *source) retain(t *Table, from string, keep []ports.Replica) map[string]struct{} {
	kept := make(map[string]struct{}, len(keep))
	for _, row := range keep {
		kept[row.ID] = struct{}{}
	}
	touched := make(map[string]struct{})
	for id := range s.rows {
		if _, ok := kept[id]; !ok {
			s.remove(t, from, id, touched)
		}
	}
	return touched
}

// remove removes a row of the source and adds its key to touched if the table had the row
// from this source.
func (s *source) remove(t *Table, from, id string, touched map[string]struct{}) {
	key, ok := s.rows[id]
	if !ok {
		return
	}
	delete(s.rows, id)
	if t.removeRow(from, key, id) {
		touched[key] = struct{}{}
	}
}

// setRow adds or updates a row and sets its source to from.
func (t *Table) setRow(from string, row ports.Replica) {
	now := t.timer.Now()
	t.models.Put(row.ID, row.Model)
	t.targets.Update(row.Target, func(ids []string, _ bool) ([]string, bool) {
		if slices.Contains(ids, row.ID) {
			return ids, true
		}
		return append(slices.Clone(ids), row.ID), true
	})
	s := t.stripe(row.Model)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[row.Model]
	if m == nil {
		m = &model{prefixes: newPrefixIndex()}
		s.models[row.Model] = m
	}
	r := m.find(row.ID)
	if r == nil {
		r = newReplica(row.ID, len(m.replicas) > 0, now)
		m.replicas = append(m.replicas, r)
		slices.SortFunc(m.replicas, func(a, b *replica) int { return compare(a.row.ID, b.row.ID) })
	}
	r.update(from, row, ringOf(t.zone, t.region, row), now)
}

// fillRow adds or updates a row unless the table has it from another source.
func (t *Table) fillRow(from string, row ports.Replica) {
	known := false
	t.withReplica(row.ID, func(_ *model, r *replica) { known = r.source != from })
	if !known {
		t.setRow(from, row)
	}
}

// removeRow removes a row unless another source has sent it since, and reports whether it
// did. After a change of owner, the old owner's removal may arrive after the new owner's row.
func (t *Table) removeRow(from, key, id string) bool {
	s := t.stripe(key)
	s.mu.Lock()
	m := s.models[key]
	if m == nil {
		s.mu.Unlock()
		return false
	}
	i := slices.IndexFunc(m.replicas, func(r *replica) bool { return r.row.ID == id })
	if i < 0 || m.replicas[i].source != from {
		s.mu.Unlock()
		return false
	}
	target := m.replicas[i].row.Target
	m.replicas = slices.Delete(m.replicas, i, i+1)
	if len(m.replicas) == 0 {
		delete(s.models, key)
	}
	s.mu.Unlock()
	t.models.Delete(id)
	t.targets.Update(target, func(ids []string, _ bool) ([]string, bool) {
		ids = slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		return ids, len(ids) > 0
	})
	return true
}

func (m *model) find(id string) *replica {
	for _, r := range m.replicas {
		if r.row.ID == id {
			return r
		}
	}
	return nil
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// fnv returns the FNV-1a hash of a key.
func fnv(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h ^= uint64(key[i])
		h *= 1099511628211
	}
	return h
}

// elapsed returns the time from a to b, never negative.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), 0)
}
