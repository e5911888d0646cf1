// Package hist provides histograms of durations that can be merged and stored as JSON, and
// sets of histograms by key with a bounded number of keys.
//
// Package daily records the waiting times of a day in them. The metrics that a scraper
// reads are in package meter.
package hist
