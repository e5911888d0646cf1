// Package local starts the deployments of the load tool in one process: real
// entries and stand-ins on loopback.
package local
