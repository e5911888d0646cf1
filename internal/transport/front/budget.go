package front

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/shard"
)

// Bounds of the retry budget.
const (
	// budgetShare is what each request earns: a tenth of a send.
	budgetShare = 0.1
	// budgetStart lets a tenant that is new here retry at all.
	budgetStart = 1
	// budgetMost bounds what is saved up in quiet times.
	budgetMost = 100
	// hedgeMost and hedgeEvery bound the hedges of a tenant that has earned
	// nothing: so few requests that a tenth of them is none may still meet a
	// connection that went silent.
	hedgeMost  = 10
	hedgeEvery = time.Second
	// resumeMost bounds the answers of a model that may be gone on with beside all
	// budgets, as when a target with many streams dies; each whole answer adds a
	// tenth of one.
	resumeMost = 100
)

// budgets bounds the sends beyond the first of each tenant to a tenth of its
// requests, so that a back end which fails sees no storm of repeats.
type budgets struct {
	tenants *shard.Map[string, budget]
	// resumed is how much of resumeMost each model has used.
	resumed *shard.Map[string, float64]
}

// budget is what a tenant may spend.
type budget struct {
	sends    float64
	hedges   float64
	filledAt time.Time
}

func newBudgets() *budgets {
	return &budgets{tenants: shard.NewMap[string, budget](), resumed: shard.NewMap[string, float64]()}
}

func (b *budgets) earn(tenant string) {
	b.tenants.Update(tenant, func(have budget, present bool) (budget, bool) {
		if !present {
			have = budget{sends: budgetStart, hedges: hedgeMost}
		}
		have.sends = min(have.sends+budgetShare, budgetMost)
		return have, true
	})
}

// spend takes one send out of the tenant's budget if there is one in it.
func (b *budgets) spend(tenant string) bool {
	spent := false
	b.tenants.Update(tenant, func(have budget, present bool) (budget, bool) {
		spent = have.sends >= 1
		if spent {
			have.sends--
		}
		return have, present
	})
	return spent
}

// spendHedge is spend for a call that goes on beside the first, and may fall
// back on the tenant's few hedges.
func (b *budgets) spendHedge(tenant string, now time.Time) bool {
	if b.spend(tenant) {
		return true
	}
	spent := false
	b.tenants.Update(tenant, func(have budget, present bool) (budget, bool) {
		if !have.filledAt.IsZero() {
			have.hedges = min(have.hedges+float64(now.Sub(have.filledAt))/float64(hedgeEvery), hedgeMost)
		}
		have.filledAt = now
		spent = have.hedges >= 1
		if spent {
			have.hedges--
		}
		return have, present
	})
	return spent
}

// whole notes a whole answer of a model.
func (b *budgets) whole(model string) {
	b.resumed.Update(model, func(used float64, present bool) (float64, bool) {
		used -= budgetShare
		return used, present && used > 0
	})
}

// spendResume takes one answer of a model that is gone on with, if there is one
// left: targets that bring no answer to its end see a tenth extra and no more than
// resumeMost besides.
func (b *budgets) spendResume(model string) bool {
	spent := false
	b.resumed.Update(model, func(used float64, _ bool) (float64, bool) {
		spent = used+1 <= resumeMost
		if spent {
			used++
		}
		return used, true
	})
	return spent
}
