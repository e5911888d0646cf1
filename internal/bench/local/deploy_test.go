package local

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/bench"
)

// TestBenchWithFaults plays a short schedule with faults against real entries:
// every call has to end in an answer that is right or honest.
func TestBenchWithFaults(t *testing.T) {
	shape := bench.Pulilan()
	shape.Zones = []bench.Zone{
		{Name: "bul-a", Region: "bulacan", Entries: 2, Targets: 2, Services: 1},
		{Name: "pam-a", Region: "pampanga", Entries: 1, Targets: 1, Services: 1},
	}
	shape.Models, shape.Adapters = 6, 6
	shape.LoadTime = 300 * time.Millisecond
	d, err := Deploy(t.Context(), shape, "key")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	load := bench.Load{Duration: 4 * time.Second, Rate: 15, Bursts: 3, Burst: 8, HotModels: 2, Faults: true}
	report, err := bench.Run(t.Context(), *d, shape, bench.NewPlan(shape, load, 11))
	if err != nil {
		t.Fatal(err)
	}
	if broken := report.Broken(); len(broken) > 0 || !report.RunsChecked {
		t.Errorf("broken: %q, runs checked: %t", broken, report.RunsChecked)
	}
	for _, kind := range []bench.ShotKind{bench.ShotCold, bench.ShotWarm, bench.ShotLookup, bench.ShotRunOnce} {
		if k := report.Kinds[kind]; k == nil || k.Verdicts[bench.Served] == 0 {
			t.Errorf("no %s call was served", kind)
		}
	}
	var text bytes.Buffer
	if err := report.Print(&text); err != nil {
		t.Error(err)
	}
	if _, err := json.Marshal(report); err != nil {
		t.Error(err)
	}
	t.Log(text.String())
}
