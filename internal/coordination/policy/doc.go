// Package policy implements the decisions that may differ between deployments: how long an
// idle replica stays loaded, where a model is loaded and what is evicted for it, how many
// replicas it has, which waiting load goes first, and which models are preloaded.
//
// A Set contains one Policy for each decision. Package owner and the simulation in package
// vday pass it views of models and targets and carry out the result; they do not depend on
// which implementation decides. New returns the cost-based policies, Plain a simple
// baseline. A policy does no I/O and reads no clock.
package policy
