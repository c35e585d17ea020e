package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

// smallReceiveBuffer is the size of the receive buffer of a client that reads slowly.
const smallReceiveBuffer = 4096

// partialRequest is the beginning of a request that is never completed.
const partialRequest = "GET /read HTTP/1.1\r\nHost: x\r\nX-Req"

// dial returns a connection to the node.
func (n *testNode) dial() net.Conn {
	n.t.Helper()
	return n.dialWith(&net.Dialer{})
}

// dialWithSmallReceiveBuffer returns a connection with a small receive buffer.
func (n *testNode) dialWithSmallReceiveBuffer() net.Conn {
	n.t.Helper()
	return n.dialWith(&net.Dialer{Control: shrinkReceiveBuffer})
}

func (n *testNode) dialWith(dialer *net.Dialer) net.Conn {
	n.t.Helper()
	nc, err := dialer.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	closeAtTestEnd(n.t, nc)
	setTestDeadline(nc)
	return nc
}

// shrinkReceiveBuffer is a net.Dialer.Control.
func shrinkReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.Join(err, setErr)
}

// roundTrip makes a request on a connection and reads the response.
func (n *testNode) roundTrip(nc net.Conn) *http.Response {
	n.t.Helper()
	if err := n.newRequest("read").Write(nc); err != nil {
		n.t.Fatalf("sending a request of class read on the connection from %v: %v", nc.LocalAddr(), err)
	}
	resp := n.readResponse(nc)
	discard(resp.Body)
	return resp
}

// wantServedOn fails the test unless a request on the connection is served.
func (n *testNode) wantServedOn(nc net.Conn) {
	n.t.Helper()
	if resp := n.roundTrip(nc); resp.StatusCode != http.StatusOK {
		n.t.Errorf("request of class read on the connection from %v: status %d, want 200", nc.LocalAddr(), resp.StatusCode)
	}
}

// readResponse reads the header of the only response on a connection.
func (n *testNode) readResponse(nc net.Conn) *http.Response {
	n.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		n.t.Fatalf("reading a response on the connection from %v: %v", nc.LocalAddr(), err)
	}
	return resp
}

// sendRaw sends a text and returns the statuses of the responses until the node
// closes the connection; a node that doesn't close it fails the test.
func (n *testNode) sendRaw(text string) []int {
	n.t.Helper()
	nc := n.dial()
	go send(nc, text)
	reader := bufio.NewReader(nc)
	var statuses []int
	for {
		resp, err := http.ReadResponse(reader, nil)
		if testkit.IsTimeout(err) {
			n.t.Fatalf("%.100q: the connection is still open after %d responses, want it closed", text, len(statuses))
		}
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); testkit.IsTimeout(err) {
			n.t.Fatalf("%.100q: response %d, with status %d, does not end", text, len(statuses)+1, resp.StatusCode)
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// statusWithRedial makes a request as clients do: again on a new connection if the first is closed.
func (n *testNode) statusWithRedial() (int, error) {
	status, err := n.statusOnNewConn()
	if err != nil {
		return n.statusOnNewConn()
	}
	return status, nil
}

// statusOnNewConn makes a request on a new connection.
func (n *testNode) statusOnNewConn() (int, error) {
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		return 0, err
	}
	defer closeQuietly(nc)
	setTestDeadline(nc)
	r := n.newRequest("read")
	if err := r.Write(nc); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// wantRequestsServed makes requests one after another and fails the test for each that is not served.
func (n *testNode) wantRequestsServed(requests int, when string) {
	n.t.Helper()
	for range requests {
		if status, err := n.statusWithRedial(); err != nil || status != http.StatusOK {
			n.t.Errorf("request of class read %s: status %d, error %v; want status 200 without an error", when, status, err)
		}
	}
}

// openFlood opens connections that stay open: on each first of three nothing is sent, on each second half a
// request, and each third one is idle after its response, unless it was evicted before.
func (n *testNode) openFlood(count int) []net.Conn {
	var conns []net.Conn
	for i := range count {
		nc, err := net.Dial("tcp", n.addr)
		if err != nil {
			n.t.Errorf("opening connection %d of %d: %v", i+1, count, err)
			return conns
		}
		closeAtTestEnd(n.t, nc)
		conns = append(conns, nc)
		switch i % 3 {
		case 1:
			send(nc, partialRequest)
		case 2:
			r := n.newRequest("read")
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
	description := fmt.Sprintf("the socket from %v to %v to be in state %q", nc.LocalAddr(), nc.RemoteAddr(), want)
	testkit.Until(t, description, func() bool { return sockstate.Peek(nc) == want })
}

// countOpen counts the connections that the node has not closed.
func countOpen(conns []net.Conn) int {
	open := 0
	for _, nc := range conns {
		if sockstate.Peek(nc) != sockstate.Closed {
			open++
		}
	}
	return open
}

// The functions below ignore errors: a client may send or close after the node has closed the connection, and
// the tests see that when they read.

func send(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func sendRequest(w io.Writer, r *http.Request) { _ = r.Write(w) }

func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

func closeQuietly(c io.Closer) { _ = c.Close() }

func closeAtTestEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { closeQuietly(c) })
}

// closeTCP closes a connection with a FIN.
func closeTCP(conn *net.TCPConn) { _ = conn.Close() }

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite ends the sending of a client that goes on reading.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

// setTestDeadline limits the reads and writes of a test on a connection.
func setTestDeadline(conn net.Conn) { _ = conn.SetDeadline(time.Now().Add(testkit.WaitTimeout)) }
