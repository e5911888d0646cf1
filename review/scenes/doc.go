// Package scenes holds the stand-ins and scenes of the second review's scripts: the platform
// with its metadata store, targets and callers, and the start of the project's own program as
// separate processes on loopback addresses. They speak the platform's protocol, so they are in
// test files, and review/build-2.sh builds them as a test binary without tests. The scripts of
// the cases run it as "scenes CASE".
//
// It writes record.txt into the current folder and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 in the environment it plays the
// same without the disruption.
package scenes
