package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Prices that only choose between otherwise equal targets.
const (
	// loadingSlowdown is the share by which each load under way on a target
	// slows another.
	loadingSlowdown = 0.5
	// fragmentPrice is the price of leaving a whole target's memory as a
	// remainder that is too small for most models.
	fragmentPrice = 0.1
)

// paybackLoads is how many times its own load time a replica has to have been
// ready before it may be evicted.
const paybackLoads = 2

// option is one target with what would have to go there.
type option struct {
	target  TargetView
	victims []ReplicaView
	price   float64
}

// place chooses the target with the lowest price: the time of the load there,
// and what the evicted replicas were worth keeping.
func (p pricer) place(now time.Time, in PlaceInput) Placement {
	var best *option
	var young int
	for _, t := range in.Targets {
		if t.TotalBytes < in.Model.MemoryBytes {
			continue
		}
		o, blocked := p.option(now, in.Model, t)
		young += blocked
		if o != nil && (best == nil || o.price < best.price || o.price == best.price && o.target.Target < best.target.Target) {
			best = o
		}
	}
	if best == nil {
		return Placement{Refused: refusal(in, young)}
	}
	if reason := p.thrash(now, in.Model, *best); reason != "" {
		return Placement{Refused: reason}
	}
	return best.placement()
}

// option returns what a load on t would take, or nil and the number of idle
// replicas that may not go yet.
func (p pricer) option(now time.Time, m ModelView, t TargetView) (*option, int) {
	old, young := p.evictable(now, t.Evictable)
	victims, ok := choose(old, t.FreeBytes, m.MemoryBytes, func(a, b ReplicaView) int {
		return cmp.Or(cmp.Compare(p.density(now, a), p.density(now, b)), cmp.Compare(a.Replica, b.Replica))
	})
	if !ok {
		return nil, young
	}
	o := &option{target: t, victims: victims}
	slowdown := 1 + loadingSlowdown*float64(t.Loading)
	o.price = p.weights.cold(time.Duration(float64(TierTime(t.Tier, m.LoadTime)) * slowdown))
	for _, v := range victims {
		o.price += p.worth(now, v)
	}
	o.price += fragmentPrice * float64(o.remainder(m)) / float64(t.TotalBytes)
	return o, young
}

// evictable splits off the replicas that have not paid for their load yet.
func (p pricer) evictable(now time.Time, all []ReplicaView) (old []ReplicaView, young int) {
	for _, r := range all {
		switch {
		case r.Busy:
		case now.Sub(r.LoadedAt) < paybackLoads*r.ReloadTime:
			young++
		default:
			old = append(old, r)
		}
	}
	return old, young
}

// worth is what keeping an idle replica saves on average.
func (p pricer) worth(now time.Time, r ReplicaView) float64 {
	f := newForecast(r.Model, now.Sub(r.Model.LastUsed))
	_, saving := p.hold(r.Model, f, r.ReloadTime)
	return saving
}

// density is the worth by byte, so that one large replica is compared with
// several small ones.
func (p pricer) density(now time.Time, r ReplicaView) float64 {
	return p.worth(now, r) / float64(max(r.Model.MemoryBytes, 1))
}

// thrash refuses a load ahead of use that saves less than what it evicts; a
// load that callers wait for goes ahead.
func (p pricer) thrash(now time.Time, m ModelView, o option) string {
	if m.Waiting > 0 || len(o.victims) == 0 {
		return ""
	}
	saving := p.preloadSaving(now, m)
	var lost float64
	for _, v := range o.victims {
		lost += p.worth(now, v)
	}
	if saving > lost {
		return ""
	}
	return fmt.Sprintf("would not pay for itself: loading ahead saves %.2f and evicting %d replicas loses %.2f",
		saving, len(o.victims), lost)
}

// placePlain takes the tightest fit, and where nothing fits evicts the least
// recently used replicas of the target on which they have been idle longest.
func placePlain(now time.Time, in PlaceInput) Placement {
	var best *option
	for _, t := range in.Targets {
		o := plainOption(in.Model, t)
		if o != nil && (best == nil || plainBetter(now, in.Model, *o, *best)) {
			best = o
		}
	}
	if best == nil {
		return Placement{Refused: refusal(in, 0)}
	}
	return best.placement()
}

func plainOption(m ModelView, t TargetView) *option {
	var idle []ReplicaView
	for _, r := range t.Evictable {
		if !r.Busy {
			idle = append(idle, r)
		}
	}
	victims, ok := choose(idle, t.FreeBytes, m.MemoryBytes, func(a, b ReplicaView) int {
		return cmp.Or(a.Model.LastUsed.Compare(b.Model.LastUsed), cmp.Compare(a.Replica, b.Replica))
	})
	if !ok {
		return nil
	}
	return &option{target: t, victims: victims}
}

func plainBetter(now time.Time, m ModelView, a, b option) bool {
	return cmp.Or(
		cmp.Compare(a.freshest(now), b.freshest(now)),
		cmp.Compare(a.remainder(m), b.remainder(m)),
		cmp.Compare(a.target.Target, b.target.Target),
	) < 0
}

// freshest returns how recently the most recently used victim was used, on a
// scale on which no victim at all is lowest.
func (o option) freshest(now time.Time) time.Duration {
	if len(o.victims) == 0 {
		return -1 << 62
	}
	latest := time.Duration(-1 << 61)
	for _, v := range o.victims {
		latest = max(latest, v.Model.LastUsed.Sub(now))
	}
	return latest
}

// remainder is the memory that stays free once the load is done.
func (o option) remainder(m ModelView) uint64 {
	free := o.target.FreeBytes
	for _, v := range o.victims {
		free += v.Model.MemoryBytes
	}
	return free - m.MemoryBytes
}

func (o option) placement() Placement {
	p := Placement{Target: o.target.Target}
	for _, v := range o.victims {
		p.Evict = append(p.Evict, v.Replica)
	}
	return p
}

// choose picks replicas in the given order until free reaches need, then drops
// those that turn out not to be necessary.
func choose(from []ReplicaView, free, need uint64, order func(a, b ReplicaView) int) ([]ReplicaView, bool) {
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
