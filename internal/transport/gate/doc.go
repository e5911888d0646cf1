// Package gate provides an HTTP transport that reports whether any byte of a request was
// written, and that can forbid a write at the last moment.
//
// An http.Client alone reports only that a call failed. For orders and writes, whether
// the call may be repeated depends on the difference between "nothing was sent" and "the
// response was lost". So each connection records the first byte written for the call that
// uses it:
//
//	ctx, call := gate.Track(ctx, nil)
//	resp, err := client.Do(req.WithContext(ctx))
//	if err != nil && !call.Seal() {
//		// nothing was written, and nothing will be
//	}
//
// A Transport takes nothing broken for a whole response, which net/http would do in some
// cases: RoundTrip refuses heads that are none of a final response (checkHead, foldScan), and
// connections report their end only once the request has arrived (endConn). Replies reads
// bodies in bounded memory.
//
// The HTTP clients of both daemons use it, those of packages engine, kvhttp, peer, proxy,
// platform and probe among them. It also counts the bytes of connections and closes those
// whose other side has gone silent.
package gate
