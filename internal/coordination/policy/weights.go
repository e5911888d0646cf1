package policy

import (
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// maxWeight bounds a weight, so that products with hours and bytes stay exact
// enough to compare.
const maxWeight = 10_000

// Weights price the two figures against each other; only their ratio matters.
type Weights struct {
	// ColdStart is the price of one second for which a caller waits for a load.
	ColdStart float64 `json:"coldStart"`
	// IdleHours is the price of one hour for which an accelerator's memory is
	// held by replicas with nothing to do.
	IdleHours float64 `json:"idleHours"`
}

// Names of the presets.
const (
	// PresetPulilan puts tail cold start first.
	PresetPulilan = "pulilan"
	// PresetLakeshore puts idle accelerator hours first.
	PresetLakeshore = "lakeshore"
)

var presets = map[string]Weights{
	PresetPulilan:   {ColdStart: 1, IdleHours: 65},
	PresetLakeshore: {ColdStart: 1, IdleHours: 240},
}

// Preset returns the weights of a preset by its name.
func Preset(name string) (Weights, error) {
	w, ok := presets[name]
	if !ok {
		return Weights{}, trace.BadParameter("policy preset %q is not known, accepted are %q", name, PresetNames())
	}
	return w, nil
}

// PresetNames returns the names of the presets in order.
func PresetNames() []string {
	names := make([]string, 0, len(presets))
	for name := range presets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Check returns an error that names the weight that is out of range.
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

// idle returns the price of holding a share of an accelerator for d.
func (w Weights) idle(d time.Duration, share float64) float64 {
	return w.IdleHours * d.Hours() * share
}

// cold returns the price of a wait for a load.
func (w Weights) cold(d time.Duration) float64 {
	return w.ColdStart * d.Seconds()
}
