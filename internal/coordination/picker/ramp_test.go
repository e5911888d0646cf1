package picker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// startWorld is a world of 84 instances with 6 busy targets, of which the first is about to
// start.
func startWorld(hasLimits bool) (*world, *worldTarget) {
	w := newWorldWithLimits(84, 6, 2*time.Second, hasLimits)
	w.interval = 400 * time.Millisecond
	w.run(6*time.Second, startRate, everywhere)
	return w, w.targets[0]
}

// startRate is the number of requests per second in a startWorld, which takes 28 of the 48
// slots of each target.
const startRate = 84.0

// badRequests returns the requests at a target that were late or rejected.
func badRequests(r *worldTarget) int { return r.late + r.rejected }

// startCounts are what a target has done since a play began.
type startCounts struct{ bad, served, running int }

// measureStart plays with the first target of a startWorld, with and without limits.
func measureStart(play func(w *world, r *worldTarget)) (with, without startCounts) {
	measure := func(hasLimits bool) startCounts {
		w, r := startWorld(hasLimits)
		before := r.served
		play(w, r)
		return startCounts{badRequests(r), r.served - before, r.running}
	}
	return measure(true), measure(false)
}

// startCold restarts a target with room for 4 requests at first and 6 more with each second.
func startCold(w *world, r *worldTarget) {
	startedAt := w.timer.Now()
	r.capacity = func() int { return 4 + int(6*w.timer.Now().Sub(startedAt).Seconds()) }
	w.restart(r)
}

// rejectBeyond makes a target reject what comes beyond the given number of requests.
func (r *worldTarget) rejectBeyond(capacity int) {
	r.rejects, r.capacity = true, func() int { return capacity }
}

// recoverSlow makes a target that rejects everything work at half its speed with a capacity.
func (r *worldTarget) recoverSlow(capacity int) {
	r.rejectBeyond(capacity)
	r.slowness, r.pace = 2, func() float64 { return 2 }
}

// TestColdStart has a target start that takes 4 requests at first and 6 more with each
// second. It guards against a target that all instances fill at once after its start, and
// against one that stays idle.
func TestColdStart(t *testing.T) {
	with, without := measureStart(func(w *world, r *worldTarget) {
		startCold(w, r)
		w.run(8*time.Second, startRate, everywhere)
	})
	report(t, with.bad > 8 || with.bad > without.bad/2 || with.running < 16,
		"late requests %d, without limits %d; %d running after 8 s", with.bad, without.bad, with.running)
}

// TestRecoveryAtHalfSpeed has a target reject everything for 3 s and then work at half its
// speed. It guards against a recovering target that is flooded, or given up.
func TestRecoveryAtHalfSpeed(t *testing.T) {
	// Of all rejections, after are those after the recovery.
	measure := func(hasLimits bool) (all, after, served, running int) {
		w, r := startWorld(hasLimits)
		r.rejectBeyond(0)
		w.run(3*time.Second, startRate, everywhere)
		r.recoverSlow(24)
		after, served = r.rejected, r.served
		w.run(10*time.Second, startRate, everywhere)
		return r.rejected, r.rejected - after, r.served - served, r.running
	}
	all, after, served, running := measure(true)
	before, _, _, _ := measure(false)
	report(t, all > before/4 || 10*after > served || running < 16,
		"%d rejected, without limits %d; %d of %d after the recovery; %d running", all, before, after, served, running)
}

// TestRejectsAll has a target reject everything for 10 s. It guards against a target that
// looks empty to all instances and is sent every other request.
func TestRejectsAll(t *testing.T) {
	with, without := measureStart(func(w *world, r *worldTarget) {
		r.rejectBeyond(0)
		w.run(10*time.Second, startRate, everywhere)
	})
	report(t, with.bad > 60 || with.bad > without.bad/2,
		"%d requests rejected, without limits %d, of %d", with.bad, without.bad, int(10*startRate))
}

// TestFlapping has a target restart every 1.5 s, each time with room for 4 requests. It
// guards against a limit that outlasts an incarnation, or is lost with it.
func TestFlapping(t *testing.T) {
	with, without := measureStart(func(w *world, r *worldTarget) {
		r.rejectBeyond(4)
		for range 6 {
			w.restart(r)
			w.run(1500*time.Millisecond, startRate, everywhere)
		}
	})
	report(t, with.bad > without.bad/2 || with.served-with.bad < 12,
		"%d of %d requests rejected, without limits %d", with.bad, with.served, without.bad)
}

// TestLimitEnds guards against a limit that stays although the target answers in time.
func TestLimitEnds(t *testing.T) {
	w, r := startWorld(true)
	r.capacity = func() int { return r.Slots }
	w.restart(r)
	w.run(10*time.Second, startRate, everywhere)
	if n := w.pickers[0].targets[r.ID].limit; n != 0 || r.running < 18 || badRequests(r) > 0 {
		t.Errorf("limit %d, %d running, %d bad after 10 s", n, r.running, badRequests(r))
	}
}

// TestShortRequestsAtStart has the only target of a plain service restart. It guards
// against a limit that lets only as many requests through in a snapshot period as may be
// there at once.
func TestShortRequestsAtStart(t *testing.T) {
	const perSecond = 80
	w := newWorld(4, 1, 5*time.Millisecond)
	w.model, w.interval = "", 350*time.Millisecond
	w.run(4*time.Second, perSecond, everywhere)
	w.restart(w.targets[0])
	w.run(time.Second, perSecond, everywhere)
	refused := w.refused
	w.run(2*time.Second, perSecond, everywhere)
	if refused = w.refused - refused; refused > 2*perSecond/10 {
		t.Errorf("%d of %d requests found no target", refused, 2*perSecond)
	}
}

// startPatterns are what the first target of a world does after its restart or failure.
var startPatterns = []struct {
	name    string
	rejects bool
	// begin lets the pattern begin; step is called every 1.5 s after that.
	begin func(w *world, r *worldTarget)
	step  func(w *world, r *worldTarget)
}{
	{name: "starts at full speed", begin: (*world).restart},
	{name: "starts cold", begin: startCold},
	{name: "recovers at half its speed", begin: func(w *world, r *worldTarget) {
		r.rejectBeyond(0)
		w.timer.After(3*time.Second, func() { r.recoverSlow(r.Slots) })
	}},
	{
		name: "flaps", rejects: true,
		begin: func(_ *world, r *worldTarget) { r.rejectBeyond(4) },
		step:  (*world).restart,
	},
	{name: "rejects everything", rejects: true, begin: func(_ *world, r *worldTarget) { r.rejectBeyond(0) }},
}

// startResult is what the callers get while a target follows a pattern.
type startResult struct {
	// inTime is the share of requests that are answered in time, bad the number that the
	// target answered late or rejected.
	inTime, bad float64
	// full is when the target's requests reached the mean of the others.
	full time.Duration
}

// playStart returns the mean result of several plays of a pattern with perSecond requests.
func playStart(pattern int, perSecond float64, hasLimits bool) (out startResult) {
	const plays = 4
	for seed := range uint64(plays) {
		w := newWorldWithLimits(84, 6, 2*time.Second, hasLimits)
		w.interval, w.queues, w.random = 400*time.Millisecond, true, rand.New(rand.NewPCG(seed, 9))
		w.run(6*time.Second, perSecond, everywhere)
		r, c := w.targets[0], &startPatterns[pattern]
		w.countFrom, w.calls, w.inTime, r.late, r.rejected = w.timer.Now(), 0, 0, 0, 0
		c.begin(w, r)
		full := time.Duration(0)
		for i := range 90 {
			if c.step != nil && i%15 == 0 {
				c.step(w, r)
			}
			w.run(100*time.Millisecond, perSecond, everywhere)
			sum := 0
			for _, other := range w.targets[1:] {
				sum += other.running
			}
			if full == 0 && i > 0 && r.running*(len(w.targets)-1) >= sum {
				full = w.timer.Now().Sub(w.countFrom)
			}
		}
		w.timer.Advance(worldGoal)
		out.inTime += float64(w.inTime) / float64(w.calls) / plays
		out.bad += float64(badRequests(r)) / plays
		out.full += full / plays
	}
	return out
}

// TestCallersOfStartingTargets guards against limits of starting targets that cost callers
// answers in time, which other targets are too busy to give, and against targets that are
// flooded although they reject requests. At 108 requests a second the other targets are
// full while one is away.
func TestCallersOfStartingTargets(t *testing.T) {
	const tolerance, maxBadShare, maxFull = 0.04, 0.4, 3 * time.Second
	for _, rate := range []float64{startRate, 108} {
		for i, c := range startPatterns {
			with, without := playStart(i, rate, true), playStart(i, rate, false)
			t.Logf("%-26s %3.0f/s: %.3f in time, %.3f without limits; %.0f bad, %.0f without; full after %.1fs, %.1fs without", c.name, rate,
				with.inTime, without.inTime, with.bad, without.bad, with.full.Seconds(), without.full.Seconds())
			if with.inTime < without.inTime-tolerance {
				t.Errorf("%s, %g/s: %.3f in time, %.3f without limits", c.name, rate, with.inTime, without.inTime)
			}
			if c.rejects && with.bad > maxBadShare*without.bad {
				t.Errorf("%s, %g/s: %.0f rejected, %.0f without limits", c.name, rate, with.bad, without.bad)
			}
			if i == 0 && rate > startRate && with.full > maxFull {
				t.Errorf("%s, %g/s: in full use after %s", c.name, rate, with.full)
			}
		}
	}
}
