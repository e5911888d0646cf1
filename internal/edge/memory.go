package edge

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/transport/accept"
	"chivecroft.example/chivecroft/platform"
)

// Parts of the memory that the boot file allows the process.
const (
	// budgetShare is for heads, bodies, answers and streams. The rest is for the runtime
	// and its garbage, the connections and control, which takes 64 MB at design size.
	budgetShare = 0.3
	// connShare is for the connections: connBytes is the cost of one and of the one to
	// its target, with four goroutines and the buffers of net/http.
	connShare = 0.25
	connBytes = 32 << 10
	// runtimeShare is the soft limit of Go's runtime. The rest is for what it does not
	// count: the program's text, and what is allocated while a collection runs.
	runtimeShare = 0.85
)

// Parts of the descriptors that the boot file allows the process.
const (
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// controlShare is for the connections to the store, other instances and operators,
	// and for listeners, idleShare for idle connections to targets.
	controlShare   = 0.125
	minControlConn = 64
	idleShare      = 0.125
	// minCallerConns is the smallest limit on connections of callers.
	minCallerConns = 16
)

// Limits of the servers for others than callers.
const (
	// controlHeaderBytes limits their heads.
	controlHeaderBytes  = 16 << 10
	controlIdleTimeout  = 2 * time.Minute
	controlReadTimeout  = 10 * time.Second
	controlWriteTimeout = 30 * time.Second
	maxReadyBodyBytes   = 1 << 10
	maxMetricsBodyBytes = 64 << 10
)

// memoryInterval is the interval of the metrics of memory and of the log lines about
// refusals.
const memoryInterval = time.Second

// memoryBudget returns the budget of the account, 0 for none.
func memoryBudget(memory int64) int64 { return int64(budgetShare * float64(memory)) }

// limitRuntime sets the soft limit of Go's runtime, if the process has a limit.
func limitRuntime(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memory)))
	}
}

// maxCallerConns returns the limit on connections of callers, 0 for none. Each may have a
// request, for which a connection to a target is open too.
func maxCallerConns(boot *platform.Boot) int {
	limit := 0
	if boot.MaxDescriptors > 0 {
		usable := usableDescriptors(boot)
		control := max(controlShare*usable, minControlConn)
		limit = max(int((usable-control-idleShare*usable)/2), minCallerConns)
	}
	if boot.MemoryBytes > 0 {
		byMemory := max(int(connShare*float64(boot.MemoryBytes)/connBytes), minCallerConns)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// maxIdleTargetConns returns the limit on idle connections to targets, 0 for the default.
func maxIdleTargetConns(boot *platform.Boot) int {
	if boot.MaxDescriptors <= 0 {
		return 0
	}
	return max(int(idleShare*usableDescriptors(boot)), minCallerConns)
}

func usableDescriptors(boot *platform.Boot) float64 {
	return max(float64(boot.MaxDescriptors-reservedDescriptors), 0)
}

// newControlServer returns a server for others than callers with limits on heads, bodies
// and their times.
func newControlServer(handler http.Handler, maxBodyBytes int64) *http.Server {
	return &http.Server{
		Handler: http.MaxBytesHandler(handler, maxBodyBytes), MaxHeaderBytes: controlHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: controlReadTimeout, WriteTimeout: controlWriteTimeout,
		IdleTimeout: controlIdleTimeout,
	}
}

// memoryLoop records the use of memory and logs refusals.
func (e *Edge) memoryLoop(ctx context.Context) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		held := make(map[string]int64)
		for _, u := range budget.Uses() {
			held[u.String()] = e.account.Held(u)
		}
		conns := e.listener.Counts()
		e.metrics.memoryUsed(held, conns, e.refusals.flush(held, conns))
	}
}

// refusalLog counts the connections and heads that were refused, and writes at most one
// line for each reason in memoryInterval.
type refusalLog struct {
	log *log.Logger

	mu     sync.Mutex
	counts map[string]int64
}

func newRefusalLog(l *log.Logger) *refusalLog {
	return &refusalLog{log: l, counts: make(map[string]int64)}
}

func (r *refusalLog) add(reason accept.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[string(reason)]++
}

// flush logs and returns the counts since the last call.
func (r *refusalLog) flush(held map[string]int64, conns map[string]int) map[string]int64 {
	r.mu.Lock()
	counts := r.counts
	r.counts = make(map[string]int64)
	r.mu.Unlock()
	for reason, n := range counts {
		r.log.Warn().Str("reason", reason).Int64("count", n).Int64("heads", held[budget.Heads.String()]).
			Int64("bodies", held[budget.Bodies.String()]).Int64("answers", held[budget.Answers.String()]).
			Int64("streams", held[budget.Streams.String()]).Int("connections", conns["new"]+conns["head"]+conns["busy"]+conns["idle"]).
			Msg("connections refused")
	}
	return counts
}
