package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/downstream"
)

const (
	maxHeaderBytes = 16 << 10 // bytes of a request's head
	// readTimeout is how long a client may take to send a request, from its connection or the request's first
	// byte on, whatever the request's deadline. A client that sends half a request has to be disconnected
	// within 3 s of connecting.
	readTimeout = 2 * time.Second
	// idleTimeout is how long a client's connection may wait for its next request.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long after a request's deadline its client may still read the response. Without it, a
	// client that reads nothing would keep its connection open.
	writeTimeout = 500 * time.Millisecond
	// readinessPath is the path of the health check.
	readinessPath = "/health/ready"
)

// handler serves the clients' HTTP requests: it validates them, submits them to the loop
// and writes the final responses.
type handler struct {
	cfg           *config.Config
	parser        requestParser
	loop          *loop
	conns         *downstream.Conns
	shuttingDown  atomic.Bool  // the node is not ready any more
	draining      atomic.Bool  // responses close their connections
	lastRequestAt atomic.Int64 // when a request was last accepted, a time.Duration on the node's clock
	activeIDs     requestIDs   // of the requests that have no final response yet
	stats         requestStats
}

func newHandler(cfg *config.Config, loop *loop, conns *downstream.Conns) *handler {
	return &handler{cfg: cfg, parser: requestParser{cfg, loop.clock}, loop: loop, conns: conns}
}

// server returns an HTTP server for the connections of h.conns.
func (h *handler) server() *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
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
	if err := h.serve(w, r); err != nil {
		panic(http.ErrAbortHandler) // nobody waits for a response: net/http closes the connection
	}
	if conn := clientConnection(r); conn != nil && w.Header().Get("Connection") != "" {
		if err := http.NewResponseController(w).Flush(); err == nil {
			conn.LingeringClose(r.Context())
		}
	}
}

// clientConnection returns the connection of a request, nil if package downstream did not accept it.
func clientConnection(r *http.Request) *downstream.Conn {
	conn, _ := r.Context().Value(connKey{}).(*downstream.Conn)
	return conn
}

// serve writes the response to a request, and counts invalid requests and disconnected clients. The only error is
// errClientDisconnected: then there is no response to write.
func (h *handler) serve(w http.ResponseWriter, r *http.Request) error {
	err := h.route(w, r)
	if errors.Is(err, errClientDisconnected) {
		h.stats.disconnected.Add(1)
		return errClientDisconnected
	}
	if err != nil {
		h.stats.invalid.Add(1)
		writeRejection(w, r, err)
	}
	return nil
}

// route serves a health check or a request to be forwarded. The error is that of checkFraming or
// forward.
func (h *handler) route(w http.ResponseWriter, r *http.Request) error {
	if err := checkFraming(r); err != nil {
		return err
	}
	if r.URL.Path == readinessPath {
		h.serveReadiness(w)
		return nil
	}
	return h.forward(w, r)
}

// serveReadiness responds to the health check of whoever assigns clients to nodes.
func (h *handler) serveReadiness(w http.ResponseWriter) {
	if !h.loop.endpoints.synced.Load() || h.shuttingDown.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// forward validates a request, forwards it and writes its final response. The error is that of
// requestParser.parse or submit.
func (h *handler) forward(w http.ResponseWriter, r *http.Request) error {
	parsed, err := h.parser.parse(r)
	if err != nil {
		return err
	}
	conn := clientConnection(r)
	if conn == nil {
		parsed.client = contextConn{r.Context().Done()}
		return h.submit(w, r, parsed)
	}
	parsed.client = conn
	conn.RequestComplete()
	if conn.OverLimit() {
		h.rejectOverLimit(w)
		return nil
	}
	return h.submit(w, r, parsed)
}

// rejectOverLimit rejects a request on a connection beyond the limit of clients.
func (h *handler) rejectOverLimit(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	h.writeFinal(w, response{
		status: http.StatusServiceUnavailable, retryAfter: h.cfg.Policy.Limits.MaxRetryAfter,
	})
}

// submit passes a request to the loop, waits for its final response and writes it. The error is a
// *rejectionError, or errClientDisconnected if nobody waits for the response.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, parsed *request) error {
	id := parsed.Header.Get("X-Request-Id")
	if !h.activeIDs.reserve(id) {
		return &rejectionError{status: http.StatusConflict, reason: "a request with this X-Request-ID is open"}
	}
	h.lastRequestAt.Store(int64(h.loop.clock.now()))
	controller := http.NewResponseController(w)
	// net/http goes on reading to notice that the client disconnects. The read deadline of the request would
	// look like a disconnect. An error is ignored: a broken connection shows elsewhere.
	_ = controller.SetReadDeadline(time.Time{})
	final, err := h.loop.submit(r.Context(), parsed)
	h.activeIDs.release(id)
	if err != nil {
		return err
	}
	// An error is ignored: on a broken connection the write fails as well.
	_ = controller.SetWriteDeadline(time.Now().Add(parsed.deadline - h.loop.clock.now() + writeTimeout))
	h.writeFinal(w, final)
	return nil
}

// writeFinal writes a final response and counts it.
func (h *handler) writeFinal(w http.ResponseWriter, final response) {
	h.stats.countFinal(final.status)
	writeResponse(w, final)
}

// withinQuietPeriod reports whether the given time on the node's clock or the last request is
// less than the quiet period ago.
func (h *handler) withinQuietPeriod(at time.Duration) bool {
	last := time.Duration(h.lastRequestAt.Load())
	return h.loop.clock.now()-max(at, last) < quietPeriod
}

// contextConn is the client connection of a request whose connection package downstream did not accept. Its
// client counts as disconnected once the request's context ends.
type contextConn struct{ done <-chan struct{} }

// ClientDisconnected implements clientConn.
func (c contextConn) ClientDisconnected() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
