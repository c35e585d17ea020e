package node

// What arrives in the moment of a close, breaks off, comes very slowly, in floods or too late
// to be dropped as a repeat.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"yokestall/policy"
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
			for c.over && l.clock() < r.attempts[0].sent+l.classes[keyed].Window {
				time.Sleep(time.Millisecond) // the window is under test
			}
			said := far.letIn()
			told := func() (told bool) {
				l.then(t, func() { told = r.attempts[c.late].told })
				return told
			}
			for end := time.Now().Add(patience); !told() && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
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
