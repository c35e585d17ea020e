package testkit

import (
	"io"
	"net/http"
)

// OK answers 200.
func OK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done") // the client may have disconnected
}

// ServerError answers 500.
func ServerError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "oops", http.StatusInternalServerError)
}

// NotProcessed answers 503 and promises that the request was not processed.
func NotProcessed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reset closes the connection without a response.
func Reset(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close() // the peer sees the close, whatever it returns
	}
}

// Unresponsive returns a handler that never responds. It sends to the channel, unless that is full, once
// the client has disconnected.
func Unresponsive(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case disconnected <- struct{}{}:
		default:
		}
	}
}
