package world

import (
	"errors"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// ErrCut is the error of a message between sides that are cut off.
var ErrCut = errors.New("no route: the link is cut")

// Handler answers a peer's message by calling done once.
type Handler func(msg ports.PeerMessage, done func(ports.PeerReply))

// Net carries orders and peer messages between addresses, with one latency and
// cuts in either direction.
type Net struct {
	timer   timer.Service
	latency time.Duration
	engines map[netip.AddrPort]*engmem.Engine
	peers   map[netip.AddrPort]Handler
	cuts    map[direction]bool
	// Delay adds time to single orders and replies; nil adds none.
	Delay func(from, to netip.AddrPort) time.Duration
}

type direction struct{ from, to netip.AddrPort }

// NewNet returns a network without participants.
func NewNet(t timer.Service, latency time.Duration) *Net {
	return &Net{
		timer:   t,
		latency: latency,
		engines: make(map[netip.AddrPort]*engmem.Engine),
		peers:   make(map[netip.AddrPort]Handler),
		cuts:    make(map[direction]bool),
	}
}

// AddEngine puts an engine at an address, replacing what was there; nil removes it.
func (n *Net) AddEngine(at netip.AddrPort, e *engmem.Engine) {
	n.engines[at] = e
}

// AddPeer puts an entry's handler at an address; nil removes it.
func (n *Net) AddPeer(at netip.AddrPort, h Handler) {
	n.peers[at] = h
}

// Cut stops or restores what goes from one address to another; the other
// direction is not touched.
func (n *Net) Cut(from, to netip.AddrPort, cut bool) {
	n.cuts[direction{from, to}] = cut
}

// From returns the network as the entry at an address uses it.
func (n *Net) From(at netip.AddrPort) *Side {
	return &Side{net: n, at: at}
}

// Side is one entry's view of a Net; it is an Engine and a Peers.
type Side struct {
	net *Net
	at  netip.AddrPort
}

// Order sends an order to a target; a lost order or answer ends as unknown.
func (s *Side) Order(to netip.AddrPort, o ports.Order, done func(ports.OrderReply)) {
	if !o.NotAfter.IsZero() && !s.net.timer.Now().Before(o.NotAfter) {
		done(ports.OrderReply{Status: ports.OrderUnsent, Reason: "the lease may have lapsed"})
		return
	}
	s.net.pass(s.at, to, func(ok bool) {
		engine := s.net.engines[to]
		if !ok || engine == nil {
			done(ports.OrderReply{Status: ports.OrderUnknown, Err: ErrCut})
			return
		}
		reply := engine.Order(o)
		s.net.pass(to, s.at, func(ok bool) {
			if !ok {
				done(ports.OrderReply{Status: ports.OrderUnknown, Err: ErrCut})
				return
			}
			done(reply)
		})
	})
}

// Send sends a message to another entry.
func (s *Side) Send(to netip.AddrPort, msg ports.PeerMessage, done func(ports.PeerReply)) {
	s.net.pass(s.at, to, func(ok bool) {
		handler := s.net.peers[to]
		if !ok || handler == nil {
			done(ports.PeerReply{Err: ErrCut})
			return
		}
		handler(msg, func(reply ports.PeerReply) {
			s.net.pass(to, s.at, func(ok bool) {
				if !ok {
					done(ports.PeerReply{Err: ErrCut})
					return
				}
				done(reply)
			})
		})
	})
}

func (n *Net) pass(from, to netip.AddrPort, arrive func(ok bool)) {
	d := n.latency
	if n.Delay != nil {
		d += n.Delay(from, to)
	}
	cut := n.cuts[direction{from, to}]
	n.timer.After(d, func() { arrive(!cut) })
}

// List is a fake instance list.
type List struct {
	timer timer.Service
	lag   time.Duration
	rows  []ports.Instance
}

// NewList returns a list that shows changes after lag.
func NewList(t timer.Service, lag time.Duration) *List {
	return &List{timer: t, lag: lag}
}

// Set changes the rows; readers see them after the lag.
func (l *List) Set(rows []ports.Instance) {
	l.timer.After(l.lag, func() { l.rows = rows })
}

// Instances returns the rows as the lag shows them.
func (l *List) Instances(done func([]ports.Instance, error)) {
	done(append([]ports.Instance(nil), l.rows...), nil)
}
