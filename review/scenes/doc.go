// Command scenes plays the scripts of the second review: it starts the project's own
// program as separate processes on loopback addresses, with small stand-ins for the
// platform's store, replicas and clients, and judges what these have seen.
//
//	scenes CASE
//
// It writes record.txt into the current folder and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 in the environment it plays the
// same without the disruption.
package main
