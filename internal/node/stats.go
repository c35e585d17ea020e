package node

import (
	"log/slog"
	"net/http"
	"sync/atomic"
)

// requestStats counts the requests since the node's start by result. It is safe for concurrent use.
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

// counts returns the present counts.
func (s *requestStats) counts() requestCounts {
	return requestCounts{
		served:       s.served.Load(),
		rejected:     s.rejected.Load(),
		failed:       s.failed.Load(),
		invalid:      s.invalid.Load(),
		disconnected: s.disconnected.Load(),
	}
}

// LogValue implements slog.LogValuer.
func (s *requestStats) LogValue() slog.Value { return s.counts().LogValue() }

// requestCounts are numbers of requests by result, as in requestStats.
type requestCounts struct{ served, rejected, failed, invalid, disconnected int64 }

// minus returns the difference between two readings.
func (c requestCounts) minus(earlier requestCounts) requestCounts {
	return requestCounts{
		served:       c.served - earlier.served,
		rejected:     c.rejected - earlier.rejected,
		failed:       c.failed - earlier.failed,
		invalid:      c.invalid - earlier.invalid,
		disconnected: c.disconnected - earlier.disconnected,
	}
}

// LogValue implements slog.LogValuer.
func (c requestCounts) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("served", c.served),
		slog.Int64("rejected", c.rejected),
		slog.Int64("failed", c.failed),
		slog.Int64("invalid", c.invalid),
		slog.Int64("disconnected", c.disconnected),
	)
}
