// Package target is the model engine stand-in over HTTP: it takes orders, loads
// checkpoints through the weight store, batches requests and streams answers
// that anyone can compute with Answer.
//
// Besides the paths of package wire it serves GET /executions, GET /record,
// GET /state, POST /leave and /faults.
package target
