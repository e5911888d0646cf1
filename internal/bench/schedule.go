package bench

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// ShotKind is what a call is about.
type ShotKind string

// The kinds of calls.
const (
	// ShotCold is a chat with a model that the schedule has left alone so far.
	ShotCold ShotKind = "cold"
	// ShotWarm is a chat with one of the few models in steady use.
	ShotWarm ShotKind = "warm"
	// ShotLookup is an idempotent call of a plain service.
	ShotLookup ShotKind = "lookup"
	// ShotRunOnce is a call of a plain service that must run at most once.
	ShotRunOnce ShotKind = "runOnce"
)

// Shot is one call of the schedule.
type Shot struct {
	At   time.Duration
	Kind ShotKind
	// Entry chooses an entry, modulo their number.
	Entry   int
	Model   string
	Adapter string
	Content string
	Seed    int64
	// Key is the request key of a run-once call; a repeat has the same one.
	Key  string
	Path string
}

// TroubleKind is what goes wrong on the schedule.
type TroubleKind string

// The kinds of trouble.
const (
	// TroubleKVHang lets the key-value service hang.
	TroubleKVHang TroubleKind = "kvHang"
	// TroubleKVDrop drops answers of the key-value service after the effect.
	TroubleKVDrop TroubleKind = "kvDrop"
	// TroubleStoreSlow slows the weight store.
	TroubleStoreSlow TroubleKind = "storeSlow"
	// TroubleTargetFreeze silences the open connections of one target.
	TroubleTargetFreeze TroubleKind = "targetFreeze"
	// TroubleTargetCut breaks off the next answers of one target.
	TroubleTargetCut TroubleKind = "targetCut"
	// TroubleServiceDrop drops answers of one plain service after the effect.
	TroubleServiceDrop TroubleKind = "serviceDrop"
)

// Trouble is one fault of the schedule.
type Trouble struct {
	At   time.Duration
	Kind TroubleKind
	// Target chooses the instance, modulo their number.
	Target int
	// For is how long it lasts, 0 for a single event.
	For time.Duration
}

// Load is how much happens in a run.
type Load struct {
	Duration time.Duration
	// Rate is the number of chats a second with models in steady use, and of
	// calls of the plain service.
	Rate float64
	// Bursts is the number of bursts over idle models, Burst the calls of each.
	Bursts int
	Burst  int
	// HotModels is the number of models in steady use.
	HotModels int
	Faults    bool
}

// Plan is everything that a run does, in order of time.
type Plan struct {
	Shots    []Shot
	Troubles []Trouble
}

const (
	// burstSpread is the time within which the calls of a burst arrive.
	burstSpread = 50 * time.Millisecond
	// adapterShare is the share of calls that name an adapter.
	adapterShare = 0.3
	runOnceShare = 0.5
	// repeatShare is the share of run-once calls that are sent again elsewhere.
	repeatShare = 0.3
	repeatAfter = 100 * time.Millisecond
	prompts     = 20
	troubleTime = 5 * time.Second
	// troubleShare is the part of the run that one trouble may last at most.
	troubleShare = 8
)

// planner draws the parts of a plan from one seeded source.
type planner struct {
	shape  Shape
	load   Load
	random *rand.Rand
	plan   Plan
}

// NewPlan returns the schedule of a shape, a load and a seed; the same three
// always give the same one.
func NewPlan(shape Shape, load Load, seed uint64) Plan {
	h := fnv.New64a()
	h.Write([]byte(shape.Name))
	p := &planner{shape: shape, load: load, random: rand.New(rand.NewPCG(seed, h.Sum64()))}
	p.steady()
	p.bursts()
	p.services()
	if load.Faults {
		p.troubles()
	}
	slices.SortStableFunc(p.plan.Shots, func(a, b Shot) int { return int(a.At - b.At) })
	return p.plan
}

// arrivals draws the times of a Poisson process.
func (p *planner) arrivals(rate float64) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	at := 0.0
	for {
		at += p.random.ExpFloat64() / rate
		if at >= p.load.Duration.Seconds() {
			return times
		}
		times = append(times, time.Duration(at*float64(time.Second)))
	}
}

func (p *planner) hot() int {
	return min(max(p.load.HotModels, 1), p.shape.Models)
}

// steady asks the hot models, the first ones most often.
func (p *planner) steady() {
	for _, at := range p.arrivals(p.load.Rate) {
		// The square of a uniform draw prefers low numbers.
		u := p.random.Float64()
		n := int(u * u * float64(p.hot()))
		p.chat(ShotWarm, at, n)
	}
}

// bursts wakes idle models, each at most once while there are enough of them.
func (p *planner) bursts() {
	idle := p.shape.Models - p.hot()
	if idle <= 0 {
		return
	}
	order := p.random.Perm(idle)
	for b := range p.load.Bursts {
		n := p.hot() + order[b%idle]
		at := time.Duration(p.random.Float64() * float64(p.load.Duration))
		for range p.load.Burst {
			p.chat(ShotCold, at+time.Duration(p.random.Int64N(int64(burstSpread))), n)
		}
	}
}

func (p *planner) chat(kind ShotKind, at time.Duration, model int) {
	shot := Shot{
		At:      at,
		Kind:    kind,
		Entry:   p.random.IntN(math.MaxInt32),
		Model:   p.shape.Model(model),
		Content: "prompt " + strconv.Itoa(p.random.IntN(prompts)),
		Seed:    p.random.Int64N(math.MaxInt32),
	}
	if model < p.shape.Adapters && p.random.Float64() < adapterShare {
		shot.Adapter = p.shape.Adapter(model)
	}
	p.plan.Shots = append(p.plan.Shots, shot)
}

func (p *planner) services() {
	for n, at := range p.arrivals(p.load.Rate) {
		shot := Shot{At: at, Entry: p.random.IntN(math.MaxInt32)}
		if p.random.Float64() >= runOnceShare {
			shot.Kind = ShotLookup
			shot.Path = p.shape.LookupPath + "/" + strconv.Itoa(n)
			p.plan.Shots = append(p.plan.Shots, shot)
			continue
		}
		shot.Kind = ShotRunOnce
		shot.Path = p.shape.RunOncePath
		shot.Key = "run-" + strconv.FormatUint(p.random.Uint64(), 36)
		shot.Content = "seat " + strconv.Itoa(n)
		p.plan.Shots = append(p.plan.Shots, shot)
		if p.random.Float64() < repeatShare {
			again := shot
			again.Entry = p.random.IntN(math.MaxInt32)
			again.At += time.Duration(p.random.Int64N(int64(repeatAfter)))
			p.plan.Shots = append(p.plan.Shots, again)
		}
	}
}

// troubles spreads one fault of each kind over the run, in an order of the seed.
func (p *planner) troubles() {
	kinds := []TroubleKind{
		TroubleKVHang, TroubleKVDrop, TroubleStoreSlow,
		TroubleTargetFreeze, TroubleTargetCut, TroubleServiceDrop,
	}
	p.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	step := p.load.Duration / time.Duration(len(kinds)+1)
	for n, kind := range kinds {
		p.plan.Troubles = append(p.plan.Troubles, Trouble{
			At:     time.Duration(n+1) * step,
			Kind:   kind,
			Target: p.random.IntN(math.MaxInt32),
			For:    min(troubleTime, p.load.Duration/troubleShare),
		})
	}
}
