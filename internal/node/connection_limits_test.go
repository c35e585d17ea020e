package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
)

// Clients open hundreds of connections and send nothing or part of a request: other clients are still served, and
// the node closes these connections before long.
func TestConnectionsWithoutARequestAreEvicted(t *testing.T) {
	n := startWithFewSockets(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
	var flood []net.Conn
	for i := range 150 {
		nc := n.dial()
		if i%3 == 0 {
			send(nc, partialRequest)
		}
		flood = append(flood, nc)
		if i%15 == 0 {
			if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK {
				t.Fatalf("a usual client got status %d", resp.StatusCode)
			}
		}
	}
	for _, nc := range flood {
		if _, err := io.Copy(io.Discard, nc); testkit.IsTimeout(err) {
			t.Fatal("a connection without a request stays open")
		}
	}
}

// Clients that make one request and keep their connection are evicted at once. If new clients
// waited until a connection has been idle for seconds, many of them would wait behind one
// another until all have disconnected.
func TestIdleConnectionsAreEvictedAtOnce(t *testing.T) {
	n := startWithFewSockets(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
	startTime := time.Now()
	for range 200 {
		if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d although others are idle", resp.StatusCode)
		}
	}
	if took := time.Since(startTime); took > testkit.WaitTimeout/2 {
		t.Errorf("served after %v: new clients wait for others to age", took)
	}
}

// Every connection has a request in flight: a further client is rejected with Retry-After. The node closes its
// connection.
func TestClientsOverTheConnectionLimitAreRejected(t *testing.T) {
	server := newGatedBackend(t)
	n := startWithFewSockets(t, server.Endpoint("s-0"))
	var busy []net.Conn
	for range 20 { // some of the requests may be queued: their connections are in use as well
		nc := n.dial()
		if err := n.request("read").Write(nc); err != nil {
			t.Fatal(err)
		}
		busy = append(busy, nc)
	}

	rejected := n.requestUntilRejected()

	if !rejected.Close || rejected.Header.Get("Retry-After") == "" {
		t.Errorf("close %v, headers %v", rejected.Close, rejected.Header)
	}
	server.open()
	for _, nc := range busy {
		if resp := n.readResponse(nc); resp.StatusCode != http.StatusOK {
			t.Fatalf("a request in flight got status %d", resp.StatusCode)
		}
	}
}

// requestUntilRejected makes requests on new connections until one is rejected, and returns that
// response.
func (n *testNode) requestUntilRejected() *http.Response {
	n.t.Helper()
	var last *http.Response
	testkit.Until(n.t, "a rejection over the limit", func() bool {
		last = n.roundTrip(n.dial())
		return last.StatusCode == http.StatusServiceUnavailable
	})
	return last
}

// A client that sends requests but reads nothing must not keep its connection past its
// deadline: the node closes it.
func TestConnectionOfAClientThatReadsNothingIsClosed(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
	n, _ := startReady(t, testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) }))
	nc := n.dial()
	var err error
	for err == nil {
		r := n.request("read")
		r.Header.Set("X-Timeout-Ms", "1000")
		err = r.Write(nc)
	}
	if testkit.IsTimeout(err) {
		t.Error("the node keeps the connection")
	}
}

// Many clients send noise, half a request or hundreds of requests at once, and disconnect or stay connected: other
// clients are served meanwhile, and in the end no connection is open and no request active.
func TestAbusiveClientsLeaveNoOpenConnections(t *testing.T) {
	s := startHandler(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
	behaviors := []func(nc net.Conn){
		func(nc net.Conn) { send(nc, "\x00\xff noise\r\n\r\n") },
		func(nc net.Conn) { send(nc, wireText(s.request("read"))[:40]) },
		s.sendManyRequests,
		func(nc net.Conn) { s.sendManyRequests(nc); closeConn(nc) },
		func(nc net.Conn) { send(nc, strings.Repeat("x", 2*(maxHeaderBytes+maxBodyBytes))); closeConn(nc) },
		func(nc net.Conn) { s.wantServed(nc) }, // no abuse
	}
	var open []net.Conn
	for i := range 60 {
		nc := s.dial()
		open = append(open, nc)
		behaviors[i%len(behaviors)](nc)
	}
	for _, nc := range open {
		closeConn(nc)
	}
	s.awaitNoConns()
}

// sendManyRequests sends hundreds of requests without reading the responses.
func (s *handlerServer) sendManyRequests(nc net.Conn) {
	for range 300 {
		sendRequest(nc, s.request("read"))
	}
}

// Requests in flight use every connection to servers that a small node may have. A further request gets the
// response of a server if a connection becomes free in time, and is rejected otherwise.
func TestRequestsAtTheServerConnectionLimit(t *testing.T) {
	t.Parallel()
	for class, name := range classNames() {
		t.Run(name+", freed", func(t *testing.T) {
			t.Parallel()
			l := startSaturatedLoop(t)
			further := l.newFurtherRequest(class)
			done := l.submitAsync(t.Context(), further)
			l.untilInLoop("an attempt", func() bool { return len(further.attempts) > 0 })
			l.server.open()
			l.wantStatus(done, http.StatusOK)
			l.wantServedAfterwards(class)
		})
		t.Run(name+", not freed", func(t *testing.T) {
			t.Parallel()
			l := startSaturatedLoop(t)
			l.wantStatus(l.submitAsync(t.Context(), l.newFurtherRequest(class)), http.StatusServiceUnavailable)
			if len(l.server.Requests) > 0 {
				t.Error("the further request was sent")
			}
			l.server.open()
			l.wantServedAfterwards(class)
		})
	}
}

// saturatedLoop is a loop whose requests in flight use all connections to servers.
type saturatedLoop struct {
	*testLoop
	server   *gatedBackend
	inFlight []<-chan response
}

func startSaturatedLoop(t *testing.T) *saturatedLoop {
	t.Helper()
	const connections, servers = 2, 40 // none of the servers is at its own limit
	server := newGatedBackend(t)
	var list []endpointjson.Endpoint
	for i := range servers {
		list = append(list, server.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	l := &saturatedLoop{server: server}
	l.testLoop = startLoopWith(t, func(pool *upstream.Config) { pool.MaxOpen = connections }, list...)
	for range connections {
		l.inFlight = append(l.inFlight, l.submitAsync(t.Context(), l.newRequest(classRead, staysConnected)))
		testkit.Wait(t, server.Requests, "a request in flight")
	}
	return l
}

// newFurtherRequest makes a request that may wait for a connection for 4 s.
func (l *saturatedLoop) newFurtherRequest(class int) *request {
	further := l.newRequest(class, staysConnected)
	further.deadline = l.clock.now() + 4*time.Second
	return further
}

// wantServedAfterwards fails the test unless the requests in flight are served, and a new one after them.
func (l *saturatedLoop) wantServedAfterwards(class int) {
	l.t.Helper()
	for _, done := range l.inFlight {
		l.wantStatus(done, http.StatusOK)
	}
	l.awaitRequests(0, 0)
	l.wantStatus(l.submitAsync(l.t.Context(), l.newRequest(class, staysConnected)), http.StatusOK)
}
