package node

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/downstream"
	"calicohinge/internal/testkit"
)

const (
	// shortTimeout is a client's timeout that has passed when its request is read.
	shortTimeout = 50 * time.Millisecond
	// shortTimeoutMs is shortTimeout as the value of X-Timeout-Ms.
	shortTimeoutMs = "50"
)

// requireResponse reads the response to a request, and fails the test if the connection ends without one.
func requireResponse(t *testing.T, conn net.Conn, what string) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("response to %s: got error %v, want a response", what, err)
	}
	defer closeQuietly(response.Body)
	discard(response.Body)
	return response.StatusCode
}

// Guards against a request that is read and never answered: behind a crowd of incomplete requests it is read after its
// deadline, and the deadline for writing its response was past as well.
func TestRequestBehindACrowdOfIncompleteRequestsGetsAResponse(t *testing.T) {
	t.Run("in service", func(t *testing.T) { testRequestBehindACrowd(t, func(*testNode) {}) })
	t.Run("as a shutdown begins", func(t *testing.T) { testRequestBehindACrowd(t, func(n *testNode) { n.stop() }) })
}

// testRequestBehindACrowd sends a request behind a crowd of incomplete ones, calls then, and requires a response.
func testRequestBehindACrowd(t *testing.T, then func(n *testNode)) {
	t.Helper()
	const crowd = 300
	n := startNodeWithFewSockets(t, testkit.NewRecordingServer(t, testkit.OK).Endpoint("s-0"))
	for range crowd {
		send(n.dial(), partialRequest)
	}
	conn := n.dial()
	setTestDeadline(conn)
	r := n.newRequest("read")
	r.Header.Set("X-Timeout-Ms", shortTimeoutMs)
	sendRequest(conn, r)
	then(n)
	if status := requireResponse(t, conn, "a request behind a crowd"); status != http.StatusOK &&
		status != http.StatusServiceUnavailable {
		t.Errorf("response to a request behind a crowd: status %d, want 200 or 503", status)
	}
}

// Guards against a request that is read and never answered on a connection whose previous response had a deadline for
// its writing: that deadline must not apply to a rejection, whose request has no deadline of its own.
func TestRejectionIsWrittenAfterTheWriteDeadlineOfThePreviousResponse(t *testing.T) {
	n, _ := startReadyNode(t, testkit.NewRecordingServer(t, testkit.OK))
	conn := n.dial()
	setTestDeadline(conn)
	first := n.newRequest("read")
	first.Header.Set("X-Timeout-Ms", "1000")
	sendRequest(conn, first)
	if status := requireResponse(t, conn, "the first request"); status != http.StatusOK {
		t.Fatalf("response to the first request: status %d, want 200", status)
	}
	passed := time.Now().Add(time.Second + writeTimeout)
	testkit.WaitUntil(t, "the write deadline to pass", func() bool { return time.Now().After(passed) })
	invalid := n.newRequest("read")
	invalid.Header.Del("X-Request-ID")
	sendRequest(conn, invalid)
	if status := requireResponse(t, conn, "an invalid request"); status != http.StatusBadRequest {
		t.Errorf("response to an invalid request: status %d, want 400", status)
	}
}

// Guards against a server that is told more time than the client has left, because the request has waited where the node
// did not count it: in the accept queue of a node that was paused, for instance.
func TestTimeBeforeTheAcceptCountsAgainstTheTimeout(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	s := startHandler(t, server.Endpoint("s-0"))
	listener := testkit.Listen(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	closeAtTestEnd(t, client)
	setTestDeadline(client)
	r := s.newRequest("read")
	r.Header.Set("X-Timeout-Ms", shortTimeoutMs)
	sendRequest(client, r)
	passed := time.Now().Add(shortTimeout)
	testkit.WaitUntil(t, "the client's timeout to pass", func() bool { return time.Now().After(passed) })

	conns := downstream.NewConns(downstreamConfig(fewSockets, 0))
	srv := newHandler(s.handler.cfg, s.loop.loop, conns).server()
	go func() { _ = srv.Serve(conns.NewListener(listener)) }() // Serve returns when srv is closed
	closeAtTestEnd(t, srv)
	if status := requireResponse(t, client, "a request after its timeout"); status != http.StatusServiceUnavailable {
		t.Errorf("response to a request after its timeout: status %d, want 503", status)
	}
	if sent := len(server.Requests); sent != 0 {
		t.Errorf("requests that the server received: got %d, want 0", sent)
	}
}
