package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// SIGKILL comes 0.7 s after the longest deadline, counted as 3 s at most.
func TestStopEndsBeforeTheKill(t *testing.T) {
	for deadline, kill := range map[int]time.Duration{
		160: 860 * time.Millisecond, 3000: 3700 * time.Millisecond, 60000: 3700 * time.Millisecond,
	} {
		span := testConfig(t, newRegistry(t), deadlines(deadline)).stopSpan()
		if span >= kill || span <= kill-300*time.Millisecond {
			t.Errorf("deadline %d ms: stops in %v, killed after %v", deadline, span, kill)
		}
	}
}

// A request whose deadline lies far behind the kill is answered before it all the same.
func TestStopAnswersLongRequestsBeforeTheKill(t *testing.T) {
	t.Parallel()
	b := newBackend(t, silent(make(chan struct{}, 1)))
	d := newRegistry(t, b.instance("s-0"))
	n := start(t, testConfig(t, d, deadlines(60000)))
	n.waitReady(http.StatusOK)
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "60000")
	if err := r.Write(nc); err != nil {
		t.Fatal(err)
	}
	wait(t, b.got, "the request")
	began := time.Now()
	n.stop()
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("answered with %v, %v", resp, err)
	}
	if took := time.Since(began); took >= killCap+killSlack {
		t.Errorf("answered after %v: the node was killed before", took)
	}
	if err := wait(t, n.done, "the end"); err != nil {
		t.Error(err)
	}
}

// A stop finds requests held, at a server whose connection does not come up, sent, and half
// read: each gets its final answer before the kill, the half one once it is whole.
func TestStopAtEachPointOfARequest(t *testing.T) {
	t.Parallel()
	far := newStuck(t)
	b := newBackend(t, silent(make(chan struct{}, 10)))
	for name, c := range map[string]struct {
		server instance
		first  int // requests that go before
	}{
		"held":         {b.instance("s-0"), 5},
		"being opened": {far.instance("s-0"), 0},
		"sent":         {b.instance("s-0"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := start(t, testConfig(t, newRegistry(t, c.server), deadlines(60000)))
			n.waitReady(http.StatusOK)
			var asked []net.Conn
			for range c.first + 1 {
				nc := n.dial()
				r := n.request("pay")
				r.Header.Set("X-Timeout-Ms", "60000")
				if err := r.Write(nc); err != nil {
					t.Fatal(err)
				}
				asked = append(asked, nc)
			}
			began := time.Now()
			n.stop()
			for _, nc := range asked {
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil || resp.StatusCode < 500 {
					t.Fatalf("answered with %v, %v", resp, err)
				}
			}
			if took := time.Since(began); took >= killCap+killSlack {
				t.Errorf("answered after %v", took)
			}
		})
	}
	t.Run("half read", func(t *testing.T) {
		t.Parallel()
		b := newBackend(t, ok)
		n, _ := startReady(t, b)
		nc := n.dial()
		var text strings.Builder
		n.request("pay").Write(&text)
		half := text.Len() - 3
		io.WriteString(nc, text.String()[:half])
		n.stop()
		n.waitReady(http.StatusServiceUnavailable)
		io.WriteString(nc, text.String()[half:])
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answered with %v, %v", resp, err)
		}
	})
}

// What comes after the node has answered all that was open is turned away at once: nobody
// would answer it any more.
func TestRequestBehindTheLastAnswers(t *testing.T) {
	b := newBackend(t, ok)
	l := loopOf(t, b.instance("s-0"))
	l.abandon()
	a, ok := l.do(t.Context(), l.ofClass(2, present))
	if !ok || a.status != http.StatusServiceUnavailable || len(b.got) > 0 {
		t.Errorf("answer %+v, %v; %d sends", a, ok, len(b.got))
	}
}

// A stop, or a newcomer over the cap, shuts idle connections; one whose client asks just
// then is not idle any more, though nobody has read a byte of it yet.
func TestIdleConnectionAsksAsItIsShut(t *testing.T) {
	for name, shut := range map[string]func(cs *clientConns, c *clientConn){
		"by a stop":        func(cs *clientConns, c *clientConn) { cs.drain(ended()) },
		"after its answer": func(cs *clientConns, c *clientConn) { cs.whole(c); cs.draining = true; cs.state(c, http.StateIdle) },
		"by a newcomer": func(cs *clientConns, c *clientConn) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if first, _ := cs.oldest(); first != c || first.in != &cs.partial {
				t.Errorf("the connection that makes room is %v", first)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			cs := newClientConns(5, 0)
			client, c := accepted(t, cs)
			cs.whole(c)
			cs.state(c, http.StateIdle)
			io.WriteString(client, "GET")
			sees(t, c.Conn, unread)
			shut(cs, c)
			p := make([]byte, 10)
			if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
				t.Errorf("read %q, %v", p[:n], err)
			}
		})
	}
	cs := newClientConns(5, 0) // and one that says nothing is shut
	_, c := accepted(t, cs)
	cs.whole(c)
	cs.state(c, http.StateIdle)
	cs.drain(ended())
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection outlasts a stop")
	}
}

func (cs *clientConns) whole(c *clientConn) { c.whole() }

// A request that comes as the node ends, after its last answers, is left unread, so that its
// client asks elsewhere; one that was read by then is answered.
func TestRequestAsTheNodeEnds(t *testing.T) {
	for name, state := range map[string]func(cs *clientConns, c *clientConn){
		"on a new connection":    func(*clientConns, *clientConn) {},
		"between two requests":   func(cs *clientConns, c *clientConn) { c.whole(); cs.state(c, http.StateIdle) },
		"right behind an answer": func(cs *clientConns, c *clientConn) { c.whole() },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newClientConns(5, 0)
			client, c := accepted(t, cs)
			state(cs, c)
			cs.end()
			io.WriteString(client, "GET")
			sees(t, c.Conn, unread)
			cs.state(c, http.StateIdle)
			if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
				t.Errorf("read %d bytes, %v", n, err)
			}
			if peek(c.Conn) != unread {
				t.Error("the bytes were read")
			}
		})
	}
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	io.WriteString(client, "GET")
	sees(t, c.Conn, unread)
	if c.gone() {
		t.Fatal("taken for gone") // and the bytes are read
	}
	cs.end()
	cs.state(c, http.StateIdle)
	p := make([]byte, 10)
	if n, err := c.Read(p); string(p[:n]) != "GET" || err != nil {
		t.Errorf("read %q, %v", p[:n], err)
	}
}
