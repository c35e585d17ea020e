package downstream

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// A connection whose bytes the node was too busy to read must get the grace period of a partial
// request, not the shorter grace period of a connection without data.
func TestUnreadBytesExtendGracePeriod(t *testing.T) {
	listener := listen(t, newTestConns(1))
	connect := func(text string) {
		client := dial(t, listener)
		send(t, client, text)
		accept(t, listener)
	}
	connect("GET /read")

	began := time.Now()
	connect("")
	if took := time.Since(began); took < partialGracePeriod {
		t.Errorf("connection with unread bytes: evicted after %v, want at least %v", took, partialGracePeriod)
	}

	began = time.Now()
	connect("")
	if took := time.Since(began); took < noDataGracePeriod {
		t.Errorf("connection without data: evicted after %v, want at least %v", took, noDataGracePeriod)
	}
}

// Guards against a client that cannot tell whether its request was read: a connection that is evicted before any data has
// come is reset. Closed in order, it would look like one whose request was read and not answered.
func TestConnWithoutDataIsResetOnEviction(t *testing.T) {
	listener := listen(t, newTestConns(1))
	evicted := dial(t, listener)
	accept(t, listener)
	dial(t, listener)
	accept(t, listener) // waits for the grace period of the first connection
	if _, err := evicted.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("Read by the evicted client: got %v, want %v", err, syscall.ECONNRESET)
	}
}
