package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

func (n *running) dial() net.Conn {
	n.t.Helper()
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testkit.Patience))
	return nc
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

// ask makes a request on a connection of its own and reads the answer.
func (n *running) ask(nc net.Conn) *http.Response {
	n.t.Helper()
	r := n.request("read")
	if err := r.Write(nc); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil {
		n.t.Fatalf("no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// raw sends a text and gives the statuses of what comes back until the node
// closes the connection; a node that doesn't close it fails the test.
func (n *running) raw(text string) (statuses []int) {
	n.t.Helper()
	nc := n.dial()
	go io.WriteString(nc, text)
	in := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(in, nil)
		if testkit.IsTimeout(err) {
			n.t.Fatal("the node keeps the connection")
		}
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); testkit.IsTimeout(err) {
			n.t.Fatal("the answer doesn't end")
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// try asks as a client does: once more on a new connection where the first is closed sockstate.Readable.
func (n *running) try() (status int, err error) {
	for range 2 {
		var nc net.Conn
		if nc, err = net.Dial("tcp", n.addr); err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(testkit.Patience))
		r := n.request("read")
		var resp *http.Response
		if err = r.Write(nc); err == nil {
			if resp, err = http.ReadResponse(bufio.NewReader(nc), r); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		nc.Close()
		if err == nil {
			return resp.StatusCode, nil
		}
	}
	return 0, err
}

// flood opens so many connections that stay: one in three says nothing, one says half a
// request, and one is idle after an answer where there is one.
func (n *running) flood(count int) (conns []net.Conn) {
	for i := range count {
		nc, err := net.Dial("tcp", n.addr)
		if err != nil {
			n.t.Error(err)
			return conns
		}
		n.t.Cleanup(func() { nc.Close() })
		conns = append(conns, nc)
		switch i % 3 {
		case 1:
			io.WriteString(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Req")
		case 2:
			r := n.request("read")
			r.Write(nc)
			if resp, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil { // else it made room
				io.Copy(io.Discard, resp.Body)
			}
		}
	}
	return conns
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

// sees waits until a connection shows something.
func sees(t *testing.T, nc net.Conn, want sockstate.State) {
	t.Helper()
	for end := time.Now().Add(testkit.Patience); sockstate.Peek(nc) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection shows %v, want %v", sockstate.Peek(nc), want)
		}
	}
}
