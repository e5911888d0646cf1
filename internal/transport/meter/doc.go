// Package meter keeps the metrics of an entry by OpenTelemetry and hands them
// to Prometheus.
//
// Names follow the semantic conventions where they exist. The number of series
// is bounded: adapters are never a label, and services and tenants beyond a
// bound share the label "other".
package meter
