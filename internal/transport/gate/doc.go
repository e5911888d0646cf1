// Package gate makes HTTP clients that know whether a request may have reached
// the other side, and that can forbid its write at the last moment.
//
// An http.Client alone tells only that a call failed. For orders and writes the
// difference between "nothing was sent" and "the answer was lost" decides
// whether the call may be repeated, so each connection notes the first byte
// written for the call that holds it:
//
//	ctx, call := gate.Track(ctx, nil)
//	resp, err := client.Do(req.WithContext(ctx))
//	if err != nil && !call.Seal() {
//		// nothing was written, and nothing will be
//	}
package gate
