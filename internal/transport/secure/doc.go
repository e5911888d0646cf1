// Package secure makes TLS configurations whose certificates and authorities
// are read again from their files while the process runs.
package secure
