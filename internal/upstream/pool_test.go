package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func TestRefusedConnectionIsConnectFailedAndFreesCapacity(t *testing.T) {
	pool, id := newPoolWithServer(testPoolConfig(), testkit.FreeAddr(t))
	expectAttemptStatus(t, pool, id, policy.StatusConnectFailed)
	expectOpenConnections(t, pool, 0)
}

// Nothing is sent on a connection that is established after the connect timeout.
func TestConnectTimeoutSendsNothingAndFreesCapacity(t *testing.T) {
	t.Parallel()
	server := testkit.NewFullAcceptQueueServer(t)
	config := testPoolConfig()
	config.ConnectTimeout = 50 * time.Millisecond
	pool, id := newPoolWithServer(config, server.Addr().String())
	expectAttemptStatus(t, pool, id, policy.StatusConnectFailed)

	received := server.AcceptAll()
	later, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(later)
	if _, err := io.WriteString(later, "later"); err != nil {
		t.Fatal(err)
	}
	if text := testkit.Receive(t, received, "bytes on the later connection"); text != "later" {
		t.Errorf("bytes received by the server: got %q, want only those of the later connection", text)
	}
	expectOpenConnections(t, pool, 0)
}

func TestIdleConnectionIsClosedAfterTheIdleTimeout(t *testing.T) {
	server := testkit.NewScriptedServer(t, okResponse, testkit.KeepAlive)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address)
	pool.maxIdleTime = 20 * time.Millisecond
	go pool.EnforceIdleTimeout(t.Context())

	send(t.Context(), pool, id, newTestRequest())

	testkit.Receive(t, server.Conns, "a connection")
	testkit.WaitUntil(t, "the idle connection to be closed", func() bool { return pool.Stats().Open == 0 })
}

// An attempt at the connection limit has the status StatusNotSent rather than StatusConnectFailed: the server is not
// at fault.
func TestAttemptIsNotSentAtTheConnectionLimit(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	config := testPoolConfig()
	config.MaxOpen = 1
	pool, id := newPoolWithServer(config, server.Address())
	pool.open = 1 // one connection is in use

	expectAttemptStatus(t, pool, id, policy.StatusNotSent)
}

func TestIdleConnectionIsEvictedAtTheConnectionLimit(t *testing.T) {
	config := testPoolConfig()
	config.MaxOpen = 1
	pool, id := newPoolWithServer(config, testkit.NewRecordingServer(t, testkit.OK).Address())
	other := endpoint.Endpoint{
		ID: 2, Address: testkit.NewRecordingServer(t, testkit.OK).Address(), State: policy.EndpointReady,
	}
	pool.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{other})
	for _, target := range []policy.ServerID{id, other.ID, id} {
		expectAttemptStatus(t, pool, target, policy.StatusOK)
	}
}

// After its response, a server may close the connection or send more bytes. Either takes a moment to
// become visible. A request that is written before then would be lost or would get a wrong response.
func TestConnectionIsNotReusedWithinTheReuseDelay(t *testing.T) {
	const surplusResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, afterResponse := range map[string]func(conn net.Conn){
		"connection closed": func(conn net.Conn) { closeQuietly(conn) },
		"second response":   func(conn net.Conn) { writeQuietly(conn, surplusResponse) },
		"invalid bytes":     func(conn net.Conn) { writeQuietly(conn, "\x00\x01") },
	} {
		t.Run(name, func(t *testing.T) {
			testReuseDelay(t, afterResponse)
		})
	}
}

// testReuseDelay checks that a connection is not reused before the effect of afterResponse is visible.
func testReuseDelay(t *testing.T, afterResponse func(conn net.Conn)) {
	t.Helper()
	received, applied := make(chan struct{}), make(chan struct{}) // signals after a response and after its effect
	server := testkit.NewRecordingServer(t, hijackHandler(func(conn net.Conn) {
		writeQuietly(conn, okResponse)
		select {
		case <-received: // the effect arrives later than the response, but within the reuse delay
			afterResponse(conn)
			applied <- struct{}{}
		case <-t.Context().Done():
		}
		<-t.Context().Done() // keeps the connection open until the end of the test
	}))
	config := testPoolConfig()
	config.ReuseDelay = time.Hour
	pool, id := newPoolWithServer(config, server.Address())
	expectServed := func() {
		t.Helper()
		result := send(t.Context(), pool, id, newTestRequest())
		if result.Status != policy.StatusOK || string(result.Body) != "hi" {
			t.Errorf("attempt: got status %v, body %q; want %v, %q", result.Status, result.Body, policy.StatusOK, "hi")
		}
	}

	expectServed()
	expectServed() // on a new connection, because the reuse delay of the first has not passed
	for range 2 {
		received <- struct{}{}
		testkit.Receive(t, applied, "the effect on a connection")
	}
	pool.config.ReuseDelay = 0

	expectServed()                    // on a new connection: the first two are closed or have unread bytes
	expectOpenConnections(t, pool, 1) // only the connection of the last attempt
}
