package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Costs that decide between otherwise equal targets.
const (
	// loadingSlowdown is the fraction by which each load in progress on a target
	// prolongs a further load.
	loadingSlowdown = 0.5
	// fragmentationCost is the cost if all memory of a target remained free but too
	// fragmented for most models; the part that remains costs its fraction of it.
	fragmentationCost = 0.1
)

// minReadyLoadTimes is the minimum time for which a replica must have been ready before it
// may be evicted, in multiples of its load time.
const minReadyLoadTimes = 2

// candidate is a possible target with the replicas that would have to be evicted there.
type candidate struct {
	target  TargetView
	victims []ReplicaView
	cost    float64
}

// place chooses the target with the lowest cost: the time of the load there plus the
// expected saving that is lost with the evicted replicas.
func (p costPolicy) place(now time.Time, in PlaceInput) Placement {
	var best *candidate
	var young int
	for _, t := range in.Targets {
		if t.TotalBytes < in.Model.MemoryBytes {
			continue
		}
		o, blocked := p.evaluate(now, in.Model, t)
		young += blocked
		if o != nil && (best == nil || o.cost < best.cost || o.cost == best.cost && o.target.Target < best.target.Target) {
			best = o
		}
	}
	if best == nil {
		return Placement{Refused: refusal(in, young)}
	}
	if reason := p.refusePreload(now, in.Model, *best); reason != "" {
		return Placement{Refused: reason}
	}
	return best.placement()
}

// evaluate returns the replicas to evict for a load on t and its cost, or nil if the memory
// is not sufficient. The number is that of idle replicas that may not be evicted yet.
func (p costPolicy) evaluate(now time.Time, m ModelView, t TargetView) (*candidate, int) {
	old, young := p.evictable(now, t.Evictable)
	victims, ok := selectVictims(old, t.FreeBytes, m.MemoryBytes, func(a, b ReplicaView) int {
		return cmp.Or(cmp.Compare(p.savingPerByte(now, a), p.savingPerByte(now, b)), cmp.Compare(a.Replica, b.Replica))
	})
	if !ok {
		return nil, young
	}
	o := &candidate{target: t, victims: victims}
	slowdown := 1 + loadingSlowdown*float64(t.Loading)
	o.cost = p.weights.coldStartCost(time.Duration(float64(TierTime(t.Tier, m.LoadTime)) * slowdown))
	for _, v := range victims {
		o.cost += p.expectedSaving(now, v)
	}
	o.cost += fragmentationCost * float64(o.freeAfterLoad(m)) / float64(t.TotalBytes)
	return o, young
}

// evictable returns the idle replicas that have been ready long enough to be evicted, and
// the number of idle replicas that have not.
func (p costPolicy) evictable(now time.Time, all []ReplicaView) (old []ReplicaView, young int) {
	for _, r := range all {
		switch {
		case r.Busy:
		case now.Sub(r.LoadedAt) < minReadyLoadTimes*r.ReloadTime:
			young++
		default:
			old = append(old, r)
		}
	}
	return old, young
}

// expectedSaving returns the expected saving from keeping an idle replica.
func (p costPolicy) expectedSaving(now time.Time, r ReplicaView) float64 {
	f := newForecast(r.Model, now.Sub(r.Model.LastUsed))
	_, saving := p.bestKeepAlive(r.Model, f, r.ReloadTime)
	return saving
}

// savingPerByte returns the expected saving per byte of memory, so that one large replica
// can be compared with several small ones.
func (p costPolicy) savingPerByte(now time.Time, r ReplicaView) float64 {
	return p.expectedSaving(now, r) / float64(max(r.Model.MemoryBytes, 1))
}

// refusePreload returns the reason for refusing a preload that saves less than the replicas
// that it evicts, or an empty string. It refuses no load that callers wait for.
func (p costPolicy) refusePreload(now time.Time, m ModelView, o candidate) string {
	if m.Waiting > 0 || len(o.victims) == 0 {
		return ""
	}
	saving := p.preloadSaving(now, m)
	var lost float64
	for _, v := range o.victims {
		lost += p.expectedSaving(now, v)
	}
	if saving > lost {
		return ""
	}
	return fmt.Sprintf("would not pay for itself: loading ahead saves %.2f and evicting %d replicas loses %.2f",
		saving, len(o.victims), lost)
}

// placePlain chooses the target with the least memory left over. If the model fits nowhere
// without eviction, it evicts the least recently used replicas, on the target where the
// most recently used of them has been idle longest.
func placePlain(now time.Time, in PlaceInput) Placement {
	var best *candidate
	for _, t := range in.Targets {
		o := plainCandidate(in.Model, t)
		if o != nil && (best == nil || isBetterPlain(now, in.Model, *o, *best)) {
			best = o
		}
	}
	if best == nil {
		return Placement{Refused: refusal(in, 0)}
	}
	return best.placement()
}

// plainCandidate returns t with its least recently used replicas that have to be evicted, or
// nil if the memory is not sufficient.
func plainCandidate(m ModelView, t TargetView) *candidate {
	var idle []ReplicaView
	for _, r := range t.Evictable {
		if !r.Busy {
			idle = append(idle, r)
		}
	}
	victims, ok := selectVictims(idle, t.FreeBytes, m.MemoryBytes, func(a, b ReplicaView) int {
		return cmp.Or(a.Model.LastUsed.Compare(b.Model.LastUsed), cmp.Compare(a.Replica, b.Replica))
	})
	if !ok {
		return nil
	}
	return &candidate{target: t, victims: victims}
}

// isBetterPlain reports whether placePlain prefers a to b.
func isBetterPlain(now time.Time, m ModelView, a, b candidate) bool {
	return cmp.Or(
		cmp.Compare(a.latestUse(now), b.latestUse(now)),
		cmp.Compare(a.freeAfterLoad(m), b.freeAfterLoad(m)),
		cmp.Compare(a.target.Target, b.target.Target),
	) < 0
}

// latestUse returns the last use of the most recently used victim relative to now, a
// negative duration. It is lower than any such value if there are no victims.
func (o candidate) latestUse(now time.Time) time.Duration {
	if len(o.victims) == 0 {
		return -1 << 62
	}
	latest := time.Duration(-1 << 61)
	for _, v := range o.victims {
		latest = max(latest, v.Model.LastUsed.Sub(now))
	}
	return latest
}

// freeAfterLoad returns the memory in bytes that is free after the evictions and the load.
func (o candidate) freeAfterLoad(m ModelView) uint64 {
	free := o.target.FreeBytes
	for _, v := range o.victims {
		free += v.Model.MemoryBytes
	}
	return free - m.MemoryBytes
}

func (o candidate) placement() Placement {
	p := Placement{Target: o.target.Target}
	for _, v := range o.victims {
		p.Evict = append(p.Evict, v.Replica)
	}
	return p
}

// selectVictims selects replicas in the given order until the free bytes reach the needed
// ones, then removes those that are not necessary, as a later one may have freed enough
// alone. It returns false if all replicas together do not free enough.
func selectVictims(from []ReplicaView, free, need uint64, order func(a, b ReplicaView) int) ([]ReplicaView, bool) {
	sorted := slices.SortedFunc(slices.Values(from), order)
	var victims []ReplicaView
	for _, r := range sorted {
		if free >= need {
			break
		}
		victims = append(victims, r)
		free += r.Model.MemoryBytes
	}
	if free < need {
		return nil, false
	}
	for i := 0; i < len(victims); {
		if size := victims[i].Model.MemoryBytes; free-size >= need {
			free -= size
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		i++
	}
	return victims, true
}

// refusal returns the reason why no target was found; young is the number of idle replicas
// that may not be evicted yet.
func refusal(in PlaceInput, young int) string {
	var largest uint64
	for _, t := range in.Targets {
		largest = max(largest, t.TotalBytes)
	}
	switch {
	case len(in.Targets) == 0:
		return "no room: no target takes loads"
	case largest < in.Model.MemoryBytes:
		return fmt.Sprintf("no room: the model takes %d bytes and the largest target has %d", in.Model.MemoryBytes, largest)
	case young > 0:
		return fmt.Sprintf("no room: %d idle replicas have not paid for their load yet and the rest is busy", young)
	default:
		return "no room: the memory of every target is in use"
	}
}
