package bench

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// cpuMetric is the processor time of a process in the Prometheus text format.
const cpuMetric = "process_cpu_seconds_total"

// cpuOf adds up the processor time of the entries. Entries that share a process
// report the same time, so equal addresses must be given once.
func cpuOf(ctx context.Context, client *http.Client, urls []string) (time.Duration, error) {
	var sum time.Duration
	for _, url := range urls {
		d, err := cpuAt(ctx, client, url)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

func cpuAt(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, trace.Wrap(err, "read %s", url)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if name != cpuMetric {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, trace.Wrap(err, "read %s", url)
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return 0, trace.NotFound("%s has no %s", url, cpuMetric)
}
