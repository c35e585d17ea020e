package upstream

import "errors"

const (
	// maxBodyBytes is the maximum size of a response body, in bytes.
	maxBodyBytes = 64 << 10
	// maxResponseBytes is the maximum size of a response, in bytes. It includes the header, the
	// framing of the body and all interim responses.
	maxResponseBytes = maxBodyBytes + 64<<10
	// maxInterimResponses is the maximum number of 1xx responses before the final response.
	maxInterimResponses = 8
)

// Errors for responses that exceed a limit or violate the protocol.
var (
	errResponseTooLarge        = errors.New("response is too large")
	errBodyTooLarge            = errors.New("response body is too large")
	errTooManyInterimResponses = errors.New("too many interim responses")
	errSwitchingProtocols      = errors.New("server switched protocols without an upgrade request")
	errNotHTTP                 = errors.New("response is not HTTP/1.x")
)
