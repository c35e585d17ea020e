package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client leaves while its request is held for want of room: it is never sent.
func TestClientLeavesWhileHeld(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; ok(w, r) })
	l := loopOf(t, b.instance("s-0"))
	go l.do(t.Context(), l.ofClass(2, present))
	wait(t, b.got, "the first one")
	leaves, leave := context.WithCancel(t.Context())
	go l.do(leaves, l.ofClass(2, present))
	l.open(t, 2, 1)
	leave()
	l.open(t, 1, 1)
	close(release)
	l.open(t, 0, 0)
	if len(b.got) > 0 {
		t.Error("the request of a client that left was sent")
	}
}

// The same with the news of its leaving behind others in the queue: what the socket says
// at the last moment counts.
func TestClientLeavesUnheard(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; ok(w, r) })
	l := loopOf(t, b.instance("s-0"))
	go l.do(t.Context(), l.ofClass(2, present))
	wait(t, b.got, "the first one")
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	over := make(chan bool)
	go func() {
		_, ok := l.do(t.Context(), l.ofClass(2, c.gone)) // its context tells nothing
		over <- ok
	}()
	l.open(t, 2, 1)
	io.WriteString(client, strings.Repeat("more ", 1000)) // bytes ahead hide the end
	client.Close()
	sees(t, c.Conn, unread)
	close(release)
	if wait(t, over, "the end of the request") {
		t.Error("a client that left got an answer")
	}
	l.open(t, 0, 0)
	if len(b.got) > 0 {
		t.Error("the request of a client that left was sent")
	}
}

// A client leaves while a connection for its request is opened, which then comes up late.
func TestClientLeavesWhileAConnectionIsOpened(t *testing.T) {
	t.Parallel()
	far := newStuck(t)
	l := loopOf(t, far.instance("s-0"))
	leaves, leave := context.WithCancel(t.Context())
	unread := func() bool { return leaves.Err() != nil }
	go l.do(context.Background(), l.ofClass(2, unread)) // net/http has not seen it
	l.open(t, 1, 1)
	leave()
	said := far.letIn()
	l.open(t, 0, 0)
	if len(said) > 0 {
		t.Errorf("%q was sent", <-said)
	}
}

// A client leaves between two attempts: the second is not made.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	bs := firstFails(t, serverError)
	l := loopOf(t, bs[0].instance("s-0"), bs[1].instance("s-1"))
	leaves, leave := context.WithCancel(t.Context())
	go l.do(leaves, l.ofClass(0, present))
	sends := func() int { return len(bs[0].got) + len(bs[1].got) }
	for end := time.Now().Add(patience); sends() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
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
	b := newBackend(t, silent(left))
	n := start(t, testConfig(t, newRegistry(t, b.instance("s-0")), deadlines(600000)))
	n.waitReady(http.StatusOK)
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "600000")
	r.Write(nc)
	wait(t, b.got, "the request")
	io.WriteString(nc, strings.Repeat("x", 5000))
	nc.Close()
	wait(t, left, "the attempt to be given up")
}

// What comes ahead of an answer is kept, as much as a request may have, and read behind
// it; a client that goes on and on is given up.
func TestBytesAheadAreBounded(t *testing.T) {
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	io.WriteString(client, "next")
	sees(t, c.Conn, unread)
	if c.gone() {
		t.Fatal("taken for gone")
	}
	cs.state(c, http.StateIdle)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "next" || err != nil {
		t.Fatalf("read %q, %v", p[:n], err)
	}
	c.whole()
	go io.WriteString(client, strings.Repeat("x", 4*maxAhead))
	for end := time.Now().Add(patience); !c.gone(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("kept without an end")
		}
	}
	if len(c.ahead) > maxAhead+4096 {
		t.Errorf("%d bytes are kept", len(c.ahead))
	}
}

// A client asks on its idle connection and closes it at once: the request is read, and by
// the last look nobody waits for it.
func TestClientAsksAndGoesAtOnce(t *testing.T) {
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	cs.state(c, http.StateIdle)
	io.WriteString(client, "GET")
	client.Close()
	sees(t, c.Conn, unread)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
		t.Fatalf("read %q, %v", p[:n], err)
	}
	c.whole()
	sees(t, c.Conn, over)
	if !c.gone() {
		t.Error("the client is not seen to be gone")
	}
}

// The last look of an attempt that lost its race (its request has an answer: a hedged request
// whose connection comes up just then) or that comes in the end of a stop leaves what the
// client sends next alone, and still sees that it left.
func TestLastLookLeavesTheNextRequestAlone(t *testing.T) {
	for name, state := range map[string]func(cs *clientConns, c *clientConn){
		"between two requests": func(cs *clientConns, c *clientConn) { cs.state(c, http.StateIdle) },
		"as the node ends":     func(cs *clientConns, _ *clientConn) { cs.end() },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newClientConns(5, 0)
			client, c := accepted(t, cs)
			c.whole()
			state(cs, c)
			if c.gone() {
				t.Error("a silent client is taken for gone")
			}
			io.WriteString(client, "GET")
			sees(t, c.Conn, unread)
			if c.gone() || peek(c.Conn) != unread {
				t.Error("the next request was read, or its client is taken for gone")
			}
			if cs.drain(ended()); c.shut {
				t.Error("the connection was shut as idle with a request on it")
			}
		})
	}
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	cs.end()
	client.Close()
	sees(t, c.Conn, over)
	if !c.gone() {
		t.Error("in the end of a stop a client that left is not seen to be gone")
	}
}

// A client sends on right behind its request's last byte and leaves. net/http, which watches
// for that by reading a single byte, may come before the request is known to be whole: it is
// handed none, or it would stop watching and an attempt that is out would not be given up.
func TestWatchForTheClientIsHandedNothing(t *testing.T) {
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	io.WriteString(client, "head")
	p := make([]byte, 2)
	for _, want := range []string{"he", "a", "d"} { // of a head any piece is handed on
		if n, err := c.Read(p[:len(want)]); string(p[:n]) != want || err != nil {
			t.Fatalf("read %q, %v", p[:n], err)
		}
	}
	cs.state(c, http.StateActive)
	io.WriteString(client, "body and more")
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("read %d bytes of the body, %v", n, err)
	}
	client.Close()
	if n, err := c.Read(p[:1]); n != 0 || err != io.EOF {
		t.Errorf("the watch got %d bytes, %v", n, err)
	}
	if string(c.ahead) != " and more" {
		t.Errorf("%q is kept for the next request", c.ahead)
	}
}
