// Package hops drops the headers that concern only one connection.
package hops

import (
	"net/http"
	"strings"
)

// names belong to one connection and are not passed on.
var names = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Drop removes them, and those that the Connection header names.
func Drop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}
