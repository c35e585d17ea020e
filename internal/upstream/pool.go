// Package upstream owns the connections to servers and carries out single
// attempts over them. It decides nothing: which server gets an attempt, and when,
// is told by its caller, and each Send writes a request at most once.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/httpheader"
	"calicohinge/internal/sockstate"
	"calicohinge/policy"
)

const (
	maxBody       = 64 << 10         // bytes of a message's body
	maxAnswer     = maxBody + 64<<10 // of a server's answer with head and framing
	maxInterim    = 8                // 1xx answers ahead of the real one
	idlePart      = 0.6              // of the servers' idle time, after which a connection is retired
	idlePerServer = 32               // idle connections kept to a server
)

// DefaultSettleDelay is kept from an answer to the next request on its connection. With
// ten times as much the connections rest longer, and more of them are reset at
// their next request (327 against 91 on the same day).
const DefaultSettleDelay = time.Millisecond

// Request is what of a client's request goes on to a server.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // end-to-end fields
	Body   []byte
	// ResponseReadTimeout bounds the time from a response's first byte to its last.
	ResponseReadTimeout time.Duration
}

// Result is how an attempt ended, and the answer if it was served.
type Result struct {
	Status             policy.Status
	ClientDisconnected bool // the client was found to have disconnected
	Header             http.Header
	Body               []byte
}

// Call is the socket side of one attempt.
type Call struct {
	ctx                context.Context
	cancel             context.CancelFunc
	clientDisconnected func() bool
	gate               atomic.Int32
	writeDeadline      atomic.Pointer[time.Time] // nil: none
}

const (
	unsent int32 = iota
	sending
	revoked
)

// NewCall prepares an attempt. Just before its first byte is written,
// clientDisconnected is asked whether somebody still waits for the answer.
func NewCall(ctx context.Context, clientDisconnected func() bool) *Call {
	c := &Call{clientDisconnected: clientDisconnected}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Cancel gives the attempt up: its connection is closed.
func (c *Call) Cancel() { c.cancel() }

// Revoke keeps the call from being written; it reports false if that has begun.
func (c *Call) Revoke() bool { return c.gate.CompareAndSwap(unsent, revoked) }

// Revoked reports whether Revoke came before the first byte.
func (c *Call) Revoked() bool { return c.gate.Load() == revoked }

// Started reports whether the first byte has been released for writing.
func (c *Call) Started() bool { return c.gate.Load() == sending }

// SetWriteDeadline sets the time from which on nothing of the call is written.
func (c *Call) SetWriteDeadline(deadline time.Time) { c.writeDeadline.Store(&deadline) }

// latest returns the write deadline; zero if there is none.
func (c *Call) latest() (deadline time.Time) {
	if p := c.writeDeadline.Load(); p != nil {
		deadline = *p
	}
	return deadline
}

// Config is what a Pool is told at its creation.
type Config struct {
	MaxOpen        int           // connections to all servers
	IdleTimeout    time.Duration // servers close a connection that was idle for so long
	ConnectTimeout time.Duration
	SettleDelay    time.Duration // see DefaultSettleDelay
}

// Pool holds the servers' addresses and the idle connections to them. The
// connections are its own, not those of an http.Transport: that one sends a
// request again by itself, which would be an attempt nobody decided on.
type Pool struct {
	config Config

	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections to all servers, those being opened included
}

// server is where a server listens, under one start of it.
type server struct {
	addr    string
	started float64 // as discovery tells it
	idle    []*conn // the one used last at the end
	gone    bool    // or restarted, or moved: connections are not kept
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	server *server
	reader *bufio.Reader
	budget int           // bytes that the present answer may still have
	span   time.Duration // and how long it may take from its first byte
	ended  error         // what reading met when the connection broke or ended
	used   bool          // it comes from the pool
	since  time.Time
}

var (
	errTooLarge = errors.New("answer too large")
	errNoAnswer = errors.New("no HTTP answer")
)

const answerStart = "HTTP/1."

// Read bounds what a server may send for one request.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.budget)])
	c.budget -= n
	c.ended = err
	return n, err
}

// NewPool makes a pool that knows no server yet.
func NewPool(config Config) *Pool {
	config.IdleTimeout = time.Duration(float64(config.IdleTimeout) * idlePart)
	return &Pool{config: config, servers: map[policy.ServerID]*server{}}
}

// Stats describes a pool at one moment.
type Stats struct {
	Open    int // connections to all servers, those being opened included
	Servers map[policy.ServerID]ServerStats
}

// ServerStats describes one server of a pool.
type ServerStats struct {
	Address string
	Idle    int // connections that wait for a request
}

// Idle counts the idle connections to all servers.
func (s Stats) Idle() (count int) {
	for _, server := range s.Servers {
		count += server.Idle
	}
	return count
}

// Stats returns the pool's present state.
func (u *Pool) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Open: u.open, Servers: make(map[policy.ServerID]ServerStats, len(u.servers))}
	for id, s := range u.servers {
		stats.Servers[id] = ServerStats{Address: s.addr, Idle: len(s.idle)}
	}
	return stats
}

// RevokedServers is the set of servers whose attempts must not be written any
// more after an update of the endpoint list, as far as they have not begun.
type RevokedServers map[policy.ServerID]struct{}

// Contains reports whether id is in the set.
func (s RevokedServers) Contains(id policy.ServerID) bool {
	_, ok := s[id]
	return ok
}

func (s RevokedServers) add(id policy.ServerID) { s[id] = struct{}{} }

// UpdateEndpoints applies an update of the endpoint list: the complete list, or
// the endpoints that changed. A server with a new address or a new start time is
// another process: connections to the former one are closed. It returns the
// servers that were removed, drain or are another process now.
func (u *Pool) UpdateEndpoints(complete bool, endpoints []endpoint.Endpoint) RevokedServers {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[policy.ServerID]struct{}, len(endpoints))
	revoked := RevokedServers{}
	for _, current := range endpoints {
		id := current.ServerID()
		if current.State() == policy.Gone {
			revoked.add(id)
			u.drop(id, u.servers[id])
			continue
		}
		listed[id] = struct{}{}
		if replaced := u.update(id, current); replaced || current.State() != policy.Ready {
			revoked.add(id)
		}
	}
	if !complete {
		return revoked
	}
	for id, s := range u.servers {
		if _, ok := listed[id]; !ok {
			revoked.add(id)
			u.drop(id, s)
		}
	}
	return revoked
}

// update records an endpoint that is not gone. It reports whether the server is
// new or another process than before; u.mu is held.
func (u *Pool) update(id policy.ServerID, current endpoint.Endpoint) (replaced bool) {
	old := u.servers[id]
	if old != nil && old.addr == current.Address && old.started == current.StartedUnixMilli {
		return false
	}
	u.drop(id, old)
	u.servers[id] = &server{addr: current.Address, started: current.StartedUnixMilli}
	return true
}

// drop forgets a server; u.mu is held.
func (u *Pool) drop(id policy.ServerID, s *server) {
	if s == nil {
		return
	}
	s.gone = true
	for _, c := range s.idle {
		u.shut(c)
	}
	s.idle = nil
	delete(u.servers, id)
}

// shut closes a connection; u.mu is held.
func (u *Pool) shut(c *conn) {
	u.open--
	c.Conn.Close()
}

// RetireIdle closes connections that were idle for too long, until the context ends.
func (u *Pool) RetireIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.config.IdleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		u.mu.Lock()
		for _, s := range u.servers {
			n := 0
			for n < len(s.idle) && time.Since(s.idle[n].since) > u.config.IdleTimeout {
				u.shut(s.idle[n])
				n++
			}
			s.idle = append(s.idle[:0], s.idle[n:]...)
		}
		u.mu.Unlock()
	}
}

// take gives an idle connection, or leave to open one: nil and the server. At
// the cap it makes room at the expense of another server's idle connection.
func (u *Pool) take(id policy.ServerID) (*conn, *server, policy.Status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil {
		return nil, nil, policy.ConnectFailed
	}
	// The one used last that has settled: what a server does with a connection
	// behind an answer, to close it or to send more than belongs to the answer,
	// takes a moment to show. A request written before that is lost, or would get
	// what belongs to the former one: nothing in an answer names its request.
	for n := len(s.idle) - 1; n >= 0; n-- {
		c := s.idle[n]
		rested := time.Since(c.since)
		if rested < u.config.SettleDelay {
			continue
		}
		s.idle = slices.Delete(s.idle, n, n+1)
		// The server closes idle connections too, and a request written to one
		// that is closed counts as one that may have run.
		if rested <= u.config.IdleTimeout {
			return c, s, policy.OK
		}
		u.shut(c)
	}
	if u.open >= u.config.MaxOpen && !u.evict() {
		return nil, nil, policy.NotSent // nobody's fault, and nothing was sent
	}
	u.open++
	return nil, s, policy.OK
}

// evict closes the connection that is idle for longest; u.mu is held.
func (u *Pool) evict() bool {
	var from *server
	for _, s := range u.servers {
		if len(s.idle) > 0 && (from == nil || s.idle[0].since.Before(from.idle[0].since)) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	u.shut(from.idle[0])
	from.idle = from.idle[1:]
	return true
}

// put takes a connection back, for the next request if keep.
func (u *Pool) put(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.server.gone || len(c.server.idle) >= idlePerServer {
		u.shut(c)
		return
	}
	c.used, c.since = true, time.Now()
	c.server.idle = append(c.server.idle, c)
}

// connect gives a connection to a server, idle or new.
func (u *Pool) connect(ctx context.Context, id policy.ServerID) (*conn, policy.Status) {
	c, s, status := u.take(id)
	if c != nil || status != policy.OK {
		return c, status
	}
	dialer := net.Dialer{Timeout: u.config.ConnectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, policy.ConnectFailed
	}
	c = &conn{Conn: nc, server: s}
	c.reader = bufio.NewReader(c)
	return c, policy.OK
}

// Send makes one attempt and tells how it ended. The caller stops the call
// when it gives up; what comes back then is of no interest.
func (u *Pool) Send(c *Call, id policy.ServerID, o *Request, left time.Duration) Result {
	started := time.Now()
	for {
		conn, status := u.connect(c.ctx, id)
		if conn == nil {
			return Result{Status: status}
		}
		req := o.request(left - time.Since(started))
		var message bytes.Buffer
		if err := req.Write(&message); err != nil {
			u.put(conn, true)
			return Result{Status: policy.NotSent}
		}
		if sockstate.Peek(conn.Conn) != sockstate.Quiet { // closed, or out of step
			u.put(conn, false)
			if conn.used {
				continue
			}
			return Result{Status: policy.ConnectFailed}
		}
		unhook := context.AfterFunc(c.ctx, func() { conn.Conn.Close() })
		// The last looks before the first byte goes out: the news of a client's leaving may
		// still wait in a queue, the loop may have barred the call, or be too late to do so.
		if c.clientDisconnected() {
			u.put(conn, unhook())
			return Result{Status: policy.NotSent, ClientDisconnected: true}
		}
		latest := c.latest()
		if !latest.IsZero() && !time.Now().Before(latest) || !c.gate.CompareAndSwap(unsent, sending) {
			u.put(conn, unhook())
			return Result{Status: policy.NotSent}
		}
		conn.Conn.SetWriteDeadline(latest) // a server begins a request with its last byte
		conn.span = o.ResponseReadTimeout
		res, keep := conn.exchange(req, message.Bytes())
		u.put(conn, unhook() && keep)
		return res
	}
}

// request makes what goes to a server, with the time that is left for it.
func (o *Request) request(left time.Duration) *http.Request {
	req := &http.Request{
		Method: o.Method, URL: o.URL, Host: o.Host, Header: o.Header.Clone(),
		Body: http.NoBody, ContentLength: int64(len(o.Body)),
	}
	if len(o.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(o.Body))
	}
	if req.Header["User-Agent"] == nil {
		req.Header.Set("User-Agent", "") // else Request.Write puts one of its own
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return req
}

// exchange writes the request and reads the answer. The last byte of the
// request being written decides whether it may have run. It tells whether the
// connection is of use for a further request.
func (c *conn) exchange(req *http.Request, message []byte) (Result, bool) {
	if _, err := c.Conn.Write(message); err != nil {
		return Result{Status: policy.ConnectFailed}, false // its last byte was not written
	}
	c.budget = maxAnswer
	resp, err := c.answer(req)
	for n := 0; err == nil && resp.StatusCode/100 == 1; n++ {
		if resp.StatusCode == http.StatusSwitchingProtocols || n == maxInterim {
			return Result{Status: policy.ServerError}, false
		}
		resp, err = c.answer(req)
	}
	if err != nil {
		return Result{Status: c.broken()}, false
	}
	if resp.ContentLength > maxBody {
		return Result{Status: policy.ServerError}, false // not even looked at: it may have gigabytes
	}
	// The body is never closed, which would read it to its end; the connection is,
	// unless the body was read.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return Result{Status: c.broken()}, false
	case len(body) > maxBody:
		return Result{Status: policy.ServerError}, false
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return Result{Status: policy.Reset}, false // ends with the connection: nothing tells that it is whole
	}
	c.SetReadDeadline(time.Time{})
	keep := !resp.Close && c.reader.Buffered() == 0 // more than the answer: out of step
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{Status: policy.OK, Header: httpheader.EndToEnd(resp.Header), Body: body}, keep
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return Result{Status: policy.Rejected}, keep
	}
	return Result{Status: policy.ServerError}, keep
}

// answer reads the head of an answer. A server may think for as long as the
// request has; but once it speaks, the whole answer has to follow soon. One that
// was spoilt leaves its connection open and says no more: to wait for the rest
// would take the time of a further attempt.
func (c *conn) answer(req *http.Request) (*http.Response, error) {
	c.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(c.span))
	start, err := c.reader.Peek(len(answerStart))
	if err != nil {
		return nil, err
	}
	if string(start) != answerStart {
		return nil, errNoAnswer // which need not even end its line
	}
	return http.ReadResponse(c.reader, req)
}

// broken tells a connection that ended from an answer that makes no sense.
func (c *conn) broken() policy.Status {
	if c.ended != nil && !errors.Is(c.ended, os.ErrDeadlineExceeded) {
		return policy.Reset
	}
	return policy.ServerError
}
