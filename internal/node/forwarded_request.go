package node

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"calicohinge/internal/httpheader"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

const (
	// maxResponseReadTimeout is how long a server may take at most from the first byte of its response to the
	// last.
	maxResponseReadTimeout = 150 * time.Millisecond
	// responseReadDivisor divides the latency objective: a response may be read for one part of it, so that an
	// incomplete response leaves time for a retry.
	responseReadDivisor = 2
)

// newUpstreamRequest returns the request that is sent to servers.
func newUpstreamRequest(r *http.Request, body []byte, class *policy.Class) upstream.Request {
	return upstream.Request{
		Method: r.Method,
		URL: &url.URL{
			Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Host:                r.Host,
		Header:              httpheader.EndToEnd(r.Header),
		Body:                body,
		ResponseReadTimeout: responseReadTimeout(class),
	}
}

// responseReadTimeout returns how long a server may take for its response from the first byte on.
func responseReadTimeout(class *policy.Class) time.Duration {
	objective := class.Objective
	if objective == 0 {
		objective = class.Deadline
	}
	return min(maxResponseReadTimeout, objective/responseReadDivisor)
}

// readBody reads a body of a known, bounded length within the read timeout.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
