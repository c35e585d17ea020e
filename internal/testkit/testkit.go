// Package testkit holds what the tests of several packages share: functions that wait for a
// condition, stand-ins for servers and for the discovery service, and listeners. Whatever a function
// starts ends with the test that it was given. Only tests import it.
package testkit

import (
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"
)

// WaitTimeout bounds the wait for a condition that must come true. It ends a test that fails and never
// delays one that passes.
const WaitTimeout = 20 * time.Second

// AddressChangeDeadline is the operators' term: this long after SIGHUP a node counts as notified of the list
// at a new address of the discovery service.
const AddressChangeDeadline = 4 * time.Second

// Wait returns the next value of a channel, or fails the test. The description completes the words
// "timed out waiting for".
func Wait[T any](tb testing.TB, values <-chan T, description string) T {
	tb.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(WaitTimeout):
		tb.Fatalf("timed out waiting for %s", description)
		panic("unreachable")
	}
}

// pollInterval is the pause between two checks of a condition: short beside what tests wait for.
const pollInterval = time.Millisecond

// Until waits until a condition holds, or fails the test.
func Until(tb testing.TB, description string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			tb.Fatalf("timed out waiting for %s", description)
		}
	}
}

// IsTimeout reports whether a deadline ended a network operation.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// JSON is text that is marshalled as it is: a part of a configuration file that a test writes itself.
type JSON string

// MarshalJSON implements json.Marshaler.
func (j JSON) MarshalJSON() ([]byte, error) { return json.RawMessage(j), nil }
