package node

import (
	"bufio"
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

// Hundreds of connections on which nothing comes, or a part of a request, must not keep usual
// clients from being served, and are closed themselves before long.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	n := startWithFewSockets(t, testkit.NewBackend(t, testkit.OK))
	var flood []net.Conn
	for i := range 150 {
		nc := n.dial()
		if i%3 == 0 {
			send(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Req")
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
			t.Fatal("a silent connection stays open")
		}
	}
}

// Clients that make one request and keep their connection are evicted at once. If new clients
// waited until a connection has been idle for seconds, a crowd of them would wait behind one
// another until all have disconnected.
func TestIdleConnectionsAreEvictedAtOnce(t *testing.T) {
	n := startWithFewSockets(t, testkit.NewBackend(t, testkit.OK))
	began := time.Now()
	for range 200 {
		if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d although others are idle", resp.StatusCode)
		}
	}
	if took := time.Since(began); took > testkit.WaitTimeout/2 {
		t.Errorf("served after %v: new clients wait for others to age", took)
	}
}

// Where every connection has a request in flight a further client is rejected with
// Retry-After, and past the reserve it is closed.
func TestClientsOverTheConnectionLimitAreRejected(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		testkit.OK(w, r)
	})
	n := startWithFewSockets(t, b)
	var busy []net.Conn
	for range 20 { // some of the requests may be queued: their connections are in use all the same
		nc := n.dial()
		if err := n.request("read").Write(nc); err != nil {
			t.Fatal(err)
		}
		busy = append(busy, nc)
	}
	rejected := n.askUntilRejected()
	if !rejected.Close || rejected.Header.Get("Retry-After") == "" {
		t.Errorf("close %v, headers %v", rejected.Close, rejected.Header)
	}
	close(release)
	for _, nc := range busy {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("one in flight ended with %v, %v", resp, err)
		}
	}
}

// askUntilRejected makes requests on new connections until one is rejected, and returns that
// response.
func (n *testNode) askUntilRejected() (rejected *http.Response) {
	n.t.Helper()
	testkit.Until(n.t, "a rejection over the limit", func() bool {
		rejected = n.roundTrip(n.dial())
		return rejected.StatusCode == http.StatusServiceUnavailable
	})
	return rejected
}

// A client that sends requests but reads nothing must not keep its connection past its
// deadline: the node closes it.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(nc)
	limitToPatience(nc)
	for err == nil {
		r := n.request("read")
		r.Header.Set("X-Timeout-Ms", "1000")
		err = r.Write(nc)
	}
	if testkit.IsTimeout(err) {
		t.Error("the node keeps the connection")
	}
}

// Many clients send noise, half a request or hundreds at once, and disconnect or stay: others are
// served between them, and no connection or request stays behind.
func TestAbusiveClientsLeaveNoConnectionsBehind(t *testing.T) {
	s := startHandler(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
	n, f := s.testNode, s.handler
	var one strings.Builder
	sendRequest(&one, n.request("read"))
	var open []net.Conn
	for i := range 60 {
		nc := n.dial()
		switch open = append(open, nc); i % 6 {
		case 0:
			send(nc, "\x00\xff noise\r\n\r\n")
		case 1:
			send(nc, one.String()[:40])
		case 2, 3:
			for range 300 {
				sendRequest(nc, n.request("read"))
			}
			if i%6 == 3 {
				closeConn(nc)
			}
		case 4:
			send(nc, strings.Repeat("x", 2*(maxHeader+maxBody)))
			closeConn(nc)
		default:
			if resp := n.roundTrip(nc); resp.StatusCode != http.StatusOK {
				t.Errorf("a good one got status %d", resp.StatusCode)
			}
		}
	}
	for _, nc := range open {
		closeConn(nc)
	}
	f.awaitNoConns(t)
}

// Requests in flight use every connection to servers that a small node may have: each further
// one is answered, served where a connection becomes free in time, and rejected otherwise.
func TestRequestsAtTheServerConnectionLimit(t *testing.T) {
	for _, freed := range []bool{true, false} {
		for class, name := range []string{"read", "push", "pay"} {
			t.Run(fmt.Sprintf("%s, freed %v", name, freed), func(t *testing.T) {
				t.Parallel()
				testRequestAtTheServerConnectionLimit(t, class, freed)
			})
		}
	}
}

func testRequestAtTheServerConnectionLimit(t *testing.T, class int, freed bool) {
	t.Helper()
	release := make(chan struct{})
	server := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
	var list []endpointjson.Endpoint
	for i := range 40 { // more than the limit, so that none is at its own limit
		list = append(list, server.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	l := startLoopWith(t, func(pool *upstream.Config) { pool.MaxOpen = 2 }, list...)
	var inFlight []<-chan response
	for range 2 {
		inFlight = append(inFlight, l.submitAsync(t.Context(), l.newRequest(0, staysConnected)))
		testkit.Wait(t, server.Requests, "a request in flight")
	}
	last := l.newRequest(class, staysConnected)
	last.deadline = l.clock.now() + 4*time.Second
	further := l.submitAsync(t.Context(), last)
	want := http.StatusServiceUnavailable
	if freed {
		want = http.StatusOK
		testkit.Until(t, "an attempt", func() (attempted bool) {
			l.inLoop(t, func() { attempted = len(last.attempts) > 0 })
			return attempted
		})
		close(release)
	}
	if x := testkit.Wait(t, further, "the further request's response"); x.status != want {
		t.Errorf("status %d, want %d", x.status, want)
	}
	if !freed {
		if len(server.Requests) > 0 {
			t.Error("it was sent")
		}
		close(release)
	}
	for _, done := range inFlight {
		if x := testkit.Wait(t, done, "the response of one in flight"); x.status != http.StatusOK {
			t.Errorf("one in flight gets status %d", x.status)
		}
	}
	l.awaitRequests(t, 0, 0)
	if x := testkit.Wait(t, l.submitAsync(t.Context(), l.newRequest(class, staysConnected)), "a response"); x.status != http.StatusOK {
		t.Errorf("status %d once connections are free", x.status)
	}
}
