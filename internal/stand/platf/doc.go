// Package platf is the platform stand-in: the key-value service, the lagging
// list of instances and the rate-limited weight store, over HTTP.
//
// Besides the paths of package wire it serves PUT and DELETE /instances/{id},
// GET and DELETE /counts, and /faults.
package platf
