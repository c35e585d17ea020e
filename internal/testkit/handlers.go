package testkit

import (
	"io"
	"net"
	"net/http"
	"time"
)

// OK is a handler that responds with status 200 and the body "done".
func OK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done") // the client may have disconnected
}

// ServerError is a handler that responds with status 500.
func ServerError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "oops", http.StatusInternalServerError)
}

// NotProcessed is a handler that responds with status 503 and guarantees, by the header field
// X-Not-Processed, that the request was not executed.
func NotProcessed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// CloseWithoutResponse is a handler that closes the connection without a response.
func CloseWithoutResponse(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close() // the connection is closed even if Close fails
	}
}

// Unresponsive returns a handler that never responds. When the client disconnects, the handler sends a value to
// the channel unless the channel is full.
func Unresponsive(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case disconnected <- struct{}{}:
		default:
		}
	}
}

// resetConnection resets the connection of a request, even if data was written to it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset; if it fails, Close still closes the connection
	}
	_ = conn.Close() // the connection is closed even if Close fails
}

// LongPoll blocks a call to discovery for the time that the query requests with wait_ms. It returns earlier if
// changed is closed or the client disconnects. A call without wait_ms is not blocked.
func LongPoll(r *http.Request, changed <-chan struct{}) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		return // the query has no valid wait_ms
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(wait):
	}
}
