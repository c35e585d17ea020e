package policy

import (
	"fmt"
	"testing"
	"time"
)

// disconnectCase is a case in which the next attempt of a request is due.
type disconnectCase struct {
	name             string
	prepare          func(h *harness) RequestID // makes a request and runs until its next attempt is due
	startNextAttempt func(h *harness)           // runs the event that starts the attempt
}

// These constants state whether the client disconnects before or after the event that starts the next attempt.
const (
	staysConnected   = "stays connected"
	disconnectsFirst = "disconnects before the attempt"
	disconnectsAfter = "disconnects after the attempt"
)

// Guards against attempts for a client that disconnects exactly when its next attempt is due. If the disconnection is
// handled before the event that starts the attempt, there must be no attempt. If it is handled after that event, the
// attempt must be cancelled, provided that Limits.Cancel permits it. No further attempt may follow.
func TestClientDisconnectsWhenTheNextAttemptIsDue(t *testing.T) {
	runPeriodicCheck := func(h *harness) {
		h.now = max(h.now, h.balancer.checkTimer.due)
		h.balancer.Timer(h.now, timerCheck)
	}
	for _, tc := range []disconnectCase{
		{
			name: "queued",
			prepare: func(h *harness) RequestID {
				for range h.balancer.endpoints.ready {
					h.request(2)
				}
				return h.request(0)
			},
			startNextAttempt: func(h *harness) { h.endAttempt(h.lastID-1, StatusOK, 20*ms) },
		},
		{
			name: "retry",
			prepare: func(h *harness) RequestID {
				id := h.request(0)
				h.endAttempt(id, StatusServerError, 10*ms)
				h.now = max(h.now, h.balancer.requests.byID[id].retryAt)
				return id
			},
			startNextAttempt: runPeriodicCheck,
		},
		{
			name: "hedged request",
			prepare: func(h *harness) RequestID {
				h.serveRequests(100, 20*ms)
				h.host.timers = nil // so that no timer is handled before the periodic check
				id := h.request(0)
				h.now += 400 * ms
				return id
			},
			startNextAttempt: runPeriodicCheck,
		},
	} {
		for _, order := range []string{staysConnected, disconnectsFirst, disconnectsAfter} {
			for _, cancel := range []bool{true, false} {
				settings := testSettings()
				settings.Limits.Cancel = cancel
				t.Run(fmt.Sprintf("%s/%s/cancel %v", tc.name, order, cancel), func(t *testing.T) {
					tc.run(t, order, settings)
				})
			}
		}
	}
}

// run tests the case with the given order of the disconnection and the event that starts the next attempt.
func (c *disconnectCase) run(t *testing.T, order string, settings Settings) {
	t.Helper()
	h := newHarness(t, settings, 3)
	id := c.prepare(h)
	sends, cancels, wantSends := len(h.attemptedServers(id)), h.host.cancels, 1
	if order == disconnectsFirst {
		h.balancer.ClientDisconnected(h.now, id)
		wantSends = 0
	}
	c.startNextAttempt(h)
	if n := len(h.attemptedServers(id)) - sends; order != disconnectsFirst && n != 1 {
		t.Errorf("sends by the event that starts the next attempt: got %d, want 1", n)
	}
	if order == staysConnected {
		return
	}
	if order == disconnectsAfter {
		h.balancer.ClientDisconnected(h.now, id)
	}
	inFlight := 0
	if record := h.balancer.requests.byID[id]; record != nil {
		inFlight = record.inFlight
	}
	if n := h.host.cancels - cancels; settings.Limits.Cancel && n != inFlight {
		t.Errorf("cancels after the disconnection: got %d, want %d, one for each attempt in flight", n, inFlight)
	}
	for i := range sends + wantSends { // each outcome would cause a retry if the client were still connected
		h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: i, Status: StatusServerError})
	}
	h.advance(10 * time.Second)
	known := h.balancer.requests.byID[id] != nil
	if n := len(h.attemptedServers(id)) - sends; n != wantSends || known {
		t.Errorf("10 s after the last outcome: got %d sends since the attempt was due, request known %v; "+
			"want %d, false", n, known, wantSends)
	}
}
