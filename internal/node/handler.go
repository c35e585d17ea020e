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
	lastRequest  atomic.Int64 // when a request was last accepted, a time.Duration on the node's clock
	activeIDs    requestIDs   // of the requests that have no final response yet
	stats        requestStats
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
	h.respond(w, r)
	if conn := clientConnection(r); conn != nil && w.Header().Get("Connection") != "" {
		if err := http.NewResponseController(w).Flush(); err == nil {
			conn.LingeringClose(r.Context())
		}
	}
}

// clientConnection returns the connection of a request; nil if it is none of downstream.
func clientConnection(r *http.Request) *downstream.Conn {
	conn, _ := r.Context().Value(connKey{}).(*downstream.Conn)
	return conn
}

// respond writes the response to whatever a client asks for.
func (h *handler) respond(w http.ResponseWriter, r *http.Request) {
	if err := checkFraming(r); err != nil {
		h.reject(w, r, err)
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
	if !h.loop.endpoints.synced.Load() || h.shuttingDown.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// serveRequest validates a request, forwards it and writes its final response.
func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	parsed, err := h.parse(r)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	parsed.client = contextConn{r.Context()}
	if conn := clientConnection(r); conn != nil {
		parsed.client = conn
		conn.RequestComplete()
		if conn.OverLimit() {
			w.Header().Set("Connection", "close")
			h.finish(w, response{
				status: http.StatusServiceUnavailable, retryAfter: h.cfg.Policy.Limits.MaxRetryAfter,
			})
			return
		}
	}
	final, err := h.submit(w, r, parsed)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	h.finish(w, final)
}

// reject answers a request that breaks a rule, and counts it.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	h.stats.invalid.Add(1)
	writeRejection(w, r, err)
}

// finish writes a final response and counts it.
func (h *handler) finish(w http.ResponseWriter, final response) {
	h.stats.countFinal(final.status)
	writeResponse(w, final)
}

// submit waits for a request's final response, and prepares the connection for writing it. The
// error is a rejection. It panics with http.ErrAbortHandler if there is nobody to respond to.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, parsed *request) (response, error) {
	id := parsed.Header.Get("X-Request-Id")
	if !h.activeIDs.reserve(id) {
		return response{}, &rejectionError{status: http.StatusConflict, reason: "a request with this X-Request-ID is open"}
	}
	h.lastRequest.Store(int64(h.loop.clock.now()))
	control := http.NewResponseController(w)
	// net/http goes on reading, to see the client disconnect. The deadline of the
	// request's own bytes would look like that. A broken connection shows elsewhere.
	_ = control.SetReadDeadline(time.Time{})
	final, err := h.loop.submit(r.Context(), parsed)
	h.activeIDs.release(id)
	if err != nil {
		h.stats.disconnected.Add(1)
		panic(http.ErrAbortHandler)
	}
	// If the connection is broken, so is the write.
	_ = control.SetWriteDeadline(time.Now().Add(parsed.deadline - h.loop.clock.now() + writeTimeout))
	return final, nil
}

// activeSince reports whether the given time on the node's clock or the last request is
// less than the quiet period ago.
func (h *handler) activeSince(at time.Duration) bool {
	last := time.Duration(h.lastRequest.Load())
	return h.loop.clock.now()-max(at, last) < quietPeriod
}

// contextConn is the client connection of a request that came over none of downstream.
type contextConn struct{ ctx context.Context }

// ClientDisconnected implements clientConn.
func (c contextConn) ClientDisconnected() bool { return c.ctx.Err() != nil }
