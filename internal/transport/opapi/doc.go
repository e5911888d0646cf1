// Package opapi serves the operators' API that package design describes and is
// its client for the command line.
package opapi
