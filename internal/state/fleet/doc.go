// Package fleet defines the types that describe the users' deployment to package edge:
// the operators' configuration (routes, services, models), the targets, and the models
// that each target has.
//
// Package platform fills the values in from the metadata store and from responses of
// targets. Packages edge, proxy, picker and sched read them. The types make no decisions
// beyond matching a request to its route and a service; routing and planning are done by
// their users.
//
// The configuration of the daemon in package entry is in package config.
package fleet
