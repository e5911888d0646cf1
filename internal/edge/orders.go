package edge

import (
	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/swap"
	"chivecroft.example/chivecroft/platform"
)

// work carries out what the planners find due.
func (k *keeper) work() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if !k.status.May(now) {
		return
	}
	for _, p := range k.planners {
		for _, a := range p.Plan(now) {
			if a.IsReport() {
				go k.report(p, a)
			} else {
				go k.order(p, a, k.status.Token)
			}
		}
	}
}

func (k *keeper) report(p *swap.Planner, a swap.Action) {
	r, err := k.engines.Report(k.ctx, a.To.Addr)
	if err != nil {
		k.log.Info().Str("target", a.To.ID).Err(err).Msg("report failed")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p.Reported(k.clock.Now(), a.To.ID, r, err)
	k.follow(p, a.To.ID)
}

// follow goes on with a target's job, at once or when its load should be over.
func (k *keeper) follow(p *swap.Planner, id string) {
	now := k.clock.Now()
	if !k.status.May(now) || !k.plans(p) {
		return
	}
	if a, ok := p.Follow(now, id); ok {
		go k.order(p, a, k.status.Token)
		return
	}
	if at, ok := p.FollowAt(id); ok && now.Before(at) {
		k.clock.After(at.Sub(now), func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.follow(p, id)
		})
	}
}

// plans tells whether a planner is of the present holding.
func (k *keeper) plans(p *swap.Planner) bool {
	for _, have := range k.planners {
		if have == p {
			return true
		}
	}
	return false
}

func (k *keeper) order(p *swap.Planner, a swap.Action, token uint64) {
	began := k.clock.Now()
	result, err := k.engines.Order(k.ctx, a.To.Addr, a.To.ID, platform.Order{
		Operation: operation(a.Operation), Model: a.Model, Adapter: a.Adapter,
		Expected: a.Expected, Holder: k.self, Token: token,
	}, func() error { return k.mayOrder(token) })
	k.log.Info().Str("target", a.To.ID).Str("operation", a.Operation.String()).Str("model", a.Model).
		Str("adapter", a.Adapter).Int64("expected", a.Expected).Str("tier", a.Tier.String()).
		Str("why", a.Reason).Str("result", result.String()).Uint64("token", token).
		Dur("took", max(k.clock.Now().Sub(began), 0)).Err(err).Msg("order")
	k.measure.ordered(a, result == platform.OrderTaken)
	k.mu.Lock()
	defer k.mu.Unlock()
	p.Ordered(k.clock.Now(), a, ending(result))
	k.follow(p, a.To.ID)
}

var errNotHolder = trace.CompareFailed("this instance may not send orders any more")

// mayOrder is asked immediately before an order is written.
func (k *keeper) mayOrder(token uint64) error {
	s := k.current()
	if s.Token != token || !s.May(k.clock.Now()) {
		return errNotHolder
	}
	return nil
}

func operation(o swap.Operation) platform.Operation {
	if o == swap.Unload {
		return platform.OperationUnload
	}
	return platform.OperationLoad
}

func ending(r platform.OrderResult) swap.Result {
	switch r {
	case platform.OrderTaken:
		return swap.Taken
	case platform.OrderHeld:
		return swap.Held
	case platform.OrderConflict, platform.OrderRefused, platform.OrderUnsent:
		return swap.Refused
	case platform.OrderUnknown:
	}
	return swap.Lost
}
