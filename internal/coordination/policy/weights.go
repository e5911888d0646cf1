package policy

import (
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// maxWeight is the maximum of a weight. It keeps products with hours and bytes exact enough
// for comparisons.
const maxWeight = 10_000

// Weights are the costs of cold starts and of idle accelerators. Only their ratio matters.
type Weights struct {
	// ColdStart is the cost of one second for which a caller waits for a load.
	ColdStart float64 `json:"coldStart"`
	// IdleHours is the cost of one hour for which idle replicas take the memory of one
	// accelerator.
	IdleHours float64 `json:"idleHours"`
}

// Names of the presets.
const (
	// PresetPulilan gives priority to short cold starts at the tail of the distribution.
	PresetPulilan = "pulilan"
	// PresetLakeshore gives priority to few idle accelerator hours.
	PresetLakeshore = "lakeshore"
)

var presets = map[string]Weights{
	PresetPulilan:   {ColdStart: 1, IdleHours: 65},
	PresetLakeshore: {ColdStart: 1, IdleHours: 240},
}

// Preset returns the weights of the preset with the given name, or an error that lists the
// known names.
func Preset(name string) (Weights, error) {
	w, ok := presets[name]
	if !ok {
		return Weights{}, trace.BadParameter("policy preset %q is not known, accepted are %q", name, PresetNames())
	}
	return w, nil
}

// PresetNames returns the names of the presets in ascending order.
func PresetNames() []string {
	names := make([]string, 0, len(presets))
	for name := range presets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Check returns an error that names each weight out of range, or both if both are 0.
func (w Weights) Check() error {
	var errs []error
	errs = append(errs, checkWeight("coldStart", w.ColdStart), checkWeight("idleHours", w.IdleHours))
	if w.ColdStart == 0 && w.IdleHours == 0 {
		errs = append(errs, trace.BadParameter("policy weights coldStart and idleHours are both 0, one has to be above"))
	}
	return trace.NewAggregate(errs...)
}

func checkWeight(name string, v float64) error {
	if math.IsNaN(v) || v < 0 || v > maxWeight {
		return trace.BadParameter("policy weight %s is %v, accepted is 0 to %d", name, v, maxWeight)
	}
	return nil
}

// idleCost returns the cost of an idle replica that takes the given fraction of an
// accelerator for d.
func (w Weights) idleCost(d time.Duration, share float64) float64 {
	return w.IdleHours * d.Hours() * share
}

// coldStartCost returns the cost of a cold start for which a caller waits for d.
func (w Weights) coldStartCost(d time.Duration) float64 {
	return w.ColdStart * d.Seconds()
}
