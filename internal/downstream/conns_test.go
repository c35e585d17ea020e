package downstream

import (
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxReadAhead is what the tests' connections keep of a client that sends on.
const maxReadAhead = 80 << 10

// readTimeout is short: a test waits for it.
const readTimeout = 2 * time.Second

func newTestConns(maxOpen int) *Conns {
	return NewConns(Config{
		MaxOpen: maxOpen, MaxReadAhead: maxReadAhead, ReadTimeout: readTimeout, LingerTimeout: DefaultLingerTimeout,
	})
}

// waitForState waits until a connection shows a state.
func waitForState(t *testing.T, nc net.Conn, want sockstate.State) {
	t.Helper()
	testkit.Until(t, "the connection to be "+want.String(), func() bool { return sockstate.Peek(nc) == want })
}

// What a connection that was shut had still to be read counts as not read: to
// answer it is nobody's any more. Its place is given back once.
func TestShutWhileRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newTestConns(1)
	capped := admittingListener{l, conns}
	defer capped.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := capped.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns.mu.Lock()
	nc.(*Conn).phase = phaseClosed // as by one that reads at the same time
	conns.mu.Unlock()
	io.WriteString(client, "GET")
	if n, err := nc.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	nc.Close()
	if conns.open != 1 {
		t.Errorf("%d places are taken, want the one that shut gives back", conns.open)
	}
	nc.(*Conn).Conn.Close()
}

// A client that has spoken while this node was too busy to listen is not silent.
func TestSpokenIsNotSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	capped := admittingListener{l, newTestConns(1)}
	defer capped.Close()
	dial := func(say string) net.Conn {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		io.WriteString(client, say)
		nc, err := capped.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	dial("GET /read")
	began := time.Now()
	dial("")
	if took := time.Since(began); took < partialGracePeriod {
		t.Errorf("the first one was shut after %v like a silent one", took)
	}
	began = time.Now()
	dial("")
	if took := time.Since(began); took < silentGracePeriod {
		t.Errorf("a silent one was shut after %v", took)
	}
}

// The time of an idle connection, or of a request's bytes, ends as bytes arrive: they are read
// and served, or left sockstate.Readable by a node that closes; none is read and dropped.
func TestReadTimeEndsAsBytesArrive(t *testing.T) {
	past, p := time.Unix(1, 0), make([]byte, 10)
	for name, state := range map[string]func(cs *Conns, c *Conn){
		"new":    func(*Conns, *Conn) {},
		"idle":   func(cs *Conns, c *Conn) { c.RequestComplete(); cs.ConnState(c, http.StateIdle) },
		"partly": func(cs *Conns, c *Conn) { cs.mu.Lock(); defer cs.mu.Unlock(); cs.setPhase(c, phaseReadingHead) },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newTestConns(5)
			client, c := acceptConn(t, cs)
			state(cs, c)
			ended := make(chan error, 1)
			go func() { _, err := c.Read(make([]byte, 10)); ended <- err }()
			c.SetReadDeadline(past)
			if err := testkit.Wait(t, ended, "the reader"); !testkit.IsTimeout(err) {
				t.Fatalf("reading ended with %v", err)
			}
			io.WriteString(client, "GET")
			waitForState(t, c.Conn, sockstate.Readable)
			if n, err := c.Read(p); n != 0 || !testkit.IsTimeout(err) || sockstate.Peek(c.Conn) != sockstate.Readable {
				t.Errorf("%d bytes and %v after its time", n, err)
			}
			c.SetReadDeadline(time.Time{})
			if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
				t.Errorf("read %q, %v", p[:n], err)
			}
		})
	}
}

// A request's time counts from its first byte, also on an idle connection, of which net/http
// takes four to be a request: before that it would end with the idle time, too soon or too late.
func TestFirstByteBeginsARequestsTime(t *testing.T) {
	t.Parallel()
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	c.RequestComplete()
	cs.ConnState(c, http.StateIdle)
	c.SetReadDeadline(time.Now().Add(time.Hour)) // as net/http would by its idle time
	io.WriteString(client, "G")
	if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	ended := make(chan error, 1)
	go func() { _, err := c.Read(make([]byte, 10)); ended <- err }()
	if err := testkit.Wait(t, ended, "the end of the request's time"); !testkit.IsTimeout(err) {
		t.Errorf("reading ended with %v", err)
	}
}

// What comes ahead of an answer is kept, as much as a request may have, and read behind
// it; a client that goes on and on is given up.
func TestBytesAheadAreBounded(t *testing.T) {
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	c.RequestComplete()
	io.WriteString(client, "next")
	waitForState(t, c.Conn, sockstate.Readable)
	if c.ClientDisconnected() {
		t.Fatal("taken for gone")
	}
	cs.ConnState(c, http.StateIdle)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "next" || err != nil {
		t.Fatalf("read %q, %v", p[:n], err)
	}
	c.RequestComplete()
	go io.WriteString(client, strings.Repeat("x", 4*maxReadAhead))
	for end := time.Now().Add(testkit.Patience); !c.ClientDisconnected(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("kept without an end")
		}
	}
	if len(c.readAhead) > maxReadAhead+4096 {
		t.Errorf("%d bytes are kept", len(c.readAhead))
	}
}

// A client asks on its idle connection and closes it at once: the request is read, and by
// the last look nobody waits for it.
func TestClientAsksAndGoesAtOnce(t *testing.T) {
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	c.RequestComplete()
	cs.ConnState(c, http.StateIdle)
	io.WriteString(client, "GET")
	client.Close()
	waitForState(t, c.Conn, sockstate.Readable)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
		t.Fatalf("read %q, %v", p[:n], err)
	}
	c.RequestComplete()
	waitForState(t, c.Conn, sockstate.Closed)
	if !c.ClientDisconnected() {
		t.Error("the client is not seen to be gone")
	}
}

// The last look of an attempt that lost its race (its request has an answer: a hedged request
// whose connection comes up just then) or that comes in the end of a stop leaves what the
// client sends next alone, and still sees that it left.
func TestLastLookLeavesTheNextRequestAlone(t *testing.T) {
	for name, state := range map[string]func(cs *Conns, c *Conn){
		"between two requests": func(cs *Conns, c *Conn) { cs.ConnState(c, http.StateIdle) },
		"as the node ends":     func(cs *Conns, _ *Conn) { cs.StopReading() },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newTestConns(5)
			client, c := acceptConn(t, cs)
			c.RequestComplete()
			state(cs, c)
			if c.ClientDisconnected() {
				t.Error("a silent client is taken for gone")
			}
			io.WriteString(client, "GET")
			waitForState(t, c.Conn, sockstate.Readable)
			if c.ClientDisconnected() || sockstate.Peek(c.Conn) != sockstate.Readable {
				t.Error("the next request was read, or its client is taken for gone")
			}
			if cs.Drain(canceledContext()); c.phase == phaseClosed {
				t.Error("the connection was shut as idle with a request on it")
			}
		})
	}
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	c.RequestComplete()
	cs.StopReading()
	client.Close()
	waitForState(t, c.Conn, sockstate.Closed)
	if !c.ClientDisconnected() {
		t.Error("in the end of a stop a client that left is not seen to be gone")
	}
}

// A client sends on right behind its request's last byte and leaves. net/http, which watches
// for that by reading a single byte, may come before the request is known to be whole: it is
// handed none, or it would stop watching and an attempt that is out would not be given up.
func TestWatchForTheClientIsHandedNothing(t *testing.T) {
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	io.WriteString(client, "head")
	p := make([]byte, 2)
	for _, want := range []string{"he", "a", "d"} { // of a head any piece is handed on
		if n, err := c.Read(p[:len(want)]); string(p[:n]) != want || err != nil {
			t.Fatalf("read %q, %v", p[:n], err)
		}
	}
	cs.ConnState(c, http.StateActive)
	io.WriteString(client, "body and more")
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("read %d bytes of the body, %v", n, err)
	}
	client.Close()
	if n, err := c.Read(p[:1]); n != 0 || err != io.EOF {
		t.Errorf("the watch got %d bytes, %v", n, err)
	}
	if string(c.readAhead) != " and more" {
		t.Errorf("%q is kept for the next request", c.readAhead)
	}
}

// A stop, or a newcomer over the cap, shuts idle connections; one whose client asks just
// then is not idle any more, though nobody has read a byte of it yet.
func TestIdleConnectionAsksAsItIsShut(t *testing.T) {
	for name, shut := range map[string]func(cs *Conns, c *Conn){
		"by a stop":        func(cs *Conns, c *Conn) { cs.Drain(canceledContext()) },
		"after its answer": func(cs *Conns, c *Conn) { c.RequestComplete(); cs.draining = true; cs.ConnState(c, http.StateIdle) },
		"by a newcomer": func(cs *Conns, c *Conn) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if first, _ := cs.evictionCandidate(); first != c || first.phase != phaseReadingHead {
				t.Errorf("the connection that makes room is %v", first)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			cs := newTestConns(5)
			client, c := acceptConn(t, cs)
			c.RequestComplete()
			cs.ConnState(c, http.StateIdle)
			io.WriteString(client, "GET")
			waitForState(t, c.Conn, sockstate.Readable)
			shut(cs, c)
			p := make([]byte, 10)
			if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
				t.Errorf("read %q, %v", p[:n], err)
			}
		})
	}
	cs := newTestConns(5) // and one that says nothing is shut
	_, c := acceptConn(t, cs)
	c.RequestComplete()
	cs.ConnState(c, http.StateIdle)
	cs.Drain(canceledContext())
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection outlasts a stop")
	}
}

// A request that comes as the node ends, after its last answers, is left sockstate.Readable, so that its
// client asks elsewhere; one that was read by then is answered.
func TestRequestAsTheNodeEnds(t *testing.T) {
	for name, state := range map[string]func(cs *Conns, c *Conn){
		"on a new connection":    func(*Conns, *Conn) {},
		"between two requests":   func(cs *Conns, c *Conn) { c.RequestComplete(); cs.ConnState(c, http.StateIdle) },
		"right behind an answer": func(cs *Conns, c *Conn) { c.RequestComplete() },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newTestConns(5)
			client, c := acceptConn(t, cs)
			state(cs, c)
			cs.StopReading()
			io.WriteString(client, "GET")
			waitForState(t, c.Conn, sockstate.Readable)
			cs.ConnState(c, http.StateIdle)
			if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
				t.Errorf("read %d bytes, %v", n, err)
			}
			if sockstate.Peek(c.Conn) != sockstate.Readable {
				t.Error("the bytes were read")
			}
		})
	}
	cs := newTestConns(5)
	client, c := acceptConn(t, cs)
	c.RequestComplete()
	io.WriteString(client, "GET")
	waitForState(t, c.Conn, sockstate.Readable)
	if c.ClientDisconnected() {
		t.Fatal("taken for gone") // and the bytes are read
	}
	cs.StopReading()
	cs.ConnState(c, http.StateIdle)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
		t.Errorf("read %q, %v", p[:n], err)
	}
}

// acceptConn gives both ends of a connection that counts, in place of an idle one.
func acceptConn(t *testing.T, conns *Conns) (client net.Conn, node *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	capped := admittingListener{l, conns}
	t.Cleanup(func() { capped.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := capped.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return client, nc.(*Conn)
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
