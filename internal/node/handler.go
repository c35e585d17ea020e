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
	// maxHeaderBytes limits the size of the request line and the header fields of a request.
	maxHeaderBytes = 16 << 10
	// readTimeout limits how long a client may take to send a request, measured from the start of the connection
	// or from the first byte of the request. It does not depend on the request's deadline. A client that sends an
	// incomplete request has to be disconnected within 3 s of connecting.
	readTimeout = 2 * time.Second
	// idleTimeout limits how long a client connection may be idle between requests.
	idleTimeout = 10 * time.Second
	// writeTimeout limits how long after a request's deadline, or after its response is known if that is later, the
	// response may still be written. Without it, a client that does not read would keep its connection open.
	writeTimeout = 500 * time.Millisecond
	// readinessPath is the path of the health check.
	readinessPath = "/health/ready"
)

// handler serves the HTTP requests of clients: it validates them, submits them to the loop and writes the final
// responses.
type handler struct {
	cfg           *config.Config
	parser        requestParser
	loop          *loop
	conns         *downstream.Conns
	shuttingDown  atomic.Bool  // whether health checks fail
	draining      atomic.Bool  // whether each response closes its connection
	lastRequestAt atomic.Int64 // time at which a request was last accepted, as a time.Duration on the node's clock
	ids           *requestIDs  // X-Request-IDs in use
	stats         requestStats
}

func newHandler(cfg *config.Config, loop *loop, conns *downstream.Conns) *handler {
	return &handler{
		cfg: cfg, parser: requestParser{cfg: cfg, clock: loop.clock}, loop: loop, conns: conns,
		ids: newRequestIDs(cfg.Limits.MemoryMB),
	}
}

// server returns an HTTP server that serves the connections of h.conns.
func (h *handler) server() *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		DisableGeneralOptionsHandler: true, // OPTIONS * is not a class
		ConnState:                    h.conns.HandleConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// connKey is the context key of the net.Conn on which a request was received.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close") // makes the client reconnect, to another node
	}
	if err := h.serve(w, r); err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected: net/http closes the connection
	}
	if conn := clientConnection(r); conn != nil && w.Header().Get("Connection") != "" {
		if err := http.NewResponseController(w).Flush(); err == nil {
			conn.LingeringClose(r.Context())
		}
	}
}

// clientConnection returns the connection of a request, or nil if it is not a *downstream.Conn.
func clientConnection(r *http.Request) *downstream.Conn {
	conn, _ := r.Context().Value(connKey{}).(*downstream.Conn)
	return conn
}

// serve responds to a request, and counts invalid requests and disconnected clients. The only error it returns is
// errClientDisconnected, in which case no response was written.
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

// route checks the framing of a request and serves it as a health check or forwards it. The error is that of
// checkFraming or forward.
func (h *handler) route(w http.ResponseWriter, r *http.Request) error {
	if err := checkFraming(r); err != nil {
		return err
	}
	if conn := clientConnection(r); conn != nil && r.ContentLength == 0 {
		conn.MarkRequestRead() // the client is owed a response, for which the connection may have to wait
	}
	if r.URL.Path == readinessPath {
		h.serveReadiness(w)
		return nil
	}
	return h.forward(w, r)
}

// serveReadiness responds to the health check by which the platform decides whether to assign clients to this node.
func (h *handler) serveReadiness(w http.ResponseWriter) {
	if !h.loop.sync.ready.Load() || h.shuttingDown.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// writeFinal counts and writes a final response.
func (h *handler) writeFinal(w http.ResponseWriter, final response) {
	h.stats.countFinal(final.status)
	writeResponse(w, final)
}

// withinQuietPeriod reports whether the quiet period has not passed yet. It starts at the given time on the node's
// clock, and again with each request that is accepted later.
func (h *handler) withinQuietPeriod(at time.Duration) bool {
	last := time.Duration(h.lastRequestAt.Load())
	return h.loop.clock.now()-max(at, last) < quietPeriod
}

// contextConn is the clientConn of a request whose connection is not a *downstream.Conn. The client counts as
// disconnected once the request's context ends.
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
