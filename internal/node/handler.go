package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/downstream"
)

const (
	maxHeader = 16 << 10 // bytes of a request's head
	// readTimeout is how long a client may take from its connection, or a request's
	// first byte, to the request's last byte, whatever its deadline: one that sends
	// half a request has to be disconnected within 3 s of connecting.
	readTimeout = 2 * time.Second
	// idleTimeout is how long a client's connection may wait for its next request.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long after its deadline a client may still take its response.
	// One that reads nothing would otherwise keep its connection for good.
	writeTimeout = 500 * time.Millisecond
)

// handler serves the clients' HTTP requests: it validates them, submits them to the loop
// and writes the final responses.
type handler struct {
	cfg          *config.Config
	loop         *loop
	conns        *downstream.Conns
	shuttingDown atomic.Bool  // the node is not ready any more
	draining     atomic.Bool  // responses close their connections
	lastRequest  atomic.Int64 // when a request was last accepted, Unix nanoseconds
	activeIDs    requestIDs   // of the requests that have no final response yet
}

func newHandler(cfg *config.Config, loop *loop, conns *downstream.Conns) *handler {
	return &handler{cfg: cfg, loop: loop, conns: conns}
}

// server returns an HTTP server for the connections of h.conns.
func (h *handler) server() *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeader, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnState: h.conns.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// connKey is the key of a request's net.Conn in its context.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close") // clients move to other nodes
	}
	if err := checkFraming(r); err != nil {
		writeRejection(w, r, err)
		return
	}
	if r.URL.Path == "/health/ready" {
		h.serveReadiness(w)
		return
	}
	h.serveRequest(w, r)
}

// serveReadiness answers the health check of whoever assigns clients to nodes.
func (h *handler) serveReadiness(w http.ResponseWriter) {
	if !h.loop.ready.Load() || h.shuttingDown.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ready\n")
}

// serveRequest validates a request, forwards it and writes its final response.
func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	parsed, err := h.parse(r)
	if err != nil {
		writeRejection(w, r, err)
		return
	}
	parsed.client = contextConn{r.Context()}
	conn, counted := r.Context().Value(connKey{}).(*downstream.Conn)
	if counted {
		parsed.client = conn
		conn.RequestComplete()
		if conn.OverLimit() {
			w.Header().Set("Connection", "close")
			writeResponse(w, response{
				status: http.StatusServiceUnavailable, retryAfter: h.cfg.Policy.Limits.MaxRetryAfter,
			})
			return
		}
	}
	final, err := h.submit(w, r, parsed)
	if err != nil {
		writeRejection(w, r, err)
		return
	}
	writeResponse(w, final)
	if counted && w.Header().Get("Connection") != "" && http.NewResponseController(w).Flush() == nil {
		conn.LingeringClose(r.Context())
	}
}

// submit waits for a request's final response, and prepares the connection for writing it. The
// error is a rejection. It panics with http.ErrAbortHandler if there is nobody to respond to.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, parsed *request) (response, error) {
	id := parsed.Header.Get("X-Request-Id")
	if !h.activeIDs.reserve(id) {
		return response{}, &rejectionError{status: http.StatusConflict, reason: "a request with this X-Request-ID is open"}
	}
	h.lastRequest.Store(time.Now().UnixNano())
	control := http.NewResponseController(w)
	// net/http goes on reading, to see the client disconnect. The deadline of the
	// request's own bytes would look like that. A broken connection shows elsewhere.
	_ = control.SetReadDeadline(time.Time{})
	final, err := h.loop.submit(r.Context(), parsed)
	h.activeIDs.release(id)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// If the connection is broken, so is the write.
	_ = control.SetWriteDeadline(time.Now().Add(parsed.deadline - h.loop.clock() + writeTimeout))
	return final, nil
}

// activeSince reports whether the given time or the last request is less than the
// quiet period ago.
func (h *handler) activeSince(at time.Time) bool {
	if last := time.Unix(0, h.lastRequest.Load()); last.After(at) {
		at = last
	}
	return time.Since(at) < quietPeriod
}

// contextConn is the client connection of a request that came over none of downstream.
type contextConn struct{ ctx context.Context }

// ClientDisconnected implements clientConn.
func (c contextConn) ClientDisconnected() bool { return c.ctx.Err() != nil }
