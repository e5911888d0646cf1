// Package main holds the stand-ins of the review's scripts: the platform with its metadata
// store, targets as separate processes, and callers. The scripts of the cases run it as
// "stand case NAME".
package main
