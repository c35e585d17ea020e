package node

import (
	"log/slog"
	"net/http"
	"sync/atomic"
)

// requestStats counts the requests since the node's start by result.
type requestStats struct {
	served       atomic.Int64 // requests that got the response of a server
	rejected     atomic.Int64 // requests that got status 503
	failed       atomic.Int64 // requests that got status 502
	invalid      atomic.Int64 // invalid requests, which are not forwarded and get a 4xx status or 505
	disconnected atomic.Int64 // requests without a response, since the client had disconnected
}

// countFinal counts a request by the status of its final response.
func (s *requestStats) countFinal(status int) {
	switch status {
	case http.StatusOK:
		s.served.Add(1)
	case http.StatusServiceUnavailable:
		s.rejected.Add(1)
	default:
		s.failed.Add(1)
	}
}

// LogValue implements slog.LogValuer.
func (s *requestStats) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("served", s.served.Load()),
		slog.Int64("rejected", s.rejected.Load()),
		slog.Int64("failed", s.failed.Load()),
		slog.Int64("invalid", s.invalid.Load()),
		slog.Int64("disconnected", s.disconnected.Load()),
	)
}
