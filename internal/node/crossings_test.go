package node

// Each test here forces two events to cross that seldom do by themselves; docs/crossings.md
// lists them. Peers follow a script, and channels or the node's own state say when to go on.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"calicohinge/policy"
)

// deadlines replaces the deadlines of all classes.
func deadlines(ms int) func(file map[string]any) {
	return func(file map[string]any) {
		text := strings.ReplaceAll(settingsText, `"DeadlineMs": 8000, "PromiseMs": 6000`,
			fmt.Sprintf(`"DeadlineMs": %d, "PromiseMs": %d`, ms, ms*3/4))
		file["settings"] = json.RawMessage(text)
	}
}

// stuck is an address at which connections come up only when let in: its backlog is full.
type stuck struct {
	net.Listener
	t *testing.T
}

func newStuck(t *testing.T) *stuck {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for { // until one hangs
		nc, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return &stuck{l, t}
		}
		t.Cleanup(func() { nc.Close() })
	}
}

func (s *stuck) instance(id string) instance {
	return instance{InstanceID: id, HostPort: s.Addr().String(), Zone: "a", Lifecycle: "Ready", Weight: 1}
}

// letIn takes every connection and gives the first bytes of those that say anything.
func (s *stuck) letIn() <-chan string {
	said := make(chan string, 100)
	go func() {
		for {
			nc, err := s.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				p := make([]byte, 64)
				if n, _ := nc.Read(p); n > 0 {
					said <- string(p[:n])
				}
			}()
		}
	}()
	return said
}

// loopOf starts a node's loop and upstreams on their own, before servers known by a list.
func loopOf(t *testing.T, list ...instance) *loop {
	t.Helper()
	cfg := testConfig(t, newRegistry(t), nil)
	l, err := newLoop(t.Context(), cfg, newUpstreams(cfg, 20))
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	d := newDiscovery(cfg, l, nil)
	d.notify(policy.UpdateSnapshot, list)
	return l
}

// then runs in the loop, after all that was posted before.
func (l *loop) then(t *testing.T, what func()) {
	t.Helper()
	done := make(chan struct{})
	l.post(func(time.Duration) { what(); close(done) })
	wait(t, done, "the loop")
}

// ofClass makes a request as the frontend would.
func (l *loop) ofClass(class int, gone func() bool) *request {
	return &request{outgoing: *anyRequest(), class: class, end: l.clock() + time.Minute, gone: gone}
}

// open waits until the loop has so many requests with so many attempts out.
func (l *loop) open(t *testing.T, requests, out int) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n, m := 0, 0
		l.then(t, func() {
			for _, r := range l.requests {
				n++
				m += r.out
			}
		})
		if n == requests && m == out {
			return
		}
	}
	t.Fatalf("never %d requests with %d attempts", requests, out)
}

// accepted gives both ends of a connection that counts, in place of an idle one.
func accepted(t *testing.T, conns *clientConns) (client net.Conn, node *clientConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	capped := cappedListener{l, conns}
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
	return client, nc.(*clientConn)
}

// sees waits until a connection shows something.
func sees(t *testing.T, nc net.Conn, what sight) {
	t.Helper()
	for end := time.Now().Add(patience); peek(nc) != what; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection shows %v, want %v", peek(nc), what)
		}
	}
}

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// An answer that never ends costs its attempt and its connection, not the time or memory.
func TestEndlessAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"head":   "HTTP/1.1 200 OK\r\nX: ",
		"body":   "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer nc.Close()
				for _, err = io.WriteString(nc, head); err == nil; _, err = io.WriteString(nc, "x") {
					time.Sleep(time.Millisecond) // the drip is what is under test
				}
			})
			u, id := upstreamsTo(b.Listener.Addr().String())
			if res := u.send(newCall(t.Context(), present), id, anyRequest(), time.Minute); res.status != policy.ServerError {
				t.Errorf("status %d", res.status)
			}
			if u.open != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// A pooled connection breaks as a request is written to it, its last byte included: one that
// must not run twice is not sent again, by nobody.
func TestResetUnderARequestOnAPooledConnection(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			ok(w, r)
			return
		}
		reset(w, r)
	}
	a, b := newBackend(t, handle), newBackend(t, ok)
	l := loopOf(t, a.instance("s-0"))
	l.up.settle = 0
	if x, _ := l.do(t.Context(), l.ofClass(2, present)); x.status != http.StatusOK {
		t.Fatalf("status %d", x.status)
	}
	l.then(t, func() {
		l.up.mu.Lock()
		l.up.servers[(&instance{InstanceID: "s-0"}).id()].idle[0].used = true
		l.up.mu.Unlock()
	})
	answered := make(chan answer, 1)
	go func() { x, _ := l.do(t.Context(), l.ofClass(2, present)); answered <- x }()
	(&discovery{loop: l}).notify(policy.UpdateDelta, []instance{b.instance("s-1")}) // another one could take it
	if x := wait(t, answered, "an answer"); x.status != http.StatusBadGateway {
		t.Errorf("status %d", x.status)
	}
	l.open(t, 0, 0)
	if len(a.got) != 2 || len(b.got) != 0 {
		t.Errorf("%d and %d sends, want 2 and none", len(a.got), len(b.got))
	}
}

// A connection comes up after the time that it may take: nothing is written to it, and its
// place is free.
func TestConnectionComesUpTooLate(t *testing.T) {
	t.Parallel()
	far := newStuck(t)
	u, id := upstreamsTo(far.Addr().String())
	u.connectTimeout = 50 * time.Millisecond
	if res := u.send(newCall(t.Context(), present), id, anyRequest(), time.Minute); res.status != policy.ConnectFailed {
		t.Errorf("status %d", res.status)
	}
	said := far.letIn()
	nc, err := net.Dial("tcp", far.Addr().String()) // comes up behind it
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "mine")
	if text := wait(t, said, "the later connection"); text != "mine" || u.open != 0 {
		t.Errorf("%q was sent; %d places are taken", text, u.open)
	}
}

// An answer has half of its class's objective from its first byte to its last: a spoilt one on a
// deployment with short times would else take the time of the next attempt.
func TestSpoiltAnswerLeavesTimeForAnother(t *testing.T) {
	for objective, want := range map[int]time.Duration{60: 30 * time.Millisecond, 2000: answerSpan} {
		cfg := testConfig(t, newRegistry(t), deadlines(objective*4/3))
		f := &frontend{cfg: cfg, loop: loopOf(t)}
		n := &running{t: t, addr: "x"}
		q, err := f.parse(nil, n.request("read"))
		if err != nil {
			t.Fatal(err)
		}
		if q.span != want {
			t.Errorf("objective %d ms: %v, want %v", objective, q.span, want)
		}
	}
}
