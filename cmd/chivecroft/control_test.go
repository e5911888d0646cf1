package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// What an entry may spend on control, as the target size has it.
const (
	controlCore  = 0.022
	controlBytes = 64 << 20
	controlRate  = 11 << 10
)

// spent is what a process has used so far.
type spent struct {
	cpu   time.Duration
	bytes float64
}

// TestControlCost leaves a deployment of two zones alone and measures what its
// entries spend on control.
func TestControlCost(t *testing.T) {
	const watched = 10 * time.Second
	s := deploy(t)
	time.Sleep(2 * time.Second)
	before := make(map[string]spent)
	for id := range s.entries {
		before[id] = s.spent(id)
	}
	s.request(http.MethodDelete, s.platform+"/counts", "", nil)
	time.Sleep(watched)
	for id := range s.entries {
		after := s.spent(id)
		core := (after.cpu - before[id].cpu).Seconds() / watched.Seconds()
		rate := (after.bytes - before[id].bytes) / watched.Seconds()
		peak := peakBytes(t, s.entries[id])
		t.Logf("%s: %.2f %% of a core, %.1f KB/s, %d MB", id, 100*core, rate/1024, peak>>20)
		if core > controlCore || rate > controlRate || peak > controlBytes {
			t.Errorf("%s spends more than %.1f %% of a core, %d KB/s or %d MB", id, 100*controlCore, controlRate>>10, controlBytes>>20)
		}
	}
	_, counts := s.request(http.MethodGet, s.platform+"/counts", "", nil)
	t.Logf("KV calls of all entries in %v: %s", watched, counts)
}

func (s *system) spent(entry string) spent {
	s.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.entries[entry].cmd.Process.Pid))
	if err != nil {
		s.t.Skipf("no /proc on this system: %v", err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	// Fields 14 and 15 of the line are user and system time in ticks of 10 ms;
	// the first two fields are cut off here.
	const tick = 10 * time.Millisecond
	var ticks int
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			s.t.Fatal(err)
		}
		ticks += n
	}
	out := spent{cpu: time.Duration(ticks) * tick}
	_, metrics := s.request(http.MethodGet, s.ops[entry]+"/metrics", "", nil)
	for _, match := range regexp.MustCompile(`(?m)^chivecroft_control\w*_total\{.*\} (\S+)$`).FindAllStringSubmatch(metrics, -1) {
		n, err := strconv.ParseFloat(match[1], 64)
		if err != nil {
			s.t.Fatal(err)
		}
		out.bytes += n
	}
	return out
}
