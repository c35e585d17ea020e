// Package testkit holds what the tests of several packages share: waiting for a
// state without pacing by it, and stand-ins for servers and discovery that follow
// a script. Only tests import it.
package testkit

import (
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"
)

// Patience bounds the wait for what must happen. It ends a test that fails and
// never paces one that passes.
const Patience = 20 * time.Second

// Wait returns the next value of a channel.
func Wait[T any](t *testing.T, values <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Until waits until a condition holds.
func Until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// FreeAddr returns a loopback address at which nobody listens.
func FreeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was accepted
	return listener.Addr().String()
}

// IsTimeout reports whether a deadline ended a network operation.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// JSON is text that is marshalled as it is.
type JSON string

// MarshalJSON implements json.Marshaler.
func (j JSON) MarshalJSON() ([]byte, error) { return json.RawMessage(j), nil }
