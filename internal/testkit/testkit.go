// Package testkit contains helpers that the tests of several packages share: functions that wait for a condition,
// fake servers, fake discovery services and listeners. Everything that a function starts is stopped at the end of
// the test that it receives, unless its comment says otherwise. Only tests and the packages that
// serve tests, balancertest, soak and history, import this package.
package testkit

import (
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"
)

// WaitTimeout bounds each wait for an event that a test expects. A test that passes never waits that long.
const WaitTimeout = 20 * time.Second

// AddressChangeDeadline is the time from a SIGHUP that changes the address of the discovery service until a node
// counts as notified of the endpoint list at the new address. It is fixed by the contract with the operators.
const AddressChangeDeadline = 4 * time.Second

// Receive returns the next value of a channel. It fails the test after WaitTimeout; the description completes the
// message "timed out waiting for".
func Receive[T any](tb testing.TB, values <-chan T, description string) T {
	tb.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(WaitTimeout):
		tb.Fatalf("timed out waiting for %s", description)
		panic("unreachable")
	}
}

// pollInterval is the pause between two checks of a condition. It is short compared with the waits in tests.
const pollInterval = time.Millisecond

// WaitUntil waits until a condition holds. It fails the test after WaitTimeout, with a message as in Receive.
func WaitUntil(tb testing.TB, description string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			tb.Fatalf("timed out waiting for %s", description)
		}
	}
}

// IsTimeout reports whether err is the timeout of a network operation.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// JSON is JSON text that is marshaled unchanged. Tests use it for parts of a configuration file.
type JSON string

// MarshalJSON implements json.Marshaler.
func (j JSON) MarshalJSON() ([]byte, error) { return json.RawMessage(j), nil }
