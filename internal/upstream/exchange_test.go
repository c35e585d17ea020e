package upstream

import (
	"bufio"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

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
	u, id := poolTo(poolConfig(), l.Addr().String())
	o := anyRequest()
	o.Body = make([]byte, maxBody)
	c := NewCall(t.Context(), present)
	defer c.Cancel()
	end := time.Now().Add(200 * time.Millisecond)
	c.SetWriteDeadline(end)
	ended := make(chan Result, 1)
	go func() { ended <- u.Send(c, id, o, time.Minute) }()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if res := testkit.Wait(t, ended, "the end of the attempt"); res.Status != policy.ConnectFailed && res.Status != policy.NotSent {
		t.Errorf("status %d", res.Status)
	}
	nc.SetDeadline(time.Now().Add(testkit.Patience))
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil || testkit.IsTimeout(err) {
		t.Errorf("the request came whole or goes on: %v", err)
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
	}{"in its span": {testkit.Patience, policy.OK}, "past its span": {50 * time.Millisecond, policy.ServerError}} {
		t.Run(name, func(t *testing.T) {
			over := make(chan struct{})
			b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
					dribble(nc, text, func() {
						if c.want != policy.OK {
							<-over
						}
					})
					nc.Close()
				}
			})
			u, id := poolTo(poolConfig(), b.Listener.Addr().String())
			o := anyRequest()
			o.ResponseReadTimeout = c.span
			if res := u.Send(NewCall(t.Context(), present), id, o, time.Minute); res.Status != c.want {
				t.Errorf("status %d, want %d", res.Status, c.want)
			}
			close(over)
		})
	}
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
			b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer nc.Close()
				for _, err = io.WriteString(nc, head); err == nil; _, err = io.WriteString(nc, "x") {
					time.Sleep(time.Millisecond) // the drip is what is under test
				}
			})
			u, id := poolTo(poolConfig(), b.Listener.Addr().String())
			if res := u.Send(NewCall(t.Context(), present), id, anyRequest(), time.Minute); res.Status != policy.ServerError {
				t.Errorf("status %d", res.Status)
			}
			if u.open != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// A connection comes up after the time that it may take: nothing is written to it, and its
// place is free.
func TestConnectionComesUpTooLate(t *testing.T) {
	t.Parallel()
	far := testkit.NewStuckServer(t)
	u, id := poolTo(poolConfig(), far.Addr().String())
	u.config.ConnectTimeout = 50 * time.Millisecond
	if res := u.Send(NewCall(t.Context(), present), id, anyRequest(), time.Minute); res.Status != policy.ConnectFailed {
		t.Errorf("status %d", res.Status)
	}
	said := far.Admit()
	nc, err := net.Dial("tcp", far.Addr().String()) // comes up behind it
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "mine")
	if text := testkit.Wait(t, said, "the later connection"); text != "mine" || u.open != 0 {
		t.Errorf("%q was sent; %d places are taken", text, u.open)
	}
}
