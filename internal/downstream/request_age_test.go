package downstream

import (
	"io"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// Guards against a client that gets ahead of others by sending requests ahead: they count from the end of the previous
// response.
func TestRequestSentAheadCountsFromThePreviousResponse(t *testing.T) {
	const wait = 50 * time.Millisecond
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	send(t, client, "first")
	expectRead(t, c, "first")
	c.MarkRequestRead()
	sendUnread(t, client, c, "next")
	sentAt := time.Now()
	testkit.WaitUntil(t, "the next request to lie unread for a while", func() bool { return time.Since(sentAt) > wait })
	if age, known := c.RequestAge(); !known || age < wait/2 {
		t.Errorf("RequestAge() of bytes that lie unread: got %v, known %v; want %v at least", age, known, wait/2)
	}
	completedAt := time.Now()
	conns.HandleConnState(c, http.StateIdle)
	if _, err := io.ReadFull(c, make([]byte, len("next"))); err != nil {
		t.Fatal(err)
	}
	if age, known := c.RequestAge(); !known || age > time.Since(completedAt) {
		t.Errorf("RequestAge() of a request sent ahead: got %v, known %v; want %v at most", age, known, time.Since(completedAt))
	}
}
