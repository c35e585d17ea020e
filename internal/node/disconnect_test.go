package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/downstream"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestClientGone(t *testing.T) {
	left := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Silent(left))
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.request("read").Write(nc); err != nil {
		t.Fatal(err)
	}
	testkit.Wait(t, b.Requests, "the request")
	nc.Close()
	testkit.Wait(t, left, "the attempt to be given up")
}

// A client leaves while its request is held for want of room: it is never sent.
func TestClientLeavesWhileHeld(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
	l := loopOf(t, b.Endpoint("s-0"))
	go l.submit(t.Context(), l.newRequest(2, staysConnected))
	testkit.Wait(t, b.Requests, "the first one")
	leaves, leave := context.WithCancel(t.Context())
	go l.submit(leaves, l.newRequest(2, staysConnected))
	l.open(t, 2, 1)
	leave()
	l.open(t, 1, 1)
	close(release)
	l.open(t, 0, 0)
	if len(b.Requests) > 0 {
		t.Error("the request of a client that left was sent")
	}
}

// The same with the news of its leaving behind others in the queue: what the socket says
// at the last moment counts.
func TestClientLeavesUnheard(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
	l := loopOf(t, b.Endpoint("s-0"))
	go l.submit(t.Context(), l.newRequest(2, staysConnected))
	testkit.Wait(t, b.Requests, "the first one")
	cs := downstream.NewConns(downstreamConfig(5, 0))
	client, c := accepted(t, cs)
	c.RequestComplete()
	over := make(chan bool)
	go func() {
		_, err := l.submit(t.Context(), l.newRequest(2, c.ClientDisconnected)) // its context tells nothing
		over <- err == nil
	}()
	l.open(t, 2, 1)
	io.WriteString(client, strings.Repeat("more ", 1000)) // bytes ahead hide the end
	client.Close()
	sees(t, c.Conn, sockstate.Readable)
	close(release)
	if testkit.Wait(t, over, "the end of the request") {
		t.Error("a client that left got an answer")
	}
	l.open(t, 0, 0)
	if len(b.Requests) > 0 {
		t.Error("the request of a client that left was sent")
	}
}

// A client leaves while a connection for its request is opened, which then comes up late.
func TestClientLeavesWhileAConnectionIsOpened(t *testing.T) {
	t.Parallel()
	far := testkit.NewStuckServer(t)
	l := loopOf(t, far.Endpoint("s-0"))
	leaves, leave := context.WithCancel(t.Context())
	closed := func() bool { return leaves.Err() != nil }
	go l.submit(context.Background(), l.newRequest(2, closed)) // net/http has not seen it
	l.open(t, 1, 1)
	leave()
	said := far.Admit()
	l.open(t, 0, 0)
	if len(said) > 0 {
		t.Errorf("%q was sent", <-said)
	}
}

// A client leaves between two attempts: the second is not made.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	bs := firstFails(t, testkit.ServerError)
	l := loopOf(t, bs[0].Endpoint("s-0"), bs[1].Endpoint("s-1"))
	leaves, leave := context.WithCancel(t.Context())
	go l.submit(leaves, l.newRequest(0, staysConnected))
	sends := func() int { return len(bs[0].Requests) + len(bs[1].Requests) }
	for end := time.Now().Add(testkit.Patience); sends() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	l.open(t, 1, 0)
	leave()
	l.open(t, 0, 0)
	if n := sends(); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
}

// A client sends more behind its request and goes: its attempt is given up all the same.
func TestClientSendsAheadAndGoes(t *testing.T) {
	left := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Silent(left))
	n := start(t, testConfig(t, testkit.NewRegistry(t, b.Endpoint("s-0")), deadlines(600000)))
	n.waitReady(http.StatusOK)
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "600000")
	r.Write(nc)
	testkit.Wait(t, b.Requests, "the request")
	io.WriteString(nc, strings.Repeat("x", 5000))
	nc.Close()
	testkit.Wait(t, left, "the attempt to be given up")
}

// A client leaves while a connection for its first or its second attempt is being opened,
// which comes up before the loop has heard: nothing is written on it.
func TestClientLeavesBeforeALateConnection(t *testing.T) {
	for name, attempt := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far, bad := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError)
			s := serve(t, []endpoint.Endpoint{far.Endpoint("s-0"), bad.Endpoint("s-1")}[attempt])
			l := s.loop
			client := s.asks("read", "")
			if attempt > 0 {
				testkit.Wait(t, bad.Requests, "the first attempt")
				l.open(t, 1, 0)
				l.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{far.Endpoint("s-0")})
				l.post(eventFunc(l.due))
			}
			l.open(t, 1, 1)
			reached, release := l.hold(t)
			testkit.Wait(t, reached, "the loop")
			r := l.requests[l.lastID]
			client.Close()
			s.shows(client)
			said := far.Admit()
			s.up(1, far.Addr())
			release()
			s.forgotten()
			if n := begun(r); len(r.attempts) != attempt+1 || n != attempt || len(said) > 0 {
				t.Errorf("%d of %d attempts began, want %d", n, len(r.attempts), attempt)
			}
		})
	}
}

// A client leaves with a part of its request sent: there never is a request.
func TestPartsOfARequestAreNeverSent(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := serve(t, b.Endpoint("s-0"))
	whole := s.text("pay")
	for name, part := range map[string]string{
		"nothing": "", "half of the head": whole[:len(whole)/2], "the head": whole[:strings.Index(whole, "{")],
		"half of the body": whole[:len(whole)-3],
	} {
		for way, leave := range map[string]func(nc *net.TCPConn){
			"closes": func(nc *net.TCPConn) { nc.Close() }, "resets": func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
			"ends its sending": func(nc *net.TCPConn) { nc.CloseWrite() },
		} {
			client := s.dial().(*net.TCPConn)
			io.WriteString(client, part)
			leave(client)
			testkit.Until(t, "the end of the connection", func() bool {
				c := s.conn(client)
				return c != nil && c.Closed()
			})
			if len(b.Requests) > 0 || s.loop.lastID > 0 {
				t.Errorf("%s, %s: taken for a request", name, way)
			}
		}
	}
}
