// Package stand holds the stand-ins of the review's scripts: the platform with its metadata
// store, targets as separate processes, and callers. They speak the platform's protocol, so they
// are in test files, and review/build.sh builds them as a test binary. The scripts of the cases
// run it as "stand case NAME FOLDER".
package stand
