// Package edge is the daemon of an instance on the users' platform.
//
// Every instance runs the same parts: it takes callers' requests, follows the
// configuration and the list of targets in the platform's store, and tells the
// holder of the placement what it waits for. One instance at a time is that holder
// and orders targets to load and unload models.
package edge
