package downstream

import (
	"testing"
	"time"
)

// A connection whose bytes the node was too busy to read has the grace period of a partial request,
// not the shorter one of a connection without data.
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
		t.Errorf("a connection with unread bytes was evicted after %v, want %v at least", took, partialGracePeriod)
	}

	began = time.Now()
	connect("")
	if took := time.Since(began); took < noDataGracePeriod {
		t.Errorf("a connection without data was evicted after %v, want %v at least", took, noDataGracePeriod)
	}
}
