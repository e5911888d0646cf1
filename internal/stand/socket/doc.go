// Package socket is a stand-in for servers whose answers are broken: it writes whatever bytes
// a test wants to a connection and ends it as the test wants.
package socket
