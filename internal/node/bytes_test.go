package node

// What arrives in the moment of a close, breaks off, comes very slowly, in floods or too late
// to be dropped as a repeat.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"calicohinge/policy"
)

// Connections come up when a keyed request's window for repeats has passed, or before. Of its
// attempts none is written then, the first one itself included, if another may have run.
func TestRepeatsStayInsideTheirWindow(t *testing.T) {
	t.Parallel()
	const safe, keyed = 0, 1
	for name, c := range map[string]struct {
		class int
		first policy.Status // of the attempt before, Cancelled for one that is still out
		over  bool
		late  int // the attempt whose connection comes up late
		sent  bool
	}{
		"a repeat in time":                    {keyed, policy.ServerError, false, 1, true},
		"a repeat too late":                   {keyed, policy.ServerError, true, 1, false},
		"a hedged request too late":           {keyed, policy.Cancelled, true, 1, false},
		"the first one, too late for a hedge": {keyed, policy.Cancelled, true, 0, false},
		"behind one that never ran":           {keyed, policy.Rejected, true, 1, true},
		"of a safe class":                     {safe, policy.ServerError, true, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far, quiet := newStuck(t), newBackend(t, silent(make(chan struct{}, 1)))
			l := loopOf(t, far.instance("late"), quiet.instance("quiet"))
			l.up.connectTimeout = patience
			r := l.ofClass(c.class, present)
			servers := []policy.ServerID{(&instance{InstanceID: "quiet"}).id(), (&instance{InstanceID: "quiet"}).id()}
			servers[c.late] = (&instance{InstanceID: "late"}).id()
			l.then(t, func() {
				r.id, r.answer = 1000, make(chan answer, 1)
				r.deadline = time.NewTimer(time.Hour)
				l.requests[r.id] = r
				l.Send(r.id, servers[0], 0)
				if c.first != policy.Cancelled {
					l.outcome(l.clock(), r, 0, result{status: c.first})
				}
				if c.over { // by the time that the connection comes up
					r.attempts[0].sent += 20*time.Millisecond - l.classes[keyed].KeyRetention
				}
				l.Send(r.id, servers[1], 0)
			})
			until(t, "the window's end", func() bool { // which is under test
				return !c.over || l.clock() >= r.attempts[0].sent+l.classes[keyed].KeyRetention
			})
			said := far.letIn()
			until(t, "the outcome", func() (told bool) {
				l.then(t, func() { told = r.attempts[c.late].told })
				return told
			})
			if len(said) != map[bool]int{true: 1}[c.sent] {
				t.Errorf("%d sends", len(said))
			}
		})
	}
}

// A server takes a long repeat in so slowly that its last byte would come behind the window:
// it never gets that, and so does not begin it.
func TestRepeatIsNotWrittenPastItsWindow(t *testing.T) {
	t.Parallel()
	small := func(_, _ string, c syscall.RawConn) (err error) { // segments and buffers
		return errors.Join(c.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1024),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 88))
		}), err)
	}
	l, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u, id := upstreamsTo(l.Addr().String())
	o := anyRequest()
	o.body = make([]byte, maxBody)
	c := newCall(t.Context(), present)
	defer c.stop()
	end := time.Now().Add(200 * time.Millisecond)
	c.end.Store(&end)
	ended := make(chan result, 1)
	go func() { ended <- u.send(c, id, o, time.Minute) }()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if res := wait(t, ended, "the end of the attempt"); res.status != policy.ConnectFailed && res.status != policy.NotSent {
		t.Errorf("status %d", res.status)
	}
	nc.SetDeadline(time.Now().Add(patience))
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil || isTimeout(err) {
		t.Errorf("the request came whole or goes on: %v", err)
	}
}

// empty waits until nothing is open but idle connections to servers.
func (f *frontend) empty(t *testing.T) {
	t.Helper()
	f.loop.open(t, 0, 0)
	until(t, "the connections' end", func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		f.loop.up.mu.Lock()
		defer f.loop.up.mu.Unlock()
		busy := f.loop.up.open
		for _, s := range f.loop.up.servers {
			busy -= len(s.idle)
		}
		return f.conns.open == 0 && busy == 0
	})
}

// slowDial gives a connection that takes little in until it is read.
func (n *running) slowDial() net.Conn {
	n.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		}), err)
	}}
	nc, err := d.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return nc
}

// The node gives up a connection behind an answer that its client has not read yet, and bytes
// lie or arrive there: the answer comes whole, and what came behind it stays unread. With the
// client's close the connection is over.
func TestAnswerOutlivesItsConnection(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	for name, c := range map[string]struct{ ahead, behind string }{
		"nothing":     {"", ""},
		"ahead of it": {"GET /", ""},
		"behind it":   {"", "GET /"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, b.instance("s-0"))
			n, f := s.running, s.front
			f.draining.Store(true)
			f.conns.linger = time.Hour
			nc := n.slowDial()
			var asked strings.Builder
			n.request("read").Write(&asked)
			io.WriteString(nc, asked.String()+c.ahead)
			in := bufio.NewReader(nc)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			node := s.conn(nc)
			until(t, "the answer's end", func() bool {
				f.conns.mu.Lock()
				defer f.conns.mu.Unlock()
				return node.last || node.shut
			})
			io.WriteString(nc, c.behind)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || !resp.Close {
				t.Fatalf("%+v, %v", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); string(body) != text {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			if nc.Close(); c.behind == "" {
				f.empty(t)
			}
		})
	}
}

// The time of an idle connection, or of a request's bytes, ends as bytes arrive: they are read
// and served, or left unread by a node that closes; none is read and dropped.
func TestReadTimeEndsAsBytesArrive(t *testing.T) {
	past, p := time.Unix(1, 0), make([]byte, 10)
	for name, state := range map[string]func(cs *clientConns, c *clientConn){
		"new":    func(*clientConns, *clientConn) {},
		"idle":   func(cs *clientConns, c *clientConn) { c.whole(); cs.state(c, http.StateIdle) },
		"partly": func(cs *clientConns, c *clientConn) { cs.mu.Lock(); defer cs.mu.Unlock(); cs.move(c, &cs.partial) },
	} {
		t.Run(name, func(t *testing.T) {
			cs := newClientConns(5, 0)
			client, c := accepted(t, cs)
			state(cs, c)
			ended := make(chan error, 1)
			go func() { _, err := c.Read(make([]byte, 10)); ended <- err }()
			c.SetReadDeadline(past)
			if err := wait(t, ended, "the reader"); !isTimeout(err) {
				t.Fatalf("reading ended with %v", err)
			}
			io.WriteString(client, "GET")
			sees(t, c.Conn, unread)
			if n, err := c.Read(p); n != 0 || !isTimeout(err) || peek(c.Conn) != unread {
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
	cs := newClientConns(5, 0)
	client, c := accepted(t, cs)
	c.whole()
	cs.state(c, http.StateIdle)
	c.SetReadDeadline(time.Now().Add(time.Hour)) // as net/http would by its idle time
	io.WriteString(client, "G")
	if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	ended := make(chan error, 1)
	go func() { _, err := c.Read(make([]byte, 10)); ended <- err }()
	if err := wait(t, ended, "the end of the request's time"); !isTimeout(err) {
		t.Errorf("reading ended with %v", err)
	}
}

// breakOff says something and ends the connection, by a reset or in order.
func breakOff(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		io.WriteString(nc, text)
		if reset {
			nc.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Answers break off, at the first attempt or at the second too: what may run again goes
// elsewhere, what must not has failed, and nobody gets the part that came.
func TestAnswersThatBreakOff(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"half a line":                   "HTTP/1.",
		"half a head":                   "HTTP/1.1 200 OK\r\nContent-Len",
		"a head":                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"half a body":                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo",
		"no last chunk":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"half a chunk":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo",
		"no length":                     "HTTP/1.1 200 OK\r\n\r\ndone",
		"half of another answer's line": "HTTP/1.1 2" + good,
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				var breaks atomic.Int32
				handle := func(w http.ResponseWriter, r *http.Request) {
					if breaks.Add(-1) >= 0 {
						breakOff(text, reset)(w, r)
						return
					}
					ok(w, r)
				}
				bs := []*backend{newBackend(t, handle), newBackend(t, handle), newBackend(t, handle)}
				n, _ := startReady(t, bs...)
				for _, c := range []struct {
					class                 string
					breaks, sends, status int
				}{{"read", 1, 2, 200}, {"read", 2, 3, 200}, {"push", 1, 2, 200}, {"push", 2, 3, 200}, {"pay", 1, 1, 502}} {
					breaks.Store(int32(c.breaks))
					a := n.do(n.request(c.class))
					sends := 0
					for _, b := range bs {
						for ; len(b.got) > 0; sends++ {
							<-b.got
						}
					}
					if a.status != c.status || sends != c.sends || (a.status == 200 && a.body != "done") {
						t.Errorf("%s after %d breaks: status %d, body %q, %d sends", c.class, c.breaks, a.status, a.body, sends)
					}
				}
			})
		}
	}
}

// dribble writes a byte at a time.
func dribble(nc net.Conn, text string, halfway func()) {
	for i, c := range []byte(text) {
		if i == len(text)/2 {
			halfway()
		}
		nc.Write([]byte{c})
	}
}

// A server answers a byte at a time: the answer is whole if it ends in its span.
func TestAnswerByteByByte(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, c := range map[string]struct {
		span time.Duration
		want policy.Status
	}{"in its span": {patience, policy.OK}, "past its span": {50 * time.Millisecond, policy.ServerError}} {
		t.Run(name, func(t *testing.T) {
			over := make(chan struct{})
			b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
					dribble(nc, text, func() {
						if c.want != policy.OK {
							<-over
						}
					})
					nc.Close()
				}
			})
			u, id := upstreamsTo(b.Listener.Addr().String())
			o := anyRequest()
			o.span = c.span
			if res := u.send(newCall(t.Context(), present), id, o, time.Minute); res.status != c.want {
				t.Errorf("status %d, want %d", res.status, c.want)
			}
			close(over)
		})
	}
}

// A client sends its request and takes its answer a byte at a time: it is served, others are
// meanwhile, and nothing stays behind.
func TestClientByteByByte(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	s := serve(t, b.instance("s-0"))
	n, f := s.running, s.front
	slow, other := n.slowDial(), n.dial()
	var asked strings.Builder
	n.request("pay").Write(&asked)
	dribble(slow, asked.String(), func() { n.ask(other) })
	in := iotest.OneByteReader(slow)
	io.ReadFull(in, make([]byte, 5))
	if resp := n.ask(other); resp.StatusCode != http.StatusOK {
		t.Errorf("another one got status %d", resp.StatusCode)
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/"), in)), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != text {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	slow.Close()
	other.Close()
	f.empty(t)
}

// Clients in a crowd send noise, half a request or hundreds at once, and go or stay: others are
// served between them, and nothing stays behind.
func TestFloodLeavesNothingBehind(t *testing.T) {
	s := serve(t, newBackend(t, ok).instance("s-0"))
	n, f := s.running, s.front
	var one strings.Builder
	n.request("read").Write(&one)
	var open []net.Conn
	for i := range 60 {
		nc := n.dial()
		switch open = append(open, nc); i % 6 {
		case 0:
			io.WriteString(nc, "\x00\xff noise\r\n\r\n")
		case 1:
			io.WriteString(nc, one.String()[:40])
		case 2, 3:
			for range 300 {
				n.request("read").Write(nc)
			}
			if i%6 == 3 {
				nc.Close()
			}
		case 4:
			io.WriteString(nc, strings.Repeat("x", 2*maxAhead))
			nc.Close()
		default:
			if resp := n.ask(nc); resp.StatusCode != http.StatusOK {
				t.Errorf("a good one got status %d", resp.StatusCode)
			}
		}
	}
	for _, nc := range open {
		nc.Close()
	}
	f.empty(t)
}
