// Package hangup keeps a SIGHUP that comes while the process starts.
//
// The signal ends a process that has not asked for it. Sent to have the settings read
// again, it may come while the program's packages are still being set up, which takes
// milliseconds and on a busy machine much longer. This package depends on the standard
// library alone, so it is set up before most of them.
package hangup
