// Package config defines the operators' configuration of "chivecroft entry": services,
// models, adapters, rules and tenants.
//
// A configuration has a version number and is changed by patches: the patch with base N
// leads from version N to N+1. ParsePatch and Apply check a patch and report all of its
// faults at once; Replay applies one that has been accepted. Index answers the lookups of
// the request path. Record, Snapshot and Head are the forms in which package cfglog stores
// patches and configurations in the KV service.
//
// The configuration that package edge reads from the users' platform is in package fleet.
package config
