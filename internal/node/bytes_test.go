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

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
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
			far, quiet := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.Silent(make(chan struct{}, 1)))
			l := loopWith(t, func(pool *upstream.Config) { pool.ConnectTimeout = testkit.Patience },
				far.Endpoint("late"), quiet.Endpoint("quiet"))
			r := l.newRequest(c.class, staysConnected)
			servers := []policy.ServerID{(&endpoint.Endpoint{InstanceID: "quiet"}).ServerID(), (&endpoint.Endpoint{InstanceID: "quiet"}).ServerID()}
			servers[c.late] = (&endpoint.Endpoint{InstanceID: "late"}).ServerID()
			l.then(t, func() {
				r.id, r.completion = 1000, make(chan completion, 1)
				r.deadlineTimer = time.NewTimer(time.Hour)
				l.requests[r.id] = r
				l.Send(r.id, servers[0], 0)
				if c.first != policy.Cancelled {
					l.reportOutcome(l.clock(), r, 0, upstream.Result{Status: c.first})
				}
				if c.over { // by the time that the connection comes up
					r.attempts[0].sentAt += 20*time.Millisecond - l.classes[keyed].KeyRetention
				}
				l.Send(r.id, servers[1], 0)
			})
			testkit.Until(t, "the window's end", func() bool { // which is under test
				return !c.over || l.clock() >= r.attempts[0].sentAt+l.classes[keyed].KeyRetention
			})
			said := far.Admit()
			testkit.Until(t, "the outcome", func() (told bool) {
				l.then(t, func() { told = r.attempts[c.late].reported })
				return told
			})
			if len(said) != map[bool]int{true: 1}[c.sent] {
				t.Errorf("%d sends", len(said))
			}
		})
	}
}

// empty waits until nothing is open but idle connections to servers.
func (f *handler) empty(t *testing.T) {
	t.Helper()
	f.loop.open(t, 0, 0)
	testkit.Until(t, "the connections' end", func() bool {
		pool := f.loop.pool.Stats()
		return f.conns.Open() == 0 && pool.Open == pool.Idle()
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
	nc.SetDeadline(time.Now().Add(testkit.Patience))
	return nc
}

// The node gives up a connection behind an answer that its client has not read yet, and bytes
// lie or arrive there: the answer comes whole, and what came behind it stays sockstate.Readable. With the
// client's close the connection is over.
func TestAnswerOutlivesItsConnection(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	for name, c := range map[string]struct{ ahead, behind string }{
		"nothing":     {"", ""},
		"ahead of it": {"GET /", ""},
		"behind it":   {"", "GET /"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveLingering(t, time.Hour, b.Endpoint("s-0"))
			n, f := s.running, s.front
			f.draining.Store(true)
			nc := n.slowDial()
			var asked strings.Builder
			n.request("read").Write(&asked)
			io.WriteString(nc, asked.String()+c.ahead)
			in := bufio.NewReader(nc)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			node := s.conn(nc)
			testkit.Until(t, "the answer's end", func() bool {
				return node.Lingering() || node.Closed()
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
					testkit.OK(w, r)
				}
				bs := []*testkit.Backend{testkit.NewBackend(t, handle), testkit.NewBackend(t, handle), testkit.NewBackend(t, handle)}
				n, _ := startReady(t, bs...)
				for _, c := range []struct {
					class                 string
					breaks, sends, status int
				}{{"read", 1, 2, 200}, {"read", 2, 3, 200}, {"push", 1, 2, 200}, {"push", 2, 3, 200}, {"pay", 1, 1, 502}} {
					breaks.Store(int32(c.breaks))
					a := n.do(n.request(c.class))
					sends := 0
					for _, b := range bs {
						for ; len(b.Requests) > 0; sends++ {
							<-b.Requests
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

// A client sends its request and takes its answer a byte at a time: it is served, others are
// meanwhile, and nothing stays behind.
func TestClientByteByByte(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	s := serve(t, b.Endpoint("s-0"))
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
	s := serve(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
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
			io.WriteString(nc, strings.Repeat("x", 2*(maxHeader+maxBody)))
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
