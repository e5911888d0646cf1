// Package admit implements admission control for an entry. TenantLimits enforces the rates and
// concurrency of tenants, divided among the entries of a zone without a call per request.
// Shedder refuses requests under overload, deferrable ones first. AdaptiveLimit estimates the
// concurrency limit of back ends that do not report their capacity. Refusal is the error for
// every request that is refused.
//
// The HTTP front end uses TenantLimits, package queue uses Shedder, and package route uses
// AdaptiveLimit.
//
// All functions that need the time take it as an argument. A type is safe for concurrent use
// only where its comment says so.
package admit
