// Package edge implements the daemon behind "chivecroft serve": one instance of the
// system on the users' platform, which package platform describes (boot file, metadata
// store, request headers, target API).
//
// It accepts the platform's HTTP requests on the boot file's listen.front address,
// matches them to a configured route and forwards them unchanged to a target (packages
// proxy and picker). It answers the platform's readiness checks on listen.ready, and
// messages of other instances on the first internal port. Configuration and the list of
// targets come from the metadata store; instances send their demand to the lease holder
// and get target updates back. The holder alone, elected through a lease in the store
// (package elect), runs the planners (package sched) and orders targets to load and unload
// models.
//
// Package shell creates an Edge and runs it. The other daemon of this module, "chivecroft
// entry" in package entry, serves an API of its own (/v1/chat/completions, /v1/models,
// /services/) and the operators' API. It reads an INI file, uses another key-value
// service (package kvhttp) and another target protocol (package engine), and divides
// control of the targets among several owners. It imports neither package platform nor
// this one.
package edge
