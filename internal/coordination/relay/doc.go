// Package relay decides what the relays of a zone do, which stand between the lease
// holder and the other instances of the zone.
//
// An instance sends its demand to a relay of its zone. The relay sums the demand of these
// instances, its children, and reports it to the holder in one message. It answers its
// children from its own copy of the holder's updates and says how old that copy is.
//
//	Route.Next       the destination of the next message: a relay, or the holder
//	Outbox.Pack      numbers the arrivals in a message, and adds those without a reply
//	Table.Put        the relay records a child's message
//	Table.Take       the relay sums up what it reports to the holder
//	NameChildren     the relay names its children, if the holder does not know them
//	Tree.Put         the holder records the children of a relay
//	Copy.Adopt       an instance records the updates of a reply
//	Copy.After       the relay finds the updates that a child lacks
//
// Counts of arrivals are added up, so each must be counted once although messages and
// replies are lost: a message has a number, and the receiver ignores the numbers that it
// has counted (Counter). All other figures replace their predecessors.
//
// Package edge sends the messages; nothing here does I/O or reads a clock.
package relay
