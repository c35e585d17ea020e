package downstream

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/testkit"
)

// What arrives ahead of a response is buffered up to the size of one request and read
// after the response. A client that sends more counts as disconnected.
func TestReadAheadIsBounded(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	c.RequestComplete()
	sendUnread(t, client, c, "next")
	if c.ClientDisconnected() {
		t.Fatal("a client that sent one request ahead counts as disconnected")
	}
	conns.ConnState(c, http.StateIdle)
	expectRead(t, c, "next")

	c.RequestComplete()
	go func() { // ends when the test closes the client, if it could not send everything
		_, _ = io.WriteString(client, strings.Repeat("x", 4*testMaxReadAhead))
	}()
	testkit.Until(t, "the read-ahead buffer to be full", c.ClientDisconnected)
	if len(c.readAhead) > testMaxReadAhead+readAheadChunkSize {
		t.Errorf("%d bytes are buffered", len(c.readAhead))
	}
}
