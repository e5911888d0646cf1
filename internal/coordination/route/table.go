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

// partCount is the number of locks over the models.
const partCount = 64

// Table is the routing table of one entry; it is safe for use by several
// goroutines.
type Table struct {
	zone, region string
	timer        timer.Service
	changed      func(key string)
	crossing     Crossing
	cut          func(zone string) bool
	parts        [partCount]part

	mu      sync.Mutex
	sources map[string]*source

	// turned are the keys whose requests found the link used up.
	turnedMu sync.Mutex
	turned   map[string]struct{}

	// models finds the key of a replica, targets the replicas of a target.
	models  *shard.Map[string, string]
	targets *shard.Map[string, []string]
	cursors *shard.Map[string, cursor]
}

// part is the models under one lock.
type part struct {
	mu     sync.Mutex
	random *rand.Rand
	models map[string]*model
}

// model is what is known of one model or plain service.
type model struct {
	replicas []*replica
	homes    homes
	// took is the average time of a call.
	took time.Duration
}

// source is one sender of deltas.
type source struct {
	mu     sync.Mutex
	stream uint64
	seq    uint64
	rows   map[string]string
}

// Option changes a Table under construction.
type Option func(*Table)

// WithListener calls changed, outside all locks, with the key of a model or
// service that may have room that it had not before.
func WithListener(changed func(key string)) Option {
	return func(t *Table) { t.changed = changed }
}

// Crossing tells whether new work of a priority may cross the link between
// regions; if it may not, LinkOpened has to be called once it may.
type Crossing interface {
	Open(p link.Priority) bool
	// Wait returns how long it takes at least until new work may cross.
	Wait(p link.Priority) time.Duration
}

// WithCrossing makes picks in other regions depend on the link.
func WithCrossing(c Crossing) Option {
	return func(t *Table) { t.crossing = c }
}

// NewTable returns an empty table for an entry in a zone of a region; random
// choices follow from seed.
func NewTable(zone, region string, clock timer.Service, seed uint64, opts ...Option) *Table {
	t := &Table{
		zone: zone, region: region, timer: clock,
		changed: func(string) {},
		cut:     func(string) bool { return false },
		sources: make(map[string]*source),
		turned:  make(map[string]struct{}),
		models:  shard.NewMap[string, string](),
		targets: shard.NewMap[string, []string](),
		cursors: shard.NewMap[string, cursor](),
	}
	for i := range t.parts {
		t.parts[i].random = rand.New(rand.NewPCG(seed, uint64(i)))
		t.parts[i].models = make(map[string]*model)
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Listen replaces the listener; it is called before the table is in use.
func (t *Table) Listen(changed func(key string)) {
	t.changed = changed
}

// mayCross tells whether a request may go to another region now, and remembers
// its key if it may not.
func (t *Table) mayCross(q Query) bool {
	if t.crossing == nil || t.crossing.Open(q.Priority) {
		return true
	}
	t.turnedMu.Lock()
	defer t.turnedMu.Unlock()
	t.turned[q.Key] = struct{}{}
	return false
}

// LinkOpened announces the keys whose requests found the link used up.
func (t *Table) LinkOpened() {
	t.turnedMu.Lock()
	turned := t.turned
	t.turned = make(map[string]struct{})
	t.turnedMu.Unlock()
	t.announce(turned)
}

// Avoid takes the replicas of other zones out of use for as long as cut says
// that their zone cannot be reached; it is called before the table is in use.
func (t *Table) Avoid(cut func(zone string) bool) {
	t.cut = cut
}

// reaches tells whether calls reach a replica, as far as is known.
func (t *Table) reaches(r *replica) bool {
	return r.ring == 0 || !t.cut(r.row.Zone)
}

// ServiceKey is the key under which a plain service's instances are kept, which
// no model's name can be.
func ServiceKey(service string) string {
	return "\x00" + service
}

// Apply takes a delta from a source: an entry of the own zone, or another
// zone's summary. A delta that is older than what the source sent before is
// ignored.
func (t *Table) Apply(from string, delta ports.TableDelta) {
	s := t.source(from)
	touched := s.apply(t, from, delta, t.set)
	t.announce(touched)
}

// Fill takes a delta from a source that repeats what others have told: it adds
// rows that no other source has sent and changes none that one has. A row that
// it took over would go with it, though its owner still tells of the replica.
func (t *Table) Fill(from string, delta ports.TableDelta) {
	s := t.source(from)
	touched := s.apply(t, from, delta, t.fill)
	t.announce(touched)
}

// Drop forgets a source and the rows that no other source has sent since.
func (t *Table) Drop(from string) {
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
	t.announce(touched)
}

// Cursor returns how far the table has followed a source.
func (t *Table) Cursor(from string) (stream, seq uint64) {
	s := t.source(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream, s.seq
}

// ApplyInstances takes the instance list: plain services appear as rows of
// their own, and a leaving target gets no new work.
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
	delta := ports.TableDelta{Stream: 1, Seq: s.seq + 1, Whole: true, Replicas: services}
	s.mu.Unlock()
	t.Apply(from, delta)
}

// MarkLeaving takes all replicas of a target out of use at once.
func (t *Table) MarkLeaving(target string) {
	ids, _ := t.targets.Get(target)
	for _, id := range ids {
		t.withReplica(id, func(_ *model, r *replica) { r.left = true })
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

func (t *Table) announce(keys map[string]struct{}) {
	for key := range keys {
		t.changed(key)
	}
}

func (t *Table) part(key string) *part {
	return &t.parts[fnv(key)%partCount]
}

// withReplica calls use under the replica's lock if the replica is known.
func (t *Table) withReplica(id string, use func(*model, *replica)) {
	key, ok := t.models.Get(id)
	if !ok {
		return
	}
	p := t.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[key]
	if m == nil {
		return
	}
	if r := m.find(id); r != nil {
		use(m, r)
	}
}

// apply changes the rows of one source and returns the keys touched.
func (s *source) apply(t *Table, from string, delta ports.TableDelta, set func(from string, row ports.Replica)) map[string]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta.Stream == s.stream && delta.Seq <= s.seq && s.seq > 0 {
		return nil
	}
	if delta.Stream != s.stream && !delta.Whole && s.stream != 0 {
		return nil
	}
	s.stream, s.seq = delta.Stream, delta.Seq
	touched := make(map[string]struct{})
	if delta.Whole {
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

// retain removes the rows of the source that are not among keep.
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

func (s *source) remove(t *Table, from, id string, touched map[string]struct{}) {
	key, ok := s.rows[id]
	if !ok {
		return
	}
	delete(s.rows, id)
	if t.unset(from, key, id) {
		touched[key] = struct{}{}
	}
}

func (t *Table) set(from string, row ports.Replica) {
	now := t.timer.Now()
	t.models.Put(row.ID, row.Model)
	t.targets.Update(row.Target, func(ids []string, _ bool) ([]string, bool) {
		if slices.Contains(ids, row.ID) {
			return ids, true
		}
		return append(slices.Clone(ids), row.ID), true
	})
	p := t.part(row.Model)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[row.Model]
	if m == nil {
		m = &model{homes: newHomes()}
		p.models[row.Model] = m
	}
	r := m.find(row.ID)
	if r == nil {
		r = newReplica(row.ID, len(m.replicas) > 0, now)
		m.replicas = append(m.replicas, r)
		slices.SortFunc(m.replicas, func(a, b *replica) int { return compare(a.row.ID, b.row.ID) })
	}
	r.update(from, row, distance(t.zone, t.region, row), now)
}

// fill sets a row unless another source has sent it.
func (t *Table) fill(from string, row ports.Replica) {
	known := false
	t.withReplica(row.ID, func(_ *model, r *replica) { known = r.source != from })
	if !known {
		t.set(from, row)
	}
}

// unset removes a row unless another source has sent it since: after a change
// of owner, the predecessor's removal may arrive behind the successor's row.
func (t *Table) unset(from, key, id string) bool {
	p := t.part(key)
	p.mu.Lock()
	m := p.models[key]
	if m == nil {
		p.mu.Unlock()
		return false
	}
	i := slices.IndexFunc(m.replicas, func(r *replica) bool { return r.row.ID == id })
	if i < 0 || m.replicas[i].source != from {
		p.mu.Unlock()
		return false
	}
	target := m.replicas[i].row.Target
	m.replicas = slices.Delete(m.replicas, i, i+1)
	if len(m.replicas) == 0 {
		delete(p.models, key)
	}
	p.mu.Unlock()
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

// fnv is the FNV-1a hash of a key.
func fnv(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h ^= uint64(key[i])
		h *= 1099511628211
	}
	return h
}

// since returns the time from a to b, never negative.
func since(a, b time.Time) time.Duration {
	return max(b.Sub(a), 0)
}
