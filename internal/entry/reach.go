package entry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// The kinds of events that tell of cuts.
const (
	kindZoneCutOff = "zoneCutOff"
	kindZoneBack   = "zoneBack"
)

// signPatience is how long another zone's entries have for a sign of life, which
// they give at once. It ends before the probe of a silent target does, so that
// the request which waits for that probe already knows.
const signPatience = 700 * time.Millisecond

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
	asked := e.signs.DoChan(zone, func() (any, error) { return nil, e.askSign(zone) })
	return func() {
		if sign := <-asked; sign.Err != nil {
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
	_, err := askInTurn(ctx, e.timer, signHedge, members, func(ctx context.Context, m ports.Member) (any, error) {
		return e.peers.Ask(ctx, m.Addr, ports.FetchConfig{After: e.config().Version})
	})
	return trace.Wrap(err, "sign of life of zone %s", zone)
}

// cutOff stops requests to a zone until there is a sign of it.
func (e *Entry) cutOff(zone string) {
	if !e.doubts.has(cutPrefix + zone) {
		e.tellOperators(kindZoneCutOff, zone, "neither a target nor an entry of it answers; its models count as cold here")
	}
	e.doubts.raise(cutPrefix + zone)
	e.doubts.raise(zonePrefix + zone)
}

// doubt begins the doubt of a source. An owner of the own zone is suspected from
// then on, also by the parts of its shards.
func (e *Entry) doubt(source string) {
	if !e.doubts.has(source) && strings.HasPrefix(source, ownerPrefix) {
		defer e.tellSuspects()
	}
	e.doubts.raise(source)
}

// tellSuspects tells the shards' parts which entries of the zone are suspected.
func (e *Entry) tellSuspects() {
	e.parts.toShards(owner.MembersChanged{Members: e.suspecting(e.members())})
}

// suspecting returns members with the doubtful ones of the own zone as silent.
//
// A part then looks at the lease of a suspect's shard each second, and takes the
// shard when the KV service says that the lease is gone. So a suspicion that is
// wrong costs reads, and one that is right saves the rest of the time that
// membership takes to call a member silent:
//
//	owner killed         at 0 s, last renewal up to a third of the lease before
//	two pulls fail       at 0.5 s, suspected
//	lease gone           at 4 s to 6 s, with a lease of 6 s
//	counted as silent    at 10 s
func (e *Entry) suspecting(members []ports.Member) []ports.Member {
	members = slices.Clone(members)
	for i, m := range members {
		if m.Zone == e.self.Zone && m.Phase == ports.MemberAlive && e.doubts.has(e.sourceOf(m)) {
			members[i].Phase = ports.MemberSilent
		}
	}
	return members
}

// heardOf ends the doubts of a source that has answered.
func (e *Entry) heardOf(source string) {
	if e.doubts.clear(source) && strings.HasPrefix(source, ownerPrefix) {
		e.tellSuspects()
	}
	if zone, abroad := strings.CutPrefix(source, zonePrefix); abroad && e.doubts.clear(cutPrefix+zone) {
		e.tellOperators(kindZoneBack, zone, "answers again")
	}
}

// failedPull prolongs the doubts of a source whose pull has failed, and begins
// that of an owner whose pulls have failed more than once on end.
func (e *Entry) failedPull(source string, onEnd int) {
	if onEnd > 1 && strings.HasPrefix(source, ownerPrefix) {
		e.doubt(source)
	}
	e.doubts.renew(source)
	if zone, abroad := strings.CutPrefix(source, zonePrefix); abroad {
		e.doubts.renew(cutPrefix + zone)
	}
}

// isCutOff tells whether requests to a zone are of no use.
func (e *Entry) isCutOff(zone string) bool {
	return e.doubts.has(cutPrefix + zone)
}
