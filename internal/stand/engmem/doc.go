// Package engmem is the logic of the model engine stand-in: it takes orders,
// holds replicas in accelerator memory and keeps the true record of both.
package engmem
