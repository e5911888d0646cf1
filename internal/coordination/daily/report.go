package daily

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Level is the short form of a verdict.
type Level string

// The levels of a verdict.
const (
	// LevelGood means that every goal was met and nothing is missing.
	LevelGood Level = "good"
	// LevelBad means that a goal was missed.
	LevelBad Level = "bad"
	// LevelUnclear means that every goal was met by what is known, but that
	// some of it is missing.
	LevelUnclear Level = "unclear"
)

// Report is what became of a day's requests over all instances.
type Report struct {
	Date     string    `json:"date"`
	TimeZone string    `json:"timeZone"`
	AsOf     time.Time `json:"asOf"`
	// Over tells that the date has ended.
	Over    bool    `json:"over"`
	Verdict Verdict `json:"verdict"`

	Arrived   uint64 `json:"arrived"`
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Abandoned uint64 `json:"abandoned"`
	// InFlight are requests that living instances work on, or worked on when the
	// date ended.
	InFlight uint64 `json:"inFlight"`
	// Lost are requests that ended instances had not finished by their last row.
	Lost uint64 `json:"lost"`

	Services   []ServiceCount `json:"services"`
	Refusals   []Refusal      `json:"refusals"`
	RunOnce    []Outcome      `json:"runOnce"`
	Waits      Waits          `json:"waits"`
	IdleHours  float64        `json:"idleHours"`
	Models     []ModelReport  `json:"models"`
	Happenings []Happening    `json:"happenings"`
	// HappeningsLeftOut is the number of happenings beyond the rows' bounds.
	HappeningsLeftOut int          `json:"happeningsLeftOut,omitempty"`
	Completeness      Completeness `json:"completeness"`
}

// Verdict says whether the day was good and why.
type Verdict struct {
	Level    Level  `json:"level"`
	Sentence string `json:"sentence"`
	// Causes are the goals that were missed, or what is missing.
	Causes []string `json:"causes,omitempty"`
}

// ServiceCount is what became of one service's requests.
type ServiceCount struct {
	Service   string `json:"service"`
	Arrived   uint64 `json:"arrived"`
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Abandoned uint64 `json:"abandoned"`
}

// Refusal is the number of requests refused for one reason.
type Refusal struct {
	Reason string `json:"reason"`
	NotRun bool   `json:"notRun"`
	Count  uint64 `json:"count"`
}

// Outcome is the number of run-once calls of a service that ended in one way.
type Outcome struct {
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
}

// Waits sums up how long callers waited for loads.
type Waits struct {
	Count uint64          `json:"count"`
	P50   config.Duration `json:"p50"`
	P95   config.Duration `json:"p95"`
	P99   config.Duration `json:"p99"`
	Worst config.Duration `json:"worst"`
}

// ModelReport is what one model did.
type ModelReport struct {
	Model     string  `json:"model"`
	Waits     Waits   `json:"waits"`
	IdleHours float64 `json:"idleHours"`
}

// Completeness says how much of the truth the figures hold.
type Completeness struct {
	// Rows is the number of rows that were added up.
	Rows int `json:"rows"`
	// Whole tells that nothing is missing.
	Whole bool  `json:"whole"`
	Gaps  []Gap `json:"gaps,omitempty"`
	// Uncounted estimates the most requests that the gaps may hide.
	Uncounted uint64 `json:"uncounted"`
}

// Gap is something that the figures may lack.
type Gap struct {
	Instance string `json:"instance,omitempty"`
	Reason   string `json:"reason"`
}
