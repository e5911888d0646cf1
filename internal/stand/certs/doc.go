// Package certs makes authorities and certificates for the local address, for
// tests and trials of TLS.
package certs
