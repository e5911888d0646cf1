package edge

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// Limits of readers: instances that follow the store for the others of their zone while
// there is no holder to send updates. If all instances did so at once, they would
// saturate the links between regions and those of weak machines.
const (
	// readersPerZone is the number of readers of a zone, so that one may be lost.
	readersPerZone = 2
	// smallZoneSize is the number of instances up to which every instance of a zone is a
	// reader. In such a zone the store calls saved are not worth the detour over another
	// instance.
	smallZoneSize = 4
	// readerSelectInterval is the interval at which the holder selects readers.
	readerSelectInterval = time.Second
	// readerTimeout limits a request to a reader.
	readerTimeout = 700 * time.Millisecond
	// readerRetryDelay is the delay between two requests to readers.
	readerRetryDelay = 250 * time.Millisecond
	// readerTotalTimeout is how long an instance asks readers without success before it
	// reads the store itself.
	readerTotalTimeout = 800 * time.Millisecond
	// directReadTime is how long it then reads the store itself.
	directReadTime = 3 * time.Second
	// readerUpdatesTimeout is how long an instance without updates asks readers that
	// still have fresh ones. If the holder is lost, theirs will soon be too old as well.
	readerUpdatesTimeout = maxUpdateAge + readerRetryDelay
	// maxFirstProbeDelay limits the random delay after which an instance first tries the
	// store itself when its readers have lost it. Only the readers may be cut off.
	maxFirstProbeDelay = time.Second
	// probeInterval is the interval of further tries.
	probeInterval = 2500 * time.Millisecond
	// maxProbeAge is how long a successful try counts for the other followers of the
	// instance.
	maxProbeAge = time.Second
	// maxReaderAge is the maximum age of a reader's state of the store.
	maxReaderAge = watchTimeout + maxUpdateAge
)

// member is an instance that exchanges messages with the holder.
type member struct {
	seenAt time.Time
	zone   string
	peer   netip.AddrPort
	cores  float64
	// sentAt is when it last sent its demand itself, zero if a relay has reported it since.
	sentAt time.Time
	// counter counts the arrivals that it reports.
	counter relay.Counter
	// knownReaders are the readers of its zone that were last sent to it.
	knownReaders []netip.AddrPort
}

// readerSelection is the holder's selection of readers for each zone.
type readerSelection struct {
	selectedAt time.Time
	// firstAt is when readers were first selected in this term.
	firstAt time.Time
	byZone  map[string][]netip.AddrPort
	// sizes holds the number of instances of each zone.
	sizes map[string]int
}

// forZone returns the readers of a zone. They are selected again at intervals.
func (l *readerSelection) forZone(zone string, now time.Time, members map[string]member, holder string) []netip.AddrPort {
	if l.byZone == nil || now.Sub(l.selectedAt) > readerSelectInterval {
		l.selectedAt = now
		if l.firstAt.IsZero() {
			l.firstAt = now
		}
		l.byZone, l.sizes = selectReaders(members, holder)
	}
	return l.byZone[zone]
}

// selectReaders selects the instances with the most processor time of each zone, or all
// of a small zone. A hash breaks ties, so that the same instances are selected each time.
// The holder itself is left out: its zone would lose two tasks at once with it. The second
// result is the number of instances of each zone.
func selectReaders(members map[string]member, holder string) (map[string][]netip.AddrPort, map[string]int) {
	names := make(map[string][]string)
	for name, m := range members {
		if m.peer.IsValid() {
			names[m.zone] = append(names[m.zone], name)
		}
	}
	out, sizes := make(map[string][]netip.AddrPort, len(names)), make(map[string]int, len(names))
	for zone, list := range names {
		sizes[zone] = len(list)
		slices.SortFunc(list, func(x, y string) int {
			return cmp.Or(
				cmp.Compare(members[y].cores, members[x].cores),
				cmp.Compare(rank.Hash(x), rank.Hash(y)),
			)
		})
		if len(list) > smallZoneSize {
			list = slices.DeleteFunc(list, func(name string) bool { return name == holder })
			list = list[:readersPerZone]
		}
		for _, name := range list {
			out[zone] = append(out[zone], members[name].peer)
		}
	}
	return out, sizes
}

// canAskReaders reports whether there are readers that this instance may ask. A reader
// asks none, nor does the holder, since what readers know comes from its updates.
func (e *Edge) canAskReaders() bool {
	list := e.readers.Load()
	return list != nil && len(*list) > 0 && !slices.Contains(*list, e.boot.Peer) && !e.isHolder()
}

// readersToAsk returns the readers that this instance may ask, rotated by a hash of its
// name to spread the load.
func (e *Edge) readersToAsk() []netip.AddrPort {
	if !e.canAskReaders() {
		return nil
	}
	list := *e.readers.Load()
	first := int(rank.Hash(e.boot.Instance) % uint64(len(list)))
	return slices.Concat(list[first:], list[:first])
}

// askInTurn asks the readers in order until one succeeds.
func askInTurn[T any](e *Edge, readers []netip.AddrPort, ask func(netip.AddrPort) (T, error)) (T, readerResult) {
	best := readerUnavailable
	for _, from := range readers {
		out, err := ask(from)
		switch {
		case err == nil:
			return out, readerAnswered
		case errors.Is(err, errStoreDown):
			best = max(best, readerStoreDown)
		case errors.Is(err, errHasUpdates):
			best = max(best, readerHasUpdates)
		default:
			e.log.Info().Str("reader", from.String()).Err(err).Msg("request to a reader failed")
		}
	}
	var none T
	return none, best
}

// fetchConfigFromReaders gets the newest configuration from a reader.
func (e *Edge) fetchConfigFromReaders(ctx context.Context) (itemList, readerResult) {
	readers := e.readersToAsk()
	until := e.timer.Now().Add(readerTotalTimeout)
	for ctx.Err() == nil && e.timer.Now().Before(until) {
		items, result := askInTurn(e, readers, func(from netip.AddrPort) ([]storeItem, error) {
			return e.fetchConfigFrom(ctx, from)
		})
		if result != readerUnavailable || e.hasFreshUpdates() {
			return itemList{items: items, from: originReader}, result
		}
		sleep(ctx, readerRetryDelay)
	}
	return itemList{}, readerUnavailable
}

// fetchConfigFrom returns the reader's configuration, or no item if this instance has the
// newest one.
func (e *Edge) fetchConfigFrom(ctx context.Context, from netip.AddrPort) ([]storeItem, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	s, err := e.peerClient.config(ctx, from, e.knownConfig(), 0)
	if errors.Is(err, errNoNewer) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	item, ok := e.acceptSnapshot(s)
	if !ok {
		return nil, errNotCurrent
	}
	return []storeItem{item}, nil
}
