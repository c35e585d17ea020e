package node

import (
	"net/http"
	"net/url"
	"time"

	"calicohinge/internal/httpheader"
	"calicohinge/internal/memorybudget"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

const (
	// maxResponseReadTimeout is the upper bound of the response read timeout, which covers the time from the first
	// byte of a server's response to the last.
	maxResponseReadTimeout = 150 * time.Millisecond
	// responseReadDivisor limits the response read timeout to half of the latency objective, so that a retry after an
	// incomplete response can still meet the objective.
	responseReadDivisor = 2
)

// newUpstreamRequest returns the request to send to servers, without hop-by-hop header fields.
func newUpstreamRequest(
	r *http.Request, body []byte, class *policy.Class, memory *memorybudget.Lease,
) upstream.Request {
	return upstream.Request{
		Method: r.Method,
		URL: &url.URL{
			Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Host:                r.Host,
		Header:              httpheader.EndToEnd(r.Header),
		Body:                body,
		ResponseReadTimeout: responseReadTimeout(class),
		Memory:              memory,
	}
}

// responseReadTimeout returns the response read timeout of a class. A class without a latency objective uses its
// deadline instead.
func responseReadTimeout(class *policy.Class) time.Duration {
	objective := class.Objective
	if objective == 0 {
		objective = class.Deadline
	}
	return min(maxResponseReadTimeout, objective/responseReadDivisor)
}
