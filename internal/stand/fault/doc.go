// Package fault serves the stand-ins over HTTP and makes them fail on demand:
// late answers, answers dropped after the effect, outages, and connections that
// fall silent while new ones work.
package fault
