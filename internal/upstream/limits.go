package upstream

import "errors"

const (
	// maxBody bounds the body of a response, in bytes.
	maxBody = 64 << 10
	// maxResponse bounds a response with its header and framing, interim responses
	// included, in bytes.
	maxResponse = maxBody + 64<<10
	// maxInterimResponses bounds the 1xx responses ahead of the final one.
	maxInterimResponses = 8
)

// The ways in which a response exceeds its limits or breaks the protocol.
var (
	errResponseTooLarge   = errors.New("response is too large")
	errBodyTooLarge       = errors.New("body of the response is too large")
	errInterimResponses   = errors.New("too many interim responses")
	errSwitchingProtocols = errors.New("server switches protocols without an upgrade request")
	errNotHTTP            = errors.New("response is not HTTP/1")
)
