package owner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// home is the state of the models whose home shard this is. The home shard, one shard in
// one zone, keeps a model's minimum number of replicas loaded and preloads the model.
type home struct {
	// zones are the zones that the models were last assigned to.
	zones       string
	models      []string
	minReplicas map[string]int
	// preload are the models that the policy wants preloaded.
	preload   map[string]bool
	preloadAt time.Time
	// permitPrefetchAt is when permits are prefetched next, and slotPrefetchAt when a
	// slot of the weight store is.
	permitPrefetchAt, slotPrefetchAt time.Time
}

// preloadInterval is the interval at which the preload policy is evaluated.
const preloadInterval = 5 * time.Second

// assignHomeModels assigns the models to home shards again if the zones or the
// configuration changed.
func (s *Shard) assignHomeModels(configChanged bool) {
	if s.config == nil {
		return
	}
	zones := s.homeZones()
	joined := strings.Join(zones, "\x00")
	if joined == s.home.zones && !configChanged {
		return
	}
	s.home = home{zones: joined, minReplicas: make(map[string]int), preloadAt: s.home.preloadAt}
	s.schedulePrefetch()
	for _, name := range slices.Sorted(maps.Keys(s.config.Models)) {
		if place.ShardOf(name, s.settings.ShardCount) != s.settings.Shard || rank.Order(name, zones)[0] != s.settings.Zone {
			continue
		}
		s.home.models = append(s.home.models, name)
		if rule := s.config.Rules[name]; rule.MinReplicas > 0 {
			s.home.minReplicas[name] = min(rule.MinReplicas, rule.MaxReplicas)
		}
	}
}

// homeZones returns the zones with live entries. If some of them are in the region of the
// weight store, it returns only those, because a home shard elsewhere would load its
// models over the link between regions.
func (s *Shard) homeZones() []string {
	zones := map[string]bool{s.settings.Zone: true}
	near := make(map[string]bool)
	if s.settings.Region == s.settings.StoreRegion {
		near[s.settings.Zone] = true
	}
	for _, m := range s.members {
		if m.Phase != ports.MemberAlive {
			continue
		}
		zones[m.Zone] = true
		if m.Region == s.settings.StoreRegion {
			near[m.Zone] = true
		}
	}
	if len(near) > 0 && s.settings.StoreRegion != "" {
		zones = near
	}
	return slices.Sorted(maps.Keys(zones))
}

// updatePreload asks the policy which models to preload.
func (s *Shard) updatePreload() {
	if s.policies.Preload == nil || s.now.Before(s.home.preloadAt) {
		return
	}
	s.home.preloadAt = s.now.Add(preloadInterval)
	views := make([]policy.ModelView, 0, len(s.home.models))
	for _, name := range s.home.models {
		if m, known := s.models[name]; known {
			v := s.modelView(m)
			v.LastPreload = m.lastPreload
			v.ReloadTime = policy.TierTime(s.bestTier(name), v.LoadTime)
			views = append(views, v)
		}
	}
	s.home.preload = make(map[string]bool)
	for _, name := range s.policies.Preload.Decide(s.now, views) {
		s.home.preload[name] = true
	}
}
