// Package policy holds the choices that may differ between deployments: how
// long an idle replica stays, what is evicted, where a load goes and which load
// goes first.
//
// Each is a Policy from what is known to a decision, so that the parts that
// ask do not know which one answers.
package policy
