// Package httpheader selects the header fields that a proxy forwards, as opposed to those that apply to a single
// connection (RFC 9110, section 7.6.1). Package node uses it for requests and package upstream for responses. It
// keeps no state.
package httpheader

import (
	"net/http"
	"strings"
)

// EndToEnd returns a copy of header without the hop-by-hop fields and the fields listed in Connection. It also
// omits Expect, which the receiver has already handled, and Content-Length, which the sender sets itself.
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
