package entry

import (
	"net/netip"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// The kinds of traffic between regions.
const (
	// kindControl is what entries tell each other.
	kindControl = "control"
	// kindModel is what callers and model engines exchange.
	kindModel = "model"
	// kindService is what callers and plain services exchange.
	kindService = "service"
	// kindKV is the platform's services, whose region an entry does not know.
	kindKV = "kv"
)

// platformRegion stands for the unknown region of the platform.
const platformRegion = "platform"

// regions are the regions of instances by their addresses.
type regions map[netip.AddrPort]string

// watchLink counts the bytes of the connections that cross the link. The region
// of an address may be learned after a connection to it was opened, so it is
// looked up each time.
func (e *Entry) watchLink(kind string) gate.Watch {
	return func(to netip.AddrPort) gate.Count {
		return func(sent bool, n int) {
			region := e.regionOf(to)
			if n == 0 || region == "" || region == e.self.Region {
				return
			}
			e.meter.LinkBytes(region, kind, sent, n)
			if kind != kindService {
				// Bodies of plain services wait for their share before they cross.
				e.link.Charge(directionOf(sent), n)
			}
		}
	}
}

// watchPlatform counts the bytes of the platform's services.
func (e *Entry) watchPlatform(netip.AddrPort) gate.Count {
	return func(sent bool, n int) { e.meter.LinkBytes(platformRegion, kindKV, sent, n) }
}

func directionOf(sent bool) link.Direction {
	if sent {
		return link.Out
	}
	return link.In
}

func (e *Entry) regionOf(at netip.AddrPort) string {
	if known := e.view.regions.Load(); known != nil {
		return (*known)[at]
	}
	return ""
}

// learnRegions takes the regions of all instances from the list, and those of the
// entries from gossip as well, which goes on while the list is not there.
func (e *Entry) learnRegions(rows []ports.Instance, members []ports.Member) {
	known := make(regions)
	if old := e.view.regions.Load(); rows == nil && old != nil {
		for at, region := range *old {
			known[at] = region
		}
	}
	for _, row := range rows {
		known[row.Addr] = row.Region
	}
	for _, m := range members {
		known[m.Addr] = m.Region
	}
	e.view.regions.Store(&known)
}
