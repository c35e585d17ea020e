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

// After SIGTERM, the platform waits for the longest deadline of any class, but no longer than 3 s, and then for 0.7 s
// before it kills the node. The grace period must end before the kill, but by less than 0.3 s.
func TestShutdownGracePeriodEndsBeforeTheKill(t *testing.T) {
	for deadline, kill := range map[int]time.Duration{
		160: 860 * time.Millisecond, 3000: 3700 * time.Millisecond, 60000: 3700 * time.Millisecond,
	} {
		gracePeriod := shutdownGracePeriod(testConfig(t, testkit.NewFakeDiscovery(t), withDeadlines(deadline)))
		if gracePeriod >= kill || gracePeriod <= kill-300*time.Millisecond {
			t.Errorf("longest deadline %d ms: grace period %v, want it to end less than 300ms before the kill at %v",
				deadline, gracePeriod, kill)
		}
	}
}

// Requests that were accepted before a shutdown are served. New connections are still accepted after health checks
// fail, since the platform may assign clients to the node for a short time.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	server := newBlockedServer(t)
	n, _ := startReadyNode(t, server.RecordingServer)
	accepted := make(chan clientResponse, 1)
	go func() { accepted <- n.do(n.newRequest("pay")) }()
	testkit.Receive(t, server.Requests, "the server to receive the request")

	n.stop()
	n.awaitReadiness(http.StatusServiceUnavailable)
	newConn := n.dial()
	sendRequest(newConn, n.newRequest("pay"))
	server.unblock()

	if resp := testkit.Receive(t, accepted, "the response to the accepted request"); resp.status != http.StatusOK {
		t.Errorf("request accepted before the shutdown: status %d, want 200", resp.status)
	}
	if resp := n.readResponse(newConn); resp.StatusCode != http.StatusOK {
		t.Errorf("request on a connection opened after the health check failed: status %d, want 200", resp.StatusCode)
	}
	n.awaitExit()
}

// The clients of a node that shuts down may have no other node. They are served on their connections until the drain
// period starts, shortly before the node has to exit. A request that is active at that time still gets a response.
func TestShutdownServesClientsUntilTheDrainPeriod(t *testing.T) {
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
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
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), withDeadlinesAndObjectives(3000, 2700))
	steady, late := n.dial(), n.dial()
	n.roundTrip(steady)
	n.roundTrip(late)

	shutdownStart := time.Now()
	n.stop()
	n.awaitReadiness(http.StatusServiceUnavailable)
	n.wantServedUntil(steady, shutdownStart.Add(lateRequestOffset), shutdownStart.Add(drainOffset))
	if err := n.newRequest("pay").Write(late); err != nil {
		t.Fatalf("writing the late request: %v", err)
	}
	n.wantServedUntil(steady, shutdownStart.Add(servedUntilOffset), shutdownStart.Add(drainOffset))

	if resp := n.readResponse(late); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("late request to an unresponsive server: status %d, want 502", resp.StatusCode)
	}
	n.awaitExit()
}

// wantServedUntil sends one request after another on a connection until end. It fails the test unless each is served
// and the connection stays open. It ignores a failure after drainStart: if the test process is paused, a request that
// is sent before end may arrive in the drain period.
func (n *testNode) wantServedUntil(nc net.Conn, end, drainStart time.Time) {
	n.t.Helper()
	for time.Now().Before(end) {
		err := n.keepAliveRoundTrip(nc)
		if err == nil {
			continue
		}
		if time.Now().Before(drainStart) {
			n.t.Fatalf("request %v before the drain period: %v, want status 200 and the connection kept open",
				time.Until(drainStart), err)
		}
		return
	}
}

// keepAliveRoundTrip makes a request and reads the response. It returns an error unless the request is served and the
// connection stays open.
func (n *testNode) keepAliveRoundTrip(nc net.Conn) error {
	if err := n.newRequest("read").Write(nc); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return err
	}
	discard(resp.Body)
	if resp.StatusCode != http.StatusOK || resp.Close {
		return fmt.Errorf("status %d, Connection: close %v", resp.StatusCode, resp.Close)
	}
	return nil
}

// A request whose deadline is long after the kill fails before the kill, so that its client gets a response.
func TestShutdownFailsLongRequestsBeforeTheKill(t *testing.T) {
	t.Parallel()
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 1)))
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), withDeadlines(60000))
	client := n.sendLongRequest()
	testkit.Receive(t, server.Requests, "the server to receive the request")

	shutdownStart := time.Now()
	n.stop()

	if resp := n.readResponse(client); resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("request with a timeout of a minute, during a shutdown: status %d, want 502", resp.StatusCode)
	}
	wantBeforeKill(t, shutdownStart)
	n.awaitExit()
}

// Requests that are queued, waiting for a connection or in flight when a shutdown starts get their final responses
// before the kill.
func TestShutdownCompletesRequestsInEveryState(t *testing.T) {
	t.Parallel()
	fullAcceptQueue := testkit.NewFullAcceptQueueServer(t)
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 10)))
	for name, c := range map[string]struct {
		server          endpointjson.Endpoint
		earlierRequests int // number of earlier requests, which use the server's capacity
	}{
		"queued":                   {server.Endpoint("s-0"), 5},
		"waiting for a connection": {fullAcceptQueue.Endpoint("s-0"), 0},
		"in flight":                {server.Endpoint("s-0"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startReadyNodeWithConfig(t, c.server, withDeadlines(60000))
			clients := n.sendLongRequests(c.earlierRequests + 1)
			shutdownStart := time.Now()
			n.stop()
			n.wantServerErrors(clients)
			wantBeforeKill(t, shutdownStart)
		})
	}
}

// wantServerErrors fails the test unless each client gets a response with a status of 500 or above.
func (n *testNode) wantServerErrors(clients []net.Conn) {
	n.t.Helper()
	for i, client := range clients {
		if resp := n.readResponse(client); resp.StatusCode < http.StatusInternalServerError {
			n.t.Fatalf("request %d of %d: status %d, want 500 or above", i+1, len(clients), resp.StatusCode)
		}
	}
}

// wantBeforeKill fails the test if the platform would by now have killed a node whose shutdown started at
// shutdownStart.
func wantBeforeKill(t *testing.T, shutdownStart time.Time) {
	t.Helper()
	if took := time.Since(shutdownStart); took >= maxDeadlineWait+killDelay {
		t.Errorf("last response: got %v after the start of the shutdown, want it before the kill at %v",
			took, maxDeadlineWait+killDelay)
	}
}

// sendLongRequest sends a request that is not idempotent, with a timeout of a minute, and returns its connection.
func (n *testNode) sendLongRequest() net.Conn {
	n.t.Helper()
	nc := n.dial()
	r := n.newRequest("pay")
	r.Header.Set("X-Timeout-Ms", "60000")
	if err := r.Write(nc); err != nil {
		n.t.Fatalf("writing a request with a timeout of a minute: %v", err)
	}
	return nc
}

// sendLongRequests calls sendLongRequest count times and returns the connections.
func (n *testNode) sendLongRequests(count int) []net.Conn {
	n.t.Helper()
	var clients []net.Conn
	for range count {
		clients = append(clients, n.sendLongRequest())
	}
	return clients
}

// A request that the node has read only in part when a shutdown starts must be served once the rest has arrived.
// http.Server.Shutdown would drop the request.
func TestShutdownServesARequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	n, _ := startReadyNode(t, testkit.NewRecordingServer(t, testkit.OK))
	nc := n.dial()
	text := wireText(n.newRequest("pay"))
	half := len(text) - 3
	send(nc, text[:half])
	n.stop()
	n.awaitReadiness(http.StatusServiceUnavailable)
	send(nc, text[half:])
	if resp := n.readResponse(nc); resp.StatusCode != http.StatusOK {
		t.Fatalf("request that was incomplete at the start of the shutdown: status %d, want 200", resp.StatusCode)
	}
}

// If the listener fails, requests in flight get their responses, further requests are served on open connections, and
// Run returns the listener's error.
func TestListenerFailureStartsAGracefulShutdown(t *testing.T) {
	t.Parallel()
	server := newBlockedServer(t)
	n, _ := startReadyNode(t, server.RecordingServer)
	client, other := n.sendLongRequest(), n.dial()
	testkit.Receive(t, server.Requests, "the server to receive the request")

	if err := n.node.listener.Close(); err != nil {
		t.Fatalf("closing the listener: %v", err)
	}
	server.unblock()

	n.wantServedOn(other)
	if resp := n.readResponse(client); resp.StatusCode != http.StatusOK {
		t.Errorf("request in flight when the listener failed: status %d, want 200", resp.StatusCode)
	}
	if err := testkit.Receive(t, n.runResult, "Run to return"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Run() = %v after the listener was closed, want net.ErrClosed", err)
	}
}

// After a shutdown has terminated all requests, clients may send their first requests on connections that are already
// open. These requests must be rejected with a response and not dropped.
func TestTerminationRejectsRequestsOnUnusedConnections(t *testing.T) {
	t.Parallel()
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 1)))
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), withDeadlines(300))
	n.sendLongRequest() // keeps the shutdown waiting
	testkit.Receive(t, server.Requests, "the server to receive the request")
	const unusedConns = 10
	var clients []net.Conn
	for range unusedConns {
		clients = append(clients, n.dial())
	}

	n.stop()
	// A dial during the close of the listener may lose its first packet. The timeout ends the dial before the system
	// sends the packet again.
	const probeTimeout = 10 * time.Millisecond
	testkit.WaitUntil(t, "the listener to be closed", func() bool {
		conn, err := net.DialTimeout("tcp", n.addr, probeTimeout)
		if err == nil {
			closeQuietly(conn)
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})

	for i, client := range clients {
		if resp := n.roundTrip(client); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("request on unused connection %d: status %d, Connection: close %v; want 503 and true",
				i, resp.StatusCode, resp.Close)
		}
	}
}

// If all connections, including the reserve, are in use when a shutdown starts, further clients wait for admission with
// their requests. Each of these requests, too, must get a response before the kill.
func TestShutdownRespondsToClientsWaitingForAdmission(t *testing.T) {
	t.Parallel()
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 100)))
	n := startNodeWithFewSockets(t, server.Endpoint("s-0"))
	const requests = 40 // one per connection; divideDescriptors permits fewer client connections
	clients := n.sendLongRequests(requests)
	shutdownStart := time.Now()
	n.stop()
	for _, client := range clients {
		n.wantServerErrors([]net.Conn{client})
		closeQuietly(client) // lets the next client be admitted
	}
	wantBeforeKill(t, shutdownStart)
}

// A request that arrives after termination is rejected at once, since nothing would complete it later.
func TestRequestAfterTerminationIsRejected(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	l := startLoop(t, server.Endpoint("s-0"))
	l.terminateAll()
	final, err := l.submit(t.Context(), l.newRequest(classPay, neverDisconnected))
	if err != nil || final.status != http.StatusServiceUnavailable || len(server.Requests) > 0 {
		t.Errorf("submit() after termination = %+v, %v with %d attempts sent; want status 503, nil and no attempt",
			final, err, len(server.Requests))
	}
}
