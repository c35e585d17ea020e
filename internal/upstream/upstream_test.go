package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// script is a server that reads a request and writes fixed bytes; then it
// closes, or keeps the connection for another request.
func script(t *testing.T, answer string, close bool) (addr string, conns chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = make(chan net.Conn, 100)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns <- nc
			go func() {
				defer nc.Close()
				in := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					io.WriteString(nc, answer)
					if close {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// responseReadTimeout is as long as a node gives a response.
const responseReadTimeout = 150 * time.Millisecond

// poolConfig lets connections go back into use at once.
func poolConfig() Config {
	return Config{MaxOpen: 10, IdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second}
}

// poolTo makes a pool that knows one server.
func poolTo(config Config, addr string) (*Pool, policy.ServerID) {
	pool := NewPool(config)
	server := endpoint.Endpoint{InstanceID: "s", Address: addr, Lifecycle: "Ready"}
	pool.UpdateEndpoints(true, []endpoint.Endpoint{server})
	return pool, server.ServerID()
}

// present is a client that does not leave.
func present() bool { return false }

func anyRequest() *Request {
	return &Request{
		Method: "POST", URL: &url.URL{Path: "/pay"}, Host: "x", Header: http.Header{}, Body: []byte("b"),
		ResponseReadTimeout: responseReadTimeout,
	}
}

func TestOutcomes(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, c := range map[string]struct {
		answer string
		close  bool
		status policy.Status
		conns  int // that two attempts take
	}{
		"served":                {good, false, policy.OK, 1},
		"served, chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", false, policy.OK, 1},
		"served, then closed":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", true, policy.OK, 2},
		"early hints":           {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good, false, policy.OK, 1},
		"more than the answer":  {good + "rest", false, policy.OK, 2},
		"error":                 {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, policy.ServerError, 1},
		"another status":        {"HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n", false, policy.ServerError, 1},
		"turned away, 503":      {"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"turned away, 504":      {"HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"503 that promises not": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, policy.ServerError, 1},
		"reset":                 {"", true, policy.Reset, 2},
		"half a head":           {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.Reset, 2},
		"half a body":           {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", true, policy.Reset, 2},
		"body with no length":   {"HTTP/1.1 200 OK\r\n\r\nhi", true, policy.Reset, 2},
		"noise":                 {"\x00\x01\x02 what\r\n\r\n", false, policy.ServerError, 2},
		"large body":            {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1)), false, policy.ServerError, 2},
		"noise with no line":    {"\x00\x01\x02", false, policy.ServerError, 2},
		"head without end":      {"HTTP/1.1 200 OK\r\nX-Filler: 1\r\n", false, policy.ServerError, 2},
		"body that stops":       {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", false, policy.ServerError, 2},
		"chunks that stop":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, policy.ServerError, 2},
		"said to have 3 GB":     {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi", false, policy.ServerError, 2},
		"chunk too large":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi", false, policy.ServerError, 2},
		"two lengths":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", false, policy.ServerError, 2},
		"negative length":       {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", false, policy.ServerError, 2},
		"length no number":      {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi", false, policy.ServerError, 2},
		"1xx for ever":          {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), false, policy.ServerError, 2},
		"1xx, then nothing":     {"HTTP/1.1 103 Early Hints\r\n\r\nHT", false, policy.ServerError, 2},
		"large head":            {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponse+1), false, policy.ServerError, 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := script(t, c.answer, c.close)
			u, id := poolTo(poolConfig(), addr)
			for range 2 {
				// What is spoilt has to be seen from itself: the call has no deadline that is near.
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				res := u.Send(NewCall(ctx, present), id, anyRequest(), time.Minute)
				if ctx.Err() != nil {
					t.Error("waited for to the end of the request's time")
				}
				cancel()
				if res.Status != c.status {
					t.Errorf("status %d, want %d", res.Status, c.status)
				}
				if c.status == policy.OK && string(res.Body) != "hi" {
					t.Errorf("body %q", res.Body)
				}
			}
			if len(conns) != c.conns {
				t.Errorf("%d connections, want %d", len(conns), c.conns)
			}
		})
	}
}

func TestConnectFailed(t *testing.T) {
	u, id := poolTo(poolConfig(), testkit.FreeAddr(t))
	if res := u.Send(NewCall(context.Background(), present), id, anyRequest(), time.Minute); res.Status != policy.ConnectFailed {
		t.Errorf("status %d", res.Status)
	}
	if u.open != 0 {
		t.Errorf("%d connections counted", u.open)
	}
}

// A request that has its final answer while an attempt still waits for its
// connection must not be sent any more.
func TestNoSendAfterFinalAnswer(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	u, id := poolTo(poolConfig(), b.Listener.Addr().String())
	c := NewCall(context.Background(), present)
	c.Revoke()
	if res := u.Send(c, id, anyRequest(), time.Minute); res.Status != policy.NotSent {
		t.Errorf("status %d", res.Status)
	}
	u.Send(NewCall(context.Background(), present), id, anyRequest(), time.Minute)
	if len(b.Requests) != 1 {
		t.Errorf("%d sends, want the second one only", len(b.Requests))
	}
}

func TestIdleConnectionsRetire(t *testing.T) {
	addr, conns := script(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false)
	u, id := poolTo(poolConfig(), addr)
	u.maxIdle = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go u.RetireIdle(ctx)
	u.Send(NewCall(ctx, present), id, anyRequest(), time.Minute)
	testkit.Wait(t, conns, "a connection")
	for end := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
		u.mu.Lock()
		open := u.open
		u.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the idle connection stays open")
		}
	}
}

// At the cap nothing is sent and nobody is blamed; an idle connection makes room.
func TestUpstreamCap(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	u, id := poolTo(poolConfig(), b.Listener.Addr().String())
	u.config.MaxOpen = 1
	u.open = 1 // one is in use
	if res := u.Send(NewCall(context.Background(), present), id, anyRequest(), time.Minute); res.Status != policy.NotSent {
		t.Errorf("status %d at the cap", res.Status)
	}
	u.open = 0
	other := testkit.NewBackend(t, testkit.OK)
	in := endpoint.Endpoint{InstanceID: "o", Address: other.Listener.Addr().String(), Lifecycle: "Ready"}
	u.UpdateEndpoints(false, []endpoint.Endpoint{in})
	for _, to := range []policy.ServerID{id, in.ServerID(), id} {
		if res := u.Send(NewCall(context.Background(), present), to, anyRequest(), time.Minute); res.Status != policy.OK {
			t.Errorf("status %d although an idle connection could make room", res.Status)
		}
	}
}

// What a server does with a connection behind its answer shows only after a
// moment: it closes, or sends the answer again. The next request must not go
// there meanwhile: it would be lost, or be answered with what was made for another.
func TestConnectionSettlesBeforeItsNextRequest(t *testing.T) {
	const again = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, behind := range map[string]func(nc net.Conn){
		"a close":       func(nc net.Conn) { nc.Close() },
		"a second copy": func(nc net.Conn) { io.WriteString(nc, again) },
		"noise":         func(nc net.Conn) { io.WriteString(nc, "\x00\x01") },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 10)
			b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				time.Sleep(time.Millisecond) // long for a server, short for a connection to settle
				behind(nc)
				done <- struct{}{}
			})
			u, id := poolTo(poolConfig(), b.Listener.Addr().String())
			u.config.SettleDelay = time.Hour
			send := func() {
				t.Helper()
				if res := u.Send(NewCall(t.Context(), present), id, anyRequest(), time.Minute); res.Status != policy.OK || string(res.Body) != "hi" {
					t.Errorf("status %d, body %q", res.Status, res.Body)
				}
			}
			send()
			send() // at once: a new connection
			testkit.Wait(t, done, "what comes behind")
			testkit.Wait(t, done, "what comes behind")
			u.config.SettleDelay = 0
			send() // settled: it shows
			if u.open != 1 {
				t.Errorf("%d connections are open, want the last one only", u.open)
			}
		})
	}
}

// A connection that ends before anything was written to it has carried nothing.
func TestNewConnectionReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u, id := poolTo(poolConfig(), l.Addr().String())
	conn, err := u.acquire(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	for sockstate.Peek(conn.Conn) == sockstate.Quiet {
		time.Sleep(time.Millisecond)
	}
	conn.server.idle = append(conn.server.idle, conn) // for the next send, though never used
	conn.idleSince = time.Now()
	if res := u.Send(NewCall(t.Context(), present), id, anyRequest(), time.Minute); res.Status != policy.ConnectFailed {
		t.Errorf("status %d", res.Status)
	}
}
