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
	"syscall"
	"testing"
	"time"

	"yokestall/policy"
)

// until waits for a state.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

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
		"a repeat in time":                   {keyed, policy.Error, false, 1, true},
		"a repeat too late":                  {keyed, policy.Error, true, 1, false},
		"a second copy too late":             {keyed, policy.Cancelled, true, 1, false},
		"the first one, too late for a copy": {keyed, policy.Cancelled, true, 0, false},
		"behind one that never ran":          {keyed, policy.Full, true, 1, true},
		"of a safe class":                    {safe, policy.Error, true, 1, true},
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
					r.attempts[0].sent += 20*time.Millisecond - l.classes[keyed].Window
				}
				l.Send(r.id, servers[1], 0)
			})
			until(t, "the window's end", func() bool { // which is under test
				return !c.over || l.clock() >= r.attempts[0].sent+l.classes[keyed].Window
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
	if res := wait(t, ended, "the end of the attempt"); res.status != policy.ConnectFailed && res.status != policy.Moot {
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

// tapped shows the connections that come in.
type tapped struct {
	net.Listener
	conns chan *clientConn
}

func (l tapped) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if c, ok := nc.(*clientConn); ok {
		l.conns <- c
	}
	return nc, err
}

// parts starts the parts of a node that take requests, for a look inside.
func parts(t *testing.T, list ...instance) (*running, *frontend, <-chan *clientConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &frontend{
		cfg: testConfig(t, newRegistry(t), nil), loop: loopOf(t, list...),
		conns: newClientConns(20, 2), open: map[string]struct{}{},
	}
	srv := f.server()
	conns := make(chan *clientConn, 1000)
	go srv.Serve(tapped{cappedListener{l, f.conns}, conns})
	t.Cleanup(func() { srv.Close() })
	return &running{t: t, addr: l.Addr().String()}, f, conns
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
			n, f, conns := parts(t, b.instance("s-0"))
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
			node := wait(t, conns, "the connection")
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
