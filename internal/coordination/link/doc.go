// Package link controls the use of the slow link between regions.
//
// Link limits the bytes per second of an entry with a token bucket per direction, by priority
// and in turn among tenants. The HTTP front end charges bodies to it, and package route asks
// it whether new work may cross. DemandOrder and the functions on demand replies decide which
// zones are asked to load a cold model; entries use them to send demands. Reachability detects
// that the region of the weight store is unreachable.
package link
