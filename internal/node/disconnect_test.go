package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/downstream"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestDisconnectCancelsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Unresponsive(cancelled))
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.request("read").Write(nc); err != nil {
		t.Fatal(err)
	}
	testkit.Wait(t, b.Requests, "the request")
	closeConn(nc)
	testkit.Wait(t, cancelled, "the cancelled attempt")
}

// A client disconnects while its request is queued for want of capacity: it is never sent.
func TestQueuedRequestIsNotSentAfterADisconnect(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
	l := startLoop(t, b.Endpoint("s-0"))
	l.submitAsync(t.Context(), l.newRequest(2, staysConnected))
	testkit.Wait(t, b.Requests, "the first one")
	leaves, leave := context.WithCancel(t.Context())
	l.submitAsync(leaves, l.newRequest(2, staysConnected))
	l.awaitRequests(t, 2, 1)
	leave()
	l.awaitRequests(t, 1, 1)
	close(release)
	l.awaitRequests(t, 0, 0)
	if len(b.Requests) > 0 {
		t.Error("the request of a client that disconnected was sent")
	}
}

// The same while the disconnect event waits behind others: the state of the socket just before
// the write counts.
func TestSocketStateStopsARequestBeforeTheDisconnectEvent(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
	l := startLoop(t, b.Endpoint("s-0"))
	l.submitAsync(t.Context(), l.newRequest(2, staysConnected))
	testkit.Wait(t, b.Requests, "the first one")
	cs := downstream.NewConns(downstreamConfig(5, 0))
	client, c := acceptedConn(t, cs)
	c.RequestComplete()
	over := make(chan bool)
	go func() {
		_, err := l.submit(t.Context(), l.newRequest(2, c.ClientDisconnected)) // its context never ends
		over <- err == nil
	}()
	l.awaitRequests(t, 2, 1)
	send(client, strings.Repeat("more ", 1000)) // bytes ahead hide the end
	closeConn(client)
	awaitSocketState(t, c.Conn, sockstate.Readable)
	close(release)
	if testkit.Wait(t, over, "the end of the request") {
		t.Error("a client that disconnected got a response")
	}
	l.awaitRequests(t, 0, 0)
	if len(b.Requests) > 0 {
		t.Error("the request of a client that disconnected was sent")
	}
}

// A client disconnects while a connection for its request is opened, which then comes up late.
func TestAttemptWaitingForAConnectionIsNotSentAfterADisconnect(t *testing.T) {
	t.Parallel()
	far := testkit.NewStuckServer(t)
	l := startLoop(t, far.Endpoint("s-0"))
	leaves, leave := context.WithCancel(t.Context())
	closed := func() bool { return leaves.Err() != nil }
	l.submitAsync(context.Background(), l.newRequest(2, closed)) // net/http has not seen it
	l.awaitRequests(t, 1, 1)
	leave()
	received := far.Admit()
	l.awaitRequests(t, 0, 0)
	if len(received) > 0 {
		t.Errorf("%q was sent", <-received)
	}
}

// A client disconnects between two attempts: the second is not made.
func TestNoRetryAfterADisconnect(t *testing.T) {
	bs := firstRequestFails(t, testkit.ServerError)
	l := startLoop(t, bs[0].Endpoint("s-0"), bs[1].Endpoint("s-1"))
	leaves, leave := context.WithCancel(t.Context())
	l.submitAsync(leaves, l.newRequest(0, staysConnected))
	sends := func() int { return len(bs[0].Requests) + len(bs[1].Requests) }
	for end := time.Now().Add(testkit.WaitTimeout); sends() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	l.awaitRequests(t, 1, 0)
	leave()
	l.awaitRequests(t, 0, 0)
	if n := sends(); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
}

// A client sends more behind its request and disconnects: its attempt is cancelled all the same.
func TestDisconnectBehindReadAheadCancelsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Unresponsive(cancelled))
	n := start(t, testConfig(t, testkit.NewRegistry(t, b.Endpoint("s-0")), withDeadlines(600000)))
	n.waitReady(http.StatusOK)
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "600000")
	sendRequest(nc, r)
	testkit.Wait(t, b.Requests, "the request")
	send(nc, strings.Repeat("x", 5000))
	closeConn(nc)
	testkit.Wait(t, cancelled, "the cancelled attempt")
}

// A client disconnects while a connection for its first or its second attempt is being opened,
// which comes up before the disconnect event: nothing is written on it.
func TestLateConnectionIsNotUsedAfterADisconnect(t *testing.T) {
	for name, attempt := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far, bad := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError)
			s := startHandler(t, []endpointjson.Endpoint{far.Endpoint("s-0"), bad.Endpoint("s-1")}[attempt])
			l := s.loop
			client := s.sendOnNewConn("read", "")
			if attempt > 0 {
				testkit.Wait(t, bad.Requests, "the first attempt")
				l.awaitRequests(t, 1, 0)
				l.endpoints.UpdateEndpoints(policy.UpdateDelta, endpointjson.TranslateAll([]endpointjson.Endpoint{far.Endpoint("s-0")}))
				l.queue.post(eventFunc(l.advanceClock))
			}
			l.awaitRequests(t, 1, 1)
			reached, release := l.pause(t)
			testkit.Wait(t, reached, "the loop")
			r := l.requests.get(l.requests.lastID)
			closeConn(client)
			s.awaitDisconnect(client)
			received := far.Admit()
			s.awaitIdleConns(1, far.Addr())
			release()
			s.awaitNoRequests()
			if n := startedAttempts(r); len(r.attempts) != attempt+1 || n != attempt || len(received) > 0 {
				t.Errorf("%d of %d attempts began, want %d", n, len(r.attempts), attempt)
			}
		})
	}
}

// A client disconnects with a part of its request sent: there never is a request.
func TestIncompleteRequestIsNeverForwarded(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := startHandler(t, b.Endpoint("s-0"))
	complete := s.requestText("pay")
	for name, part := range map[string]string{
		"nothing": "", "half of the head": complete[:len(complete)/2], "the head": complete[:strings.Index(complete, "{")],
		"half of the body": complete[:len(complete)-3],
	} {
		for way, leave := range map[string]func(nc *net.TCPConn){
			"closes": func(nc *net.TCPConn) { closeConn(nc) }, "resets": func(nc *net.TCPConn) { resetConn(nc) },
			"ends its sending": func(nc *net.TCPConn) { closeWrite(nc) },
		} {
			client := s.dial().(*net.TCPConn)
			send(client, part)
			leave(client)
			testkit.Until(t, "the end of the connection", func() bool {
				c := s.nodeConn(client)
				return c != nil && c.Closed()
			})
			if len(b.Requests) > 0 || s.loop.requests.lastID > 0 {
				t.Errorf("%s, %s: treated as a request", name, way)
			}
		}
	}
}
