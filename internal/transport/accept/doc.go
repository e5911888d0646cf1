// Package accept bounds what callers can make net/http hold, on the connections below it.
//
// A Listener limits the number of connections. Its connections look at the bytes of each
// head before the library builds objects from them: they limit its size, its lines and the
// time that it takes, and reserve in the account of package budget what the objects will
// cost. A head over a limit is answered 431 or 408, one that gets no bytes 503, and the
// connection is closed. Limits that change apply to open connections too.
//
//	Listener.Accept     a connection, or one is closed that has no request
//	Conn.Read           bytes of a head are checked, those of a body passed on
//	Listener.Handler    the head is complete; the body is what its header says
//	Listener.OnState    the response is complete and the next head may come
//
// A connection of a caller whose request has reached the handler is never closed here.
// WithControlRules sets other rules for the ports of the platform, instances and operators.
// A Pool limits the descriptors of several listeners together.
package accept
