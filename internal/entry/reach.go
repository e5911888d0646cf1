package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// signPatience is how long another zone's entries have for a sign of life, which
// they give at once. It ends before the probe of a silent target does, so that
// the request which waits for that probe already knows.
const signPatience = 700 * time.Millisecond

// signs are the questions to other zones for a sign of life that are under way,
// one for each zone.
type signs struct {
	mu      sync.Mutex
	running map[string]*sign
}

// sign is one question; silent is set before done is closed.
type sign struct {
	done   chan struct{}
	silent bool
}

// of joins the question to a zone, or begins one.
func (s *signs) of(zone string, ask func() error) *sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.running[zone]; one != nil {
		return one
	}
	if s.running == nil {
		s.running = make(map[string]*sign)
	}
	one := &sign{done: make(chan struct{})}
	s.running[zone] = one
	go func() {
		one.silent = ask() != nil
		s.mu.Lock()
		delete(s.running, zone)
		s.mu.Unlock()
		close(one.done)
	}()
	return one
}

// targetSilent asks the zone of a target that seems silent for a sign of life,
// if that is another zone. The caller calls raise once it knows that the target
// is silent: if the zone's entries are so as well, the zone counts as cut off.
//
// Membership takes a minute to notice that, and every request to a model that is
// warm in that zone alone would wait for its deadline until then. A zone that is
// cut off gets no more requests; its models are cold here, and the own zone loads
// them if it may.
func (e *Entry) targetSilent(at netip.AddrPort) (raise func()) {
	zone, abroad := (*e.view.abroad.Load())[at]
	if !abroad {
		return func() {}
	}
	one := e.signs.of(zone, func() error { return e.askSign(zone) })
	return func() {
		<-one.done
		if one.silent {
			e.cutOff(zone)
		}
	}
}

// askSign asks entries of a zone for something small.
func (e *Entry) askSign(zone string) error {
	ctx, cancel := context.WithTimeout(e.ctx, signPatience)
	defer cancel()
	members := e.membersOf(zone)
	if len(members) == 0 {
		return trace.ConnectionProblem(nil, "no entry of zone %s is known", zone)
	}
	_, err := askInTurn(ctx, e.timer, members, func(ctx context.Context, m ports.Member) (any, error) {
		return e.peers.Ask(ctx, m.Addr, ports.FetchConfig{After: e.config().Version})
	})
	return trace.Wrap(err, "sign of life of zone %s", zone)
}

// cutOff stops requests to a zone until there is a sign of it.
func (e *Entry) cutOff(zone string) {
	if !e.doubts.has(cutPrefix + zone) {
		e.log.Warn().Str("kind", "zoneCutOff").Str("subject", zone).Msg("neither a target nor an entry answers; its models count as cold here")
	}
	e.doubts.raise(cutPrefix + zone)
	e.doubts.raise(zonePrefix + zone)
}

// isCutOff tells whether requests to a zone are of no use.
func (e *Entry) isCutOff(zone string) bool {
	return e.doubts.has(cutPrefix + zone)
}
