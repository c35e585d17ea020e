package testkit

import (
	"io"
	"net"
	"net/http"
	"time"
)

// OK responds with status 200.
func OK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done") // the client may have disconnected
}

// ServerError responds with status 500.
func ServerError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "oops", http.StatusInternalServerError)
}

// NotProcessed responds with status 503 and promises that the request was not processed.
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

// Unresponsive returns a handler that never responds. When the client disconnects, the handler sends to the
// channel, unless that is full.
func Unresponsive(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case disconnected <- struct{}{}:
		default:
		}
	}
}

// resetConnection ends the connection of a request with a reset, even if something was written to it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed in either case
	}
	_ = conn.Close() // the peer sees the reset
}

// LongPoll blocks a call of the endpoint list for the time that it requests. It returns earlier if changed is
// closed or the caller disconnects.
func LongPoll(r *http.Request, changed <-chan struct{}) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		return // no wait is requested
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(wait):
	}
}
