// Package plain is the stand-in of a plain service over HTTP: it echoes what it
// is sent and counts how often it ran each request key.
//
// It takes any method, path and body. GET /executions and /faults and POST
// /leave control it.
package plain
