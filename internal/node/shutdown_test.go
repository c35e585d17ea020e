package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// SIGKILL comes 0.7 s after the longest deadline, counted as 3 s at most.
func TestShutdownGracePeriodEndsBeforeTheKill(t *testing.T) {
	for deadline, kill := range map[int]time.Duration{
		160: 860 * time.Millisecond, 3000: 3700 * time.Millisecond, 60000: 3700 * time.Millisecond,
	} {
		gracePeriod := shutdownGracePeriod(testConfig(t, testkit.NewRegistry(t), withDeadlines(deadline)))
		if gracePeriod >= kill || gracePeriod <= kill-300*time.Millisecond {
			t.Errorf("deadline %d ms: stops in %v, killed after %v", deadline, gracePeriod, kill)
		}
	}
}

// Requests that were accepted before a shutdown are served, and new connections are still
// accepted while clients are assigned to the node.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	server := newGatedBackend(t)
	n, _ := startReady(t, server.Backend)
	accepted := make(chan clientResponse, 1)
	go func() { accepted <- n.do(n.request("pay")) }()
	testkit.Wait(t, server.Requests, "the request")

	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	newConn := n.dial()
	sendRequest(newConn, n.request("pay"))
	server.open()

	if a := testkit.Wait(t, accepted, "a response"); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
	if resp := n.readResponse(newConn); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d on a new connection", resp.StatusCode)
	}
	n.awaitExit()
}

// The clients of a node that shuts down may have no other node: they are served on their connections until shortly
// before the node has to exit, and a request that is active then gets a response.
func TestShutdownServesClientsUntilTheDrainPeriod(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			<-r.Context().Done()
			return
		}
		testkit.OK(w, r)
	})
	const (
		drainOffset       = 3150 * time.Millisecond // the grace period of 3.45 s without its last 0.3 s
		lateRequestOffset = drainOffset - 400*time.Millisecond
		servedUntilOffset = drainOffset - 150*time.Millisecond
	)
	n := startReadyWith(t, b.Endpoint("s-0"), withTimes(3000, 2700))
	steady, late := n.dial(), n.dial()
	n.roundTrip(steady)
	n.roundTrip(late)

	shutdownStart := time.Now()
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	n.wantServedUntil(steady, shutdownStart.Add(lateRequestOffset), shutdownStart.Add(drainOffset))
	if err := n.request("pay").Write(late); err != nil {
		t.Fatal(err)
	}
	n.wantServedUntil(steady, shutdownStart.Add(servedUntilOffset), shutdownStart.Add(drainOffset))

	if resp := n.readResponse(late); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("the last request got status %d", resp.StatusCode)
	}
	n.awaitExit()
}

// wantServedUntil sends one request after the other and fails the test unless each is served on a connection
// that stays open. A paused test may see the end of the connection only after the drain has begun.
func (n *testNode) wantServedUntil(nc net.Conn, end, drainStart time.Time) {
	n.t.Helper()
	for time.Now().Before(end) {
		err := n.keepAliveRoundTrip(nc)
		if err == nil {
			continue
		}
		if time.Now().Before(drainStart) {
			n.t.Fatalf("%v, %v before the drain", err, time.Until(drainStart))
		}
		return
	}
}

// keepAliveRoundTrip sends a request. It returns an error unless it is served and the connection stays open.
func (n *testNode) keepAliveRoundTrip(nc net.Conn) error {
	if err := n.request("read").Write(nc); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return err
	}
	discard(resp.Body)
	if resp.StatusCode != http.StatusOK || resp.Close {
		return fmt.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	return nil
}

// A request whose deadline is long after the kill still gets its response before the kill.
func TestShutdownFailsLongRequestsBeforeTheKill(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	n := startReadyWith(t, b.Endpoint("s-0"), withDeadlines(60000))
	client := n.sendLongRequest()
	testkit.Wait(t, b.Requests, "the request")

	shutdownStart := time.Now()
	n.stop()

	if resp := n.readResponse(client); resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("status %d", resp.StatusCode)
	}
	wantBeforeKill(t, shutdownStart)
	n.awaitExit()
}

// A shutdown begins while requests are queued, wait for a connection or are in flight: each gets its final response
// before the kill.
func TestShutdownCompletesRequestsInEveryState(t *testing.T) {
	t.Parallel()
	stuck := testkit.NewStuckServer(t)
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 10)))
	for name, c := range map[string]struct {
		server          endpointjson.Endpoint
		earlierRequests int // requests that are sent before
	}{
		"queued":                   {b.Endpoint("s-0"), 5},
		"waiting for a connection": {stuck.Endpoint("s-0"), 0},
		"in flight":                {b.Endpoint("s-0"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startReadyWith(t, c.server, withDeadlines(60000))
			clients := n.sendLongRequests(c.earlierRequests + 1)
			shutdownStart := time.Now()
			n.stop()
			n.wantServerErrors(clients)
			wantBeforeKill(t, shutdownStart)
		})
	}
}

// wantServerErrors fails the test unless each client gets a response that is a server error.
func (n *testNode) wantServerErrors(clients []net.Conn) {
	n.t.Helper()
	for i, client := range clients {
		if resp := n.readResponse(client); resp.StatusCode < http.StatusInternalServerError {
			n.t.Fatalf("request %d got status %d", i, resp.StatusCode)
		}
	}
}

// wantBeforeKill fails the test if a node whose shutdown began at the given time has been killed by now.
func wantBeforeKill(t *testing.T, shutdownStart time.Time) {
	t.Helper()
	if took := time.Since(shutdownStart); took >= killDeadlineCap+killDeadlineExtra {
		t.Errorf("the last response came after %v: the node was killed before", took)
	}
}

// sendLongRequest sends a request that must not be repeated, with a timeout of a minute.
func (n *testNode) sendLongRequest() net.Conn {
	n.t.Helper()
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "60000")
	if err := r.Write(nc); err != nil {
		n.t.Fatal(err)
	}
	return nc
}

// sendLongRequests sends a number of long requests, each on a connection of its own.
func (n *testNode) sendLongRequests(count int) []net.Conn {
	n.t.Helper()
	var clients []net.Conn
	for range count {
		clients = append(clients, n.sendLongRequest())
	}
	return clients
}

// A shutdown begins while a request is half read: it is served once it is complete.
func TestShutdownServesARequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	n, _ := startReady(t, testkit.NewBackend(t, testkit.OK))
	nc := n.dial()
	text := wireText(n.request("pay"))
	half := len(text) - 3
	send(nc, text[:half])
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	send(nc, text[half:])
	if resp := n.readResponse(nc); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// The listener fails while a request is in flight: the request gets its response, others are served on connections
// that are open, and Run returns the failure.
func TestListenerFailureStartsAGracefulShutdown(t *testing.T) {
	t.Parallel()
	server := newGatedBackend(t)
	n, _ := startReady(t, server.Backend)
	client, other := n.sendLongRequest(), n.dial()
	testkit.Wait(t, server.Requests, "the request")

	if err := n.node.listener.Close(); err != nil {
		t.Fatal(err)
	}
	server.open()

	n.wantServed(other)
	if resp := n.readResponse(client); resp.StatusCode != http.StatusOK {
		t.Errorf("the request in flight got status %d", resp.StatusCode)
	}
	if err := testkit.Wait(t, n.done, "the node's exit"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Run returned %v", err)
	}
}

// Clients with open, unused connections send requests when the shutdown has terminated the others: the requests are
// rejected and not dropped.
func TestTerminationRejectsRequestsOnUnusedConnections(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	n := startReadyWith(t, b.Endpoint("s-0"), withDeadlines(300))
	n.sendLongRequest() // keeps the shutdown waiting
	testkit.Wait(t, b.Requests, "the request")
	const unusedConns = 10
	var clients []net.Conn
	for range unusedConns {
		clients = append(clients, n.dial())
	}

	n.stop()
	// A dial that meets the close of the listener may lose its first packet: it must not wait for the second.
	const probeTimeout = 10 * time.Millisecond
	testkit.Until(t, "the end of the listening", func() bool {
		conn, err := net.DialTimeout("tcp", n.addr, probeTimeout)
		if err == nil {
			closeConn(conn)
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})

	for _, client := range clients {
		if resp := n.roundTrip(client); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// A shutdown begins while every connection is in use, those of the reserve included, and further clients wait for
// admission with their requests: each request gets its response before the kill.
func TestShutdownRespondsToClientsWaitingForAdmission(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 100)))
	n := startWithFewSockets(t, b.Endpoint("s-0"))
	const requests = 40 // more than divideDescriptors grants to clients
	clients := n.sendLongRequests(requests)
	shutdownStart := time.Now()
	n.stop()
	for _, client := range clients {
		n.wantServerErrors([]net.Conn{client})
		closeConn(client) // makes room for the next
	}
	wantBeforeKill(t, shutdownStart)
}

// A request that arrives after termination is rejected at once: nothing would respond to it later.
func TestRequestAfterTerminationIsRejected(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	l := startLoop(t, b.Endpoint("s-0"))
	l.terminateAll()
	final, err := l.submit(t.Context(), l.newRequest(classPay, staysConnected))
	if err != nil || final.status != http.StatusServiceUnavailable || len(b.Requests) > 0 {
		t.Errorf("response %+v, %v; %d sends", final, err, len(b.Requests))
	}
}
