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

// Connections without a complete request must not use up the limit on client connections. The node evicts such
// connections, so that other clients are served.
func TestConnectionsWithoutARequestAreEvicted(t *testing.T) {
	n := startNodeWithFewSockets(t, testkit.NewRecordingServer(t, testkit.OK).Endpoint("s-0"))
	var flood []net.Conn
	for i := range 150 {
		nc := n.dial()
		if i%3 == 0 {
			send(nc, partialRequest)
		}
		flood = append(flood, nc)
		if i%15 == 0 {
			if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK {
				t.Fatalf("request after %d connections without a request: status %d, want 200", i+1, resp.StatusCode)
			}
		}
	}
	for i, nc := range flood {
		if _, err := io.Copy(io.Discard, nc); testkit.IsTimeout(err) {
			t.Fatalf("connection %d, without a request: still open after %v, want it closed", i, testkit.WaitTimeout)
		}
	}
}

// Idle connections of clients that have made one request are evicted as soon as a new client needs a connection. If a
// connection had to be idle for some seconds first, new clients would queue for connections until they disconnected.
func TestIdleConnectionsAreEvictedAtOnce(t *testing.T) {
	n := startNodeWithFewSockets(t, testkit.NewRecordingServer(t, testkit.OK).Endpoint("s-0"))
	startTime := time.Now()
	for i := range 200 {
		if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d, with all other connections idle: status %d, want 200", i, resp.StatusCode)
		}
	}
	if took := time.Since(startTime); took > testkit.WaitTimeout/2 {
		t.Errorf("requests of 200 new clients, while all others are idle: took %v, want at most %v",
			took, testkit.WaitTimeout/2)
	}
}

// If every permitted connection has an active request, a further client is rejected with Retry-After and its connection
// is closed. The active requests are still served.
func TestClientsOverTheConnectionLimitAreRejected(t *testing.T) {
	server := newBlockedServer(t)
	n := startNodeWithFewSockets(t, server.Endpoint("s-0"))
	var busy []net.Conn
	for i := range 20 { // some of these requests may be queued, but their connections are in use too
		nc := n.dial()
		if err := n.newRequest("read").Write(nc); err != nil {
			t.Fatalf("writing request %d: %v", i, err)
		}
		busy = append(busy, nc)
	}

	rejected := n.requestUntilRejected()

	if !rejected.Close || rejected.Header.Get("Retry-After") == "" {
		t.Errorf("rejection of a further client: Close = %v, header %v; want Close = true and a Retry-After",
			rejected.Close, rejected.Header)
	}
	server.unblock()
	for i, nc := range busy {
		if resp := n.readResponse(nc); resp.StatusCode != http.StatusOK {
			t.Fatalf("active request %d: status %d, want 200", i, resp.StatusCode)
		}
	}
}

// requestUntilRejected makes requests, each on a new connection, until a request is rejected. It returns the rejection.
func (n *testNode) requestUntilRejected() *http.Response {
	n.t.Helper()
	var last *http.Response
	testkit.WaitUntil(n.t, "a request over the connection limit to be rejected", func() bool {
		last = n.roundTrip(n.dial())
		return last.StatusCode == http.StatusServiceUnavailable
	})
	return last
}

// The node closes the connection of a client that keeps sending requests but reads no response. Such a client must not
// hold its connection beyond the deadlines of its requests.
func TestConnectionOfAClientThatReadsNothingIsClosed(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
	n, _ := startReadyNode(t,
		testkit.NewRecordingServer(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) }))
	nc := n.dial()
	var err error
	for err == nil {
		r := n.newRequest("read")
		r.Header.Set("X-Timeout-Ms", "1000")
		err = r.Write(nc)
	}
	if testkit.IsTimeout(err) {
		t.Errorf("writing requests without reading the responses timed out: %v; want the node to close the connection",
			err)
	}
}

// Clients that send invalid bytes, part of a request or hundreds of requests, and then disconnect or stay connected,
// must not block other clients. Once all clients have disconnected, a connection that is still open or a request that
// is still active would be leaked.
func TestAbusiveClientsLeaveNoOpenConnections(t *testing.T) {
	s := startHandler(t, testkit.NewRecordingServer(t, testkit.OK).Endpoint("s-0"))
	behaviors := []func(nc net.Conn){
		func(nc net.Conn) { send(nc, "\x00\xff invalid\r\n\r\n") },
		func(nc net.Conn) { send(nc, wireText(s.newRequest("read"))[:40]) },
		s.sendManyRequests,
		func(nc net.Conn) { s.sendManyRequests(nc); closeQuietly(nc) },
		func(nc net.Conn) { send(nc, strings.Repeat("x", 2*(maxHeaderBytes+maxBodyBytes))); closeQuietly(nc) },
		func(nc net.Conn) { s.wantServedOn(nc) }, // a normal client
	}
	var open []net.Conn
	for i := range 60 {
		nc := s.dial()
		open = append(open, nc)
		behaviors[i%len(behaviors)](nc)
	}
	for _, nc := range open {
		closeQuietly(nc)
	}
	s.awaitNoConns()
}

// sendManyRequests sends 300 requests without reading the responses.
func (s *testHandler) sendManyRequests(nc net.Conn) {
	for range 300 {
		sendRequest(nc, s.newRequest("read"))
	}
}

// While requests in flight use all connections that the node may open to servers, a further request waits. It is served
// if a connection becomes free before its deadline, and is rejected otherwise.
func TestRequestsAtTheServerConnectionLimit(t *testing.T) {
	t.Parallel()
	for class, name := range classNames() {
		t.Run(name+", connection becomes free", func(t *testing.T) {
			t.Parallel()
			l := startSaturatedLoop(t)
			further := l.newFurtherRequest(class)
			done := l.submitAsync(t.Context(), further)
			l.awaitInLoop("an attempt of the further request to start", func() bool { return len(further.attempts) > 0 })
			l.server.unblock()
			l.wantResponseStatus(done, http.StatusOK)
			l.wantServedAfterwards(class)
		})
		t.Run(name+", no connection becomes free", func(t *testing.T) {
			t.Parallel()
			l := startSaturatedLoop(t)
			l.wantResponseStatus(l.submitAsync(t.Context(), l.newFurtherRequest(class)), http.StatusServiceUnavailable)
			if len(l.server.Requests) > 0 {
				t.Errorf("further requests that the server received: got %d, want 0", len(l.server.Requests))
			}
			l.server.unblock()
			l.wantServedAfterwards(class)
		})
	}
}

// saturatedLoop is a loop whose requests in flight use all connections to servers.
type saturatedLoop struct {
	*testLoop
	server   *blockedServer    // responds once it is unblocked
	inFlight []<-chan response // responses to the requests in flight
}

// startSaturatedLoop starts a loop that may open 2 connections to servers, and sends a request on each.
func startSaturatedLoop(t *testing.T) *saturatedLoop {
	t.Helper()
	const connections, servers = 2, 40 // so many servers that none reaches its own limit
	server := newBlockedServer(t)
	var list []endpointjson.Endpoint
	for i := range servers {
		list = append(list, server.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	l := &saturatedLoop{server: server}
	l.testLoop = startLoopWith(t, func(pool *upstream.Config) { pool.MaxOpen = connections }, list...)
	for range connections {
		l.inFlight = append(l.inFlight, l.submitAsync(t.Context(), l.newRequest(classRead, neverDisconnected)))
		testkit.Receive(t, server.Requests, "the server to receive a request")
	}
	return l
}

// newFurtherRequest returns a request that can wait 4 s for a connection, until its deadline.
func (l *saturatedLoop) newFurtherRequest(class int) *request {
	further := l.newRequest(class, neverDisconnected)
	further.deadline = l.clock.now() + 4*time.Second
	return further
}

// wantServedAfterwards fails the test unless the requests in flight are served, and then a new request too.
func (l *saturatedLoop) wantServedAfterwards(class int) {
	l.t.Helper()
	for _, done := range l.inFlight {
		l.wantResponseStatus(done, http.StatusOK)
	}
	l.awaitRequests(0, 0)
	l.wantResponseStatus(l.submitAsync(l.t.Context(), l.newRequest(class, neverDisconnected)), http.StatusOK)
}
