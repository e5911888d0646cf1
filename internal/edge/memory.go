package edge

import (
	"context"
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
	// ownShare is for connections that this process opens to the store and other instances,
	// and for listeners.
	ownShare    = 1.0 / 32
	minOwnConns = 16
	// peerPortShare and smallPortShare limit the connections of the ports for others than
	// callers as parts of what all ports share.
	peerPortShare  = 0.38
	smallPortShare = 1.0 / 32
	// callerCost is the number of descriptors of a caller's connection: one is for the
	// connection to a target.
	callerCost = 2
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

// sharedDescriptors returns the descriptors that the connections of all ports use together,
// 0 for no limit.
func sharedDescriptors(boot *platform.Boot) int {
	if boot.MaxDescriptors <= 0 {
		return 0
	}
	usable := usableDescriptors(boot)
	own := max(int(ownShare*usable), minOwnConns)
	return max(int(usable)-own-maxIdleTargetConns(boot), callerCost*minCallerConns+3*minControlConns)
}

// reservedConns returns the descriptors that callers' connections leave to the other ports in
// a fleet of the given number of instances: each may be the holder, to which all connect.
func reservedConns(boot *platform.Boot, members int) int {
	peers := min(members+members/4+minControlConns, peerLimits(boot).conns)
	return peers + readyLimits(boot).conns + metricsLimits(boot).conns
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
		held := heldBytes(e.account)
		conns := e.listener.Counts()
		e.metrics.memoryUsed(held, conns, e.refusals.flush(held, conns))
		e.pool.SetReserve(reservedConns(e.boot, int(e.members.Load())))
		for _, s := range e.controlServers() {
			e.metrics.controlPortUsed(s)
		}
	}
}

func heldBytes(account *budget.Account) map[string]int64 {
	held := make(map[string]int64)
	for _, u := range budget.Uses() {
		held[u.String()] = account.Held(u)
	}
	return held
}

// refusalLog counts the connections, heads and messages that a port has refused, and writes
// at most one line for each reason in memoryInterval.
type refusalLog struct {
	log  *log.Logger
	port string

	mu     sync.Mutex
	counts map[string]*refusals
}

// refusals are those for one reason. peer and err are of the latest one, if known.
type refusals struct {
	count int64
	peer  string
	err   error
}

func newRefusalLog(l *log.Logger, port string) *refusalLog {
	return &refusalLog{log: l, port: port, counts: make(map[string]*refusals)}
}

func (r *refusalLog) add(reason accept.Reason) { r.addFrom(reason, "", nil) }

// addFrom counts a refusal of a message, which has an error, from an address.
func (r *refusalLog) addFrom(reason accept.Reason, peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.counts[string(reason)]
	if n == nil {
		n = new(refusals)
		r.counts[string(reason)] = n
	}
	n.count++
	n.peer, n.err = peer, err
}

// flush logs and returns the counts since the last call.
func (r *refusalLog) flush(held map[string]int64, conns map[string]int) map[string]int64 {
	r.mu.Lock()
	byReason := r.counts
	r.counts = make(map[string]*refusals)
	r.mu.Unlock()
	counts := make(map[string]int64, len(byReason))
	for reason, n := range byReason {
		counts[reason] = n.count
		line := r.log.Warn().Str("port", r.port).Str("reason", reason).Int64("count", n.count).
			Int64("heads", held[budget.Heads.String()]).
			Int64("bodies", held[budget.Bodies.String()]).Int64("answers", held[budget.Answers.String()]).
			Int64("streams", held[budget.Streams.String()]).Int("connections", conns["new"]+conns["head"]+conns["busy"]+conns["idle"])
		if n.peer != "" {
			line = line.Str("peer", n.peer).Err(n.err)
		}
		line.Msg("connections refused")
	}
	return counts
}
