package stand

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings.
	memoryLimit = 284
	bodyBytes   = 4 << 20
	smallBytes  = 2900
	// burstCalls is the number of callers of the site.
	burstCalls = 58
	rounds     = 3
	// callerPace is the time of a caller for each 32 KB, so that all of them together send
	// less than the 1,000 Mbit/s of an instance's link.
	callerPace = 17 * time.Millisecond
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%d", &kb)
		}
	}
	return kb >> 10
}

// runMemory has many callers send large requests at once, to one of three instances and then
// to another.
func runMemory(w *world) error {
	if err := w.configure([]map[string]any{engineService(1, 6*time.Second, "m1", "m2")}, proofRoute); err != nil {
		return err
	}
	if _, err := w.startTarget("i-llm1", "llm", zones[0], 64, "-models", "m1", "-memory", "1", "-load", "6s",
		"-events", "3", "-pause", "10ms"); err != nil {
		return err
	}
	if err := w.startFronts(3); err != nil {
		return err
	}
	often := 0
	for _, f := range w.fronts[:2] {
		ends := 0
		for range rounds {
			ended, err := w.burst(f)
			if err != nil {
				return err
			}
			if ended {
				ends++
			}
		}
		w.note("%s was ended %d times", f.name, ends)
		if ends >= rounds {
			often++
		}
	}
	if often >= 2 {
		return fmt.Errorf("%w: %d of %d instances exceeded memory_mb %d times", errBroken, often, len(w.fronts), rounds)
	}
	return nil
}

// burst sends requests of all callers to an instance at once, and reports whether it was
// ended because of its memory. If so, it is started again.
func (w *world) burst(f *front) (ended bool, err error) {
	size := smallBytes
	if w.trouble {
		size = bodyBytes
	}
	stop := make(chan struct{})
	killed := make(chan bool, 1)
	go w.watchMemory(f, stop, killed)
	var all sync.WaitGroup
	w.burstCount++
	for i := range burstCalls {
		all.Go(func() {
			w.send(call{
				to: w.callers(f), method: "POST", path: "/proof/2f", id: fmt.Sprintf("f%d%03d", w.burstCount, i),
				model: fmt.Sprintf("m%d", 1+w.burstCount%2), within: 10 * time.Second, body: strings.Repeat("p", size), pace: callerPace,
			})
		})
	}
	all.Wait()
	close(stop)
	ended = <-killed
	if ended {
		time.Sleep(restartDelay)
		if err := w.launch(f); err != nil {
			return true, err
		}
	}
	return ended, w.awaitReady()
}

// watchMemory kills a front whose memory exceeds the limit, as the platform does.
func (w *world) watchMemory(f *front, stop <-chan struct{}, killed chan<- bool) {
	most := 0
	for {
		now := residentMB(f.cmd.Process.Pid)
		most = max(most, now)
		if now > memoryLimit {
			w.note("%s uses %d MB, more than memory_mb", f.name, now)
			w.signal(f, syscall.SIGKILL)
			<-f.ended
			killed <- true
			return
		}
		select {
		case <-stop:
			w.note("%s used %d MB at most", f.name, most)
			killed <- false
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
