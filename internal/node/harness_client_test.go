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

// smallReceiveBuffer is the size in bytes of the receive buffer of a client that reads slowly.
const smallReceiveBuffer = 4096

// partialRequest is the beginning of a request whose remainder is never sent.
const partialRequest = "GET /read HTTP/1.1\r\nHost: x\r\nX-Req"

// dial opens a connection to the node.
func (n *testNode) dial() net.Conn {
	n.t.Helper()
	return n.dialWith(&net.Dialer{})
}

// dialWithSmallReceiveBuffer opens a connection whose client end has a receive buffer of smallReceiveBuffer bytes.
func (n *testNode) dialWithSmallReceiveBuffer() net.Conn {
	n.t.Helper()
	return n.dialWith(&net.Dialer{Control: shrinkReceiveBuffer})
}

// dialWith opens a connection to the node with a dialer. The connection is closed at the end of the test.
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

// shrinkReceiveBuffer is a Control function for net.Dialer: it sets the receive buffer size before the socket connects.
func shrinkReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.Join(err, setErr)
}

// roundTrip sends a request of class read on a connection and reads the complete response.
func (n *testNode) roundTrip(nc net.Conn) *http.Response {
	n.t.Helper()
	if err := n.newRequest("read").Write(nc); err != nil {
		n.t.Fatalf("sending a request of class read on the connection from %v: %v", nc.LocalAddr(), err)
	}
	resp := n.readResponse(nc)
	discard(resp.Body)
	return resp
}

// wantServedOn sends a request on a connection and fails the test unless the response has status 200.
func (n *testNode) wantServedOn(nc net.Conn) {
	n.t.Helper()
	if resp := n.roundTrip(nc); resp.StatusCode != http.StatusOK {
		n.t.Errorf("request of class read on the connection from %v: status %d, want 200", nc.LocalAddr(), resp.StatusCode)
	}
}

// readResponse reads the status line and header of a response. The node must not have sent a further response yet:
// bytes of that response could be lost in the read buffer.
func (n *testNode) readResponse(nc net.Conn) *http.Response {
	n.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		n.t.Fatalf("reading a response on the connection from %v: %v", nc.LocalAddr(), err)
	}
	return resp
}

// sendRaw sends a text on a new connection and returns the statuses of the responses until the node closes the
// connection. It fails the test if the node leaves the connection open.
func (n *testNode) sendRaw(text string) []int {
	n.t.Helper()
	nc := n.dial()
	go send(nc, text)
	reader := bufio.NewReader(nc)
	var statuses []int
	for {
		resp, err := http.ReadResponse(reader, nil)
		if testkit.IsTimeout(err) {
			n.t.Fatalf("sending %.100q: connection still open after %d responses, want it closed", text, len(statuses))
		}
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); testkit.IsTimeout(err) {
			n.t.Fatalf("sending %.100q: response %d, with status %d, does not end", text, len(statuses)+1, resp.StatusCode)
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// statusWithRedial sends a request on a new connection and returns the status of the response. Like most clients, it
// tries another connection if the first connection fails.
func (n *testNode) statusWithRedial() (int, error) {
	status, err := n.statusOnNewConn()
	if err != nil {
		return n.statusOnNewConn()
	}
	return status, nil
}

// statusOnNewConn sends a request of class read on a new connection and returns the status of the response.
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

// wantRequestsServed sends requests one after another and fails the test for each that does not get status 200. The
// failure message contains when: the point of the test at which the requests are sent.
func (n *testNode) wantRequestsServed(requests int, when string) {
	n.t.Helper()
	for range requests {
		if status, err := n.statusWithRedial(); err != nil || status != http.StatusOK {
			n.t.Errorf("request of class read %s: status %d, error %v; want status 200 without an error", when, status, err)
		}
	}
}

// openFlood opens connections and leaves them open. Of each three connections, the first sends nothing, the second
// sends part of a request, and the third is idle after a response, unless the node evicts it before the response.
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
			if resp, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil { // on an error, the connection was evicted
				discard(resp.Body)
			}
		}
	}
	return conns
}

// sendByteByByte writes a text one byte at a time and calls halfway before the byte in the middle.
func sendByteByByte(nc net.Conn, text string, halfway func()) {
	for i, c := range []byte(text) {
		if i == len(text)/2 {
			halfway()
		}
		send(nc, string([]byte{c}))
	}
}

// awaitSocketState waits until the socket of a connection is in the wanted state.
func awaitSocketState(t *testing.T, nc net.Conn, want sockstate.State) {
	t.Helper()
	description := fmt.Sprintf("the socket from %v to %v to be in state %q", nc.LocalAddr(), nc.RemoteAddr(), want)
	testkit.WaitUntil(t, description, func() bool { return sockstate.Peek(nc) == want })
}

// countOpen returns how many of the connections the node has not closed.
func countOpen(conns []net.Conn) int {
	open := 0
	for _, nc := range conns {
		if sockstate.Peek(nc) != sockstate.Closed {
			open++
		}
	}
	return open
}

// The functions below ignore errors: a client may send or close after the node has closed the connection. A test
// detects that when it reads from the connection.

func send(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func sendRequest(w io.Writer, r *http.Request) { _ = r.Write(w) }

func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

func closeQuietly(c io.Closer) { _ = c.Close() }

func closeAtTestEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { closeQuietly(c) })
}

// closeTCP closes a client's connection with a FIN.
func closeTCP(conn *net.TCPConn) { _ = conn.Close() }

// resetConn closes a client's connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite shuts down the sending side of a client's connection. The client can still receive.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

// setTestDeadline makes reads and writes on a connection fail after testkit.WaitTimeout, so that a test cannot hang.
func setTestDeadline(conn net.Conn) { _ = conn.SetDeadline(time.Now().Add(testkit.WaitTimeout)) }
