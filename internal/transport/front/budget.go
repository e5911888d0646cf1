package front

import (
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
)

// budgets bounds the sends beyond the first of each tenant to a tenth of its
// requests, so that a back end which fails sees no storm of repeats.
type budgets struct {
	tenants *shard.Map[string, float64]
}

func newBudgets() *budgets {
	return &budgets{tenants: shard.NewMap[string, float64]()}
}

func (b *budgets) earn(tenant string) {
	b.tenants.Update(tenant, func(have float64, present bool) (float64, bool) {
		if !present {
			have = budgetStart
		}
		return min(have+budgetShare, budgetMost), true
	})
}

// spend takes one send out of the tenant's budget if there is one in it.
func (b *budgets) spend(tenant string) bool {
	spent := false
	b.tenants.Update(tenant, func(have float64, _ bool) (float64, bool) {
		if have < 1 {
			return have, true
		}
		spent = true
		return have - 1, true
	})
	return spent
}
