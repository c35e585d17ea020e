package upstream

import (
	"errors"
	"fmt"

	"calicohinge/internal/httphead"
)

const (
	// maxBodyBytes is the maximum size of a response body, in bytes.
	maxBodyBytes = 64 << 10
	// maxResponseBytes is the maximum size of a response, in bytes. Besides a body of maximum size, it
	// leaves 64 KiB for the head, the framing of the body and all interim responses.
	maxResponseBytes = maxBodyBytes + 64<<10
	// responseAllowance is the memory for the head and body of a response that each attempt may use without a
	// reservation, in bytes.
	responseAllowance = 8 << 10
	// maxInterimResponses is the maximum number of 1xx responses before the final response.
	maxInterimResponses = 8
)

// Errors for responses that exceed a limit or violate the protocol.
var (
	errResponseTooLarge        = fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	errBodyTooLarge            = fmt.Errorf("response body is larger than %d bytes", maxBodyBytes)
	errTooManyInterimResponses = fmt.Errorf("more than %d interim responses", maxInterimResponses)
	errTooManyHeadLines        = fmt.Errorf("response head has more than %d lines", httphead.MaxLines)
	errSwitchingProtocols      = errors.New("server switched protocols without an upgrade request")
	errNotHTTP                 = fmt.Errorf("response does not start with %q", responsePrefix)
)
