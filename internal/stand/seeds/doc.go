// Package seeds fixes the seeds of random tests.
package seeds
