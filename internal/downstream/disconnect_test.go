package downstream

import (
	"net/http"
	"testing"

	"calicohinge/internal/sockstate"
)

// A client may send a request on an idle connection and close the connection at once. The request must
// be read, and ClientDisconnected must then detect the disconnect.
func TestClientDisconnectedAfterRequestAndClose(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	makeIdle(conns, c)
	send(t, client, "GET")
	closeClient(t, client)
	waitForSocketState(t, c, sockstate.Readable)
	expectRead(t, c, "GET")
	c.MarkRequestRead()
	waitForSocketState(t, c, sockstate.Closed)
	if !c.ClientDisconnected() {
		t.Error("ClientDisconnected() = false after the client closed the connection, want true")
	}
}

// An attempt may check for a disconnect after the response to its request is complete (a hedged
// request whose connection is established late) or after Shutdown. The client's next request must
// stay unread then.
func TestClientDisconnectedLeavesNextRequestUnread(t *testing.T) {
	for name, prepare := range map[string]func(conns *Conns, c *Conn){
		"between two requests": func(conns *Conns, c *Conn) { conns.HandleConnState(c, http.StateIdle) },
		"after Shutdown":       func(conns *Conns, _ *Conn) { conns.Shutdown(canceledContext()) },
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			c.MarkRequestRead()
			prepare(conns, c)

			if c.ClientDisconnected() {
				t.Error("ClientDisconnected() = true for a client that sends nothing, want false")
			}
			sendUnread(t, client, c, "GET")
			if c.ClientDisconnected() || sockstate.Peek(c.Conn) != sockstate.Readable {
				t.Error("the next request was read, or its client is reported as disconnected")
			}
			conns.Drain(canceledContext())
			if c.Closed() {
				t.Error("a connection with an unread request was closed as idle")
			}
		})
	}
}

func TestClientDisconnectedAfterShutdown(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	c.MarkRequestRead()
	conns.Shutdown(canceledContext())
	closeClient(t, client)
	waitForSocketState(t, c, sockstate.Closed)
	if !c.ClientDisconnected() {
		t.Error("ClientDisconnected() = false after the client closed the connection, want true")
	}
}
