package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

const (
	// secondResponseDelay is how late a server sends a second copy of a response.
	secondResponseDelay = 6 * time.Millisecond
	// maxSecondResponseDelay is the upper bound of "some milliseconds", by which the operators' servers may be late.
	maxSecondResponseDelay = 10 * time.Millisecond
)

// repeatingServer is a server that responds to each request with its X-Request-ID and sends a second copy of each
// response secondResponseDelay later. It reads no further request before that, as if the request were still on its way.
type repeatingServer struct {
	addr         string
	longestDelay atomic.Int64 // how late a copy was sent at most, as a time.Duration
}

// startRepeatingServer starts a repeatingServer, which stops at the end of the test.
func startRepeatingServer(t *testing.T) *repeatingServer {
	t.Helper()
	listener := testkit.Listen(t)
	s := &repeatingServer{addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve responds to the requests on a connection until the client closes the connection.
func (s *repeatingServer) serve(conn net.Conn) {
	defer closeQuietly(conn)
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		sentAt := time.Now()
		writeQuietly(conn, response)
		time.Sleep(secondResponseDelay)
		writeQuietly(conn, response)
		for delay := int64(time.Since(sentAt)); ; {
			longest := s.longestDelay.Load()
			if delay <= longest || s.longestDelay.CompareAndSwap(longest, delay) {
				break
			}
		}
	}
}

// Guards against a second copy of a response that is served to the client of the next request on the connection,
// because it arrives while that request is on its way to the server.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	const trials = 5
	for trial := range trials {
		server := startRepeatingServer(t)
		foreign := countForeignResponses(t, server)
		if delay := time.Duration(server.longestDelay.Load()); delay >= maxSecondResponseDelay {
			t.Logf("trial %d does not count: this machine delayed a copy for %v", trial, delay)
			continue
		}
		if foreign > 0 {
			t.Errorf("trial %d: got %d responses that belong to another request, want none", trial, foreign)
		}
	}
}

// countForeignResponses sends requests one after another and returns how many got the response to another request.
func countForeignResponses(t *testing.T, server *repeatingServer) int {
	t.Helper()
	const requests = 20
	config := testPoolConfig()
	config.MaxOpen, config.ReuseDelay = requests, DefaultReuseDelay
	pool, id := newPoolWithServer(config, server.addr)
	foreign := 0
	for i := range requests {
		name := fmt.Sprint("request-", i)
		request := newTestRequest()
		request.Header = http.Header{"X-Request-Id": {name}}
		result := send(t.Context(), pool, id, request)
		if result.Status != policy.StatusOK {
			t.Fatalf("status of %s: got %v, want %v", name, result.Status, policy.StatusOK)
		}
		if string(result.Body) != name {
			foreign++
		}
	}
	return foreign
}

// Guards against a new connection for each request that follows a response closely: an attempt waits for a short rest of
// the reuse delay.
func TestAttemptWaitsForTheEndOfTheReuseDelay(t *testing.T) {
	server := testkit.NewScriptedServer(t, okResponse, testkit.KeepAlive)
	config := testPoolConfig()
	config.ReuseDelay = maxReuseWait
	pool, id := newPoolWithServer(config, server.Address)
	for range 3 {
		expectAttemptStatus(t, pool, id, policy.StatusOK)
	}
	if conns := len(server.Conns); conns != 1 {
		t.Errorf("connections for 3 attempts in a row: got %d, want 1", conns)
	}
}

// Guards against a connection that is lost from the pool when its attempt is cancelled within the wait.
func TestCancelledAttemptReturnsItsConnection(t *testing.T) {
	server := testkit.NewScriptedServer(t, okResponse, testkit.KeepAlive)
	config := testPoolConfig()
	config.ReuseDelay = maxReuseWait
	pool, id := newPoolWithServer(config, server.Address)
	expectAttemptStatus(t, pool, id, policy.StatusOK)
	call := NewCall(t.Context(), neverDisconnected)
	call.Cancel()
	pool.Send(call, id, newTestRequest(), clientDeadline())
	if call.Sent() {
		t.Error("Sent() of a cancelled attempt = true, want false")
	}
	if stats := pool.Stats(); stats.Open != 1 || stats.Idle() != 1 {
		t.Errorf("pool after the attempt: got %d connections, %d idle; want 1, 1", stats.Open, stats.Idle())
	}
}

// Guards against a server whose surplus bytes come ever later: after those that were detected, the delay is longer for a
// while.
func TestSurplusBytesExtendTheReuseDelay(t *testing.T) {
	for name, surplus := range map[string]string{"behind the response": okResponse + okResponse, "later": okResponse} {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewScriptedServer(t, surplus, testkit.KeepAlive)
			pool, id := newPoolWithServer(testPoolConfig(), server.Address)
			pool.config.ReuseDelay = time.Hour
			expectAttemptStatus(t, pool, id, policy.StatusOK)
			if name == "later" {
				writeQuietly(testkit.Receive(t, server.Conns, "a connection"), "x")
				pool.config.ReuseDelay = 0
				testkit.WaitUntil(t, "the surplus to arrive", func() bool { return !pool.servers[id].idle[0].readyForRequest() })
				expectAttemptStatus(t, pool, id, policy.StatusOK)
				pool.config.ReuseDelay = time.Hour
			}
			if delay := pool.reuseDelayLocked(pool.servers[id]); delay != surplusDelayFactor*time.Hour {
				t.Errorf("reuse delay after surplus bytes: got %v, want %v", delay, surplusDelayFactor*time.Hour)
			}
			pool.servers[id].surplusAt = time.Now().Add(-surplusPeriod)
			if delay := pool.reuseDelayLocked(pool.servers[id]); delay != time.Hour {
				t.Errorf("reuse delay after surplusPeriod: got %v, want %v", delay, time.Hour)
			}
		})
	}
}
