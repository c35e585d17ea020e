package downstream

import (
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
