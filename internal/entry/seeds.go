package entry

import (
	"context"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// meetSeeds asks the configured seeds for members for as long as the entry
// knows nobody else.
//
// The instance list is the usual way to the first peer, but an instance that is
// replaced while the platform is down could then learn neither the members nor,
// from them, the configuration.
func (e *Entry) meetSeeds(ctx context.Context) {
	for {
		if len(e.members()) > 1 {
			return
		}
		for _, seed := range e.settings.Seeds {
			if seed == e.self.Addr {
				continue
			}
			answer, err := e.peers.Ask(ctx, seed, ports.Gossip{From: e.self})
			if g, ok := answer.(ports.Gossip); ok && err == nil {
				e.parts.members.Post(member.GossipReceived{Gossip: g})
			}
		}
		if !e.sleep(ctx, followEvery) {
			return
		}
	}
}
