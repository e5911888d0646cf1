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

// home is what this shard does for the models that have their home here: one
// shard of one zone keeps a model's minimum and loads it ahead of use.
type home struct {
	// zones are those of live entries when the models were last divided.
	zones  string
	models []string
	minima map[string]int
	// preload are the models that the policy wants loaded ahead of use.
	preload   map[string]bool
	preloadAt time.Time
	// aheadAt is when permits are next taken ahead of use, and slotAt when a slot
	// of the weight store is.
	aheadAt, slotAt time.Time
}

// preloadEvery is the period at which the policy is asked.
const preloadEvery = 5 * time.Second

// reviewHome divides the models again if the zones or the configuration changed.
func (s *Shard) reviewHome(configChanged bool) {
	if s.config == nil {
		return
	}
	zones := s.liveZones()
	joined := strings.Join(zones, "\x00")
	if joined == s.home.zones && !configChanged {
		return
	}
	s.home = home{zones: joined, minima: make(map[string]int), preloadAt: s.home.preloadAt}
	s.planAhead()
	for _, name := range slices.Sorted(maps.Keys(s.config.Models)) {
		if place.ShardOf(name, s.settings.ShardCount) != s.settings.Shard || rank.Order(name, zones)[0] != s.settings.Zone {
			continue
		}
		s.home.models = append(s.home.models, name)
		if rule := s.config.Rules[name]; rule.MinReplicas > 0 {
			s.home.minima[name] = min(rule.MinReplicas, rule.MaxReplicas)
		}
	}
}

// liveZones are the zones with living entries, those beside the weight store
// alone if there are any: a home elsewhere would fetch its models over the link.
func (s *Shard) liveZones() []string {
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

// reviewPreload asks the policy which models to load ahead of use.
func (s *Shard) reviewPreload() {
	if s.policies.Preload == nil || s.now.Before(s.home.preloadAt) {
		return
	}
	s.home.preloadAt = s.now.Add(preloadEvery)
	views := make([]policy.ModelView, 0, len(s.home.models))
	for _, name := range s.home.models {
		if m, known := s.models[name]; known {
			v := s.view(m)
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
