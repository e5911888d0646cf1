package fault

import (
	"context"
	"net/http"
	"net/netip"
)

// Host is what every stand-in consists of beside its own work: a server and the
// panel of its faults. A stand-in embeds it.
type Host[F Set] struct {
	// Panel holds the faults in force.
	Panel *Panel[F]

	server  *Server
	handler http.Handler
}

// NewHost returns a host that serves handler and does not listen yet; common
// and notify are those of NewPanel.
func NewHost[F Set](handler http.Handler, first F, seed uint64, common func(*F) *Common, notify func(F)) *Host[F] {
	server := NewServer(handler)
	return &Host[F]{
		Panel:   NewPanel(first, seed, common, server.Freeze, notify),
		server:  server,
		handler: handler,
	}
}

// Handler returns the stand-in as an HTTP handler.
func (h *Host[F]) Handler() http.Handler {
	return h.handler
}

// Listen begins to serve on addr, whose port may be 0, and returns the address
// it got.
func (h *Host[F]) Listen(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	return h.server.Start(ctx, addr)
}

// URL returns where the stand-in listens, empty before Listen.
func (h *Host[F]) URL() string {
	return h.server.URL()
}

// Faults returns the faults in force.
func (h *Host[F]) Faults() F {
	return h.Panel.Get()
}

// SetFaults changes the faults in force.
func (h *Host[F]) SetFaults(change func(*F)) error {
	return h.Panel.Update(change)
}

// Freeze silences the open connections and returns their number.
func (h *Host[F]) Freeze() int {
	return h.server.Freeze(nil)
}

// Shut stops serving at once, as if the process had died.
func (h *Host[F]) Shut() {
	h.server.Close()
}
