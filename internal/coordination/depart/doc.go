// Package depart remembers which targets have left the metadata store, and until when those
// may be used whose leases may have expired although they are alive. That time begins once,
// with the first news of the departure, whoever is the lease holder.
//
// Package edge keeps one Log for each instance. It does no I/O and is safe for concurrent
// use.
package depart
