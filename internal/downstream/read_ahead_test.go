package downstream

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/testkit"
)

// Bytes that arrive before a response is complete are buffered up to Config.MaxReadAheadBytes and read
// afterwards. A client that sends more is treated as disconnected.
func TestReadAheadIsBounded(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	c.MarkRequestRead()
	sendUnread(t, client, c, "next")
	if c.ClientDisconnected() {
		t.Fatal("ClientDisconnected() = true after the client sent one request ahead, want false")
	}
	conns.HandleConnState(c, http.StateIdle)
	expectRead(t, c, "next")

	c.MarkRequestRead()
	go func() { // the write ends at the latest when the test closes the client connection
		_, _ = io.WriteString(client, strings.Repeat("x", 4*testMaxReadAheadBytes))
	}()
	testkit.WaitUntil(t, "the read-ahead limit to be exceeded", c.ClientDisconnected)
	if len(c.readAhead) > testMaxReadAheadBytes+readAheadChunkSize {
		t.Errorf("length of the read-ahead buffer: got %d, want at most %d",
			len(c.readAhead), testMaxReadAheadBytes+readAheadChunkSize)
	}
}
