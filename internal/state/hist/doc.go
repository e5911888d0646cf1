// Package hist holds histograms of durations that can be merged and stored, and
// sharded sets of them with a bounded number of keys.
package hist
