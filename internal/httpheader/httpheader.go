// Package httpheader separates the header fields that are forwarded with a message
// from those that concern a single connection (RFC 9110, section 7.6.1). It keeps no
// state. Package node calls it for requests and package upstream for responses.
package httpheader

import (
	"net/http"
	"strings"
)

// EndToEnd returns a copy of header without the hop-by-hop fields and the fields that
// Connection lists. It also leaves out Expect, which the receiver has already met, and
// Content-Length, which the sender sets itself.
func EndToEnd(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	} {
		forwarded.Del(name)
	}
	return forwarded
}
