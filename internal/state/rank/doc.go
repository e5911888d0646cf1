// Package rank orders candidates for a duty by rendezvous hashing, so that
// instances with the same view choose the same ones without any agreement.
package rank
