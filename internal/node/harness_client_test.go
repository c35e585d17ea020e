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

func (n *testNode) dial() net.Conn {
	n.t.Helper()
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	closeAtEnd(n.t, nc)
	limitToPatience(nc)
	return nc
}

// slowDial returns a connection with a small receive buffer.
func (n *testNode) slowDial() net.Conn {
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
	closeAtEnd(n.t, nc)
	limitToPatience(nc)
	return nc
}

// roundTrip makes a request on a connection and reads the response.
func (n *testNode) roundTrip(nc net.Conn) *http.Response {
	n.t.Helper()
	r := n.request("read")
	if err := r.Write(nc); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil {
		n.t.Fatalf("no answer: %v", err)
	}
	discard(resp.Body)
	return resp
}

// rawStatuses sends a text and returns the statuses of the responses until the node
// closes the connection; a node that doesn't close it fails the test.
func (n *testNode) rawStatuses(text string) (statuses []int) {
	n.t.Helper()
	nc := n.dial()
	go send(nc, text)
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

// requestStatus makes a request as clients do: again on a new connection if the first is closed.
func (n *testNode) requestStatus() (status int, err error) {
	for range 2 {
		var nc net.Conn
		if nc, err = net.Dial("tcp", n.addr); err != nil {
			continue
		}
		limitToPatience(nc)
		r := n.request("read")
		var resp *http.Response
		if err = r.Write(nc); err == nil {
			if resp, err = http.ReadResponse(bufio.NewReader(nc), r); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		closeConn(nc)
		if err == nil {
			return resp.StatusCode, nil
		}
	}
	return 0, err
}

// openFlood opens connections that stay: on one in three nothing is sent, on one half a request,
// and one is idle after its response, if there is one.
func (n *testNode) openFlood(count int) (conns []net.Conn) {
	for i := range count {
		nc, err := net.Dial("tcp", n.addr)
		if err != nil {
			n.t.Error(err)
			return conns
		}
		closeAtEnd(n.t, nc)
		conns = append(conns, nc)
		switch i % 3 {
		case 1:
			send(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Req")
		case 2:
			r := n.request("read")
			sendRequest(nc, r)
			if resp, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil { // else it was evicted
				discard(resp.Body)
			}
		}
	}
	return conns
}

// sendByteByByte writes a byte at a time.
func sendByteByByte(nc net.Conn, text string, halfway func()) {
	for i, c := range []byte(text) {
		if i == len(text)/2 {
			halfway()
		}
		send(nc, string([]byte{c}))
	}
}

// awaitSocketState waits until a connection's socket has a state.
func awaitSocketState(t *testing.T, nc net.Conn, want sockstate.State) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); sockstate.Peek(nc) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection shows %v, want %v", sockstate.Peek(nc), want)
		}
	}
}

// What a client sends, and its close, may meet a connection that the node has closed. The
// tests see that in what they read, so the functions below ignore it.

func send(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func sendRequest(w io.Writer, r *http.Request) { _ = r.Write(w) }

func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

func closeConn(c io.Closer) { _ = c.Close() }

func closeAtEnd(t *testing.T, c io.Closer) { t.Cleanup(func() { closeConn(c) }) }

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite ends the sending of a client that goes on reading.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

// limitToPatience bounds what a test does on a connection.
func limitToPatience(conn net.Conn) { _ = conn.SetDeadline(time.Now().Add(testkit.WaitTimeout)) }
