package node

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// response is the final response to a request.
type response struct {
	status     int
	header     http.Header   // end-to-end header fields
	body       []byte        // complete: responses are not streamed
	retryAfter time.Duration // value of Retry-After; 0 omits the header field
	writeUntil time.Time     // deadline of the request; zero if the response does not depend on it
	forwarded  bool          // whether a server may have received the request
}

// setWriteDeadline sets the time after which a response is not written any more. It is never past: a response that is known
// only after the deadline of its request is owed to the client too. It also replaces the deadline of the connection's
// previous response, which may be past.
func setWriteDeadline(w http.ResponseWriter, final response) {
	latest := time.Now()
	if final.writeUntil.After(latest) {
		latest = final.writeUntil
	}
	// The error is ignored: if the connection is broken, the write fails as well.
	_ = http.NewResponseController(w).SetWriteDeadline(latest.Add(writeTimeout))
}

// writeResponse writes a final response to w.
func writeResponse(w http.ResponseWriter, final response) {
	setWriteDeadline(w, final)
	header := w.Header()
	maps.Copy(header, final.header)
	if final.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(final.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(final.body)))
	w.WriteHeader(final.status)
	_, _ = w.Write(final.body) // the client may have disconnected
}

// writeText writes a response of one line of plain text. Like every response, it has a Content-Length. Otherwise, the
// response would not be complete before the handler returns.
func writeText(w http.ResponseWriter, status int, text string) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}
	writeResponse(w, response{status: status, header: header, body: []byte(text + "\n")})
}
