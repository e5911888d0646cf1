package dayui

import (
	"cmp"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/daily"
)

// waiters returns the models that kept callers waiting, the worst first.
func waiters(models []daily.ModelReport) []daily.ModelReport {
	return slices.DeleteFunc(slices.Clone(models), func(m daily.ModelReport) bool { return m.Waits.Count == 0 })
}

// idlers returns the models that held accelerators idle, the most hours first.
func idlers(models []daily.ModelReport) []daily.ModelReport {
	found := slices.DeleteFunc(slices.Clone(models), func(m daily.ModelReport) bool { return m.IdleHours == 0 })
	slices.SortStableFunc(found, func(a, b daily.ModelReport) int { return cmp.Compare(b.IdleHours, a.IdleHours) })
	return found
}
