package policy

import (
	"fmt"
	"testing"
	"time"
)

// disconnectCase is a request whose next attempt is due.
type disconnectCase struct {
	name   string
	before func(h *harness) RequestID // runs until the attempt is due
	due    func(h *harness)           // is the event that starts the attempt
}

// The order of a client's disconnection and the event that starts the next attempt of its request.
const (
	staysConnected   = "stays connected"
	disconnectsFirst = "disconnects first"
	disconnectsAfter = "disconnects right after"
)

// A client disconnects at the very time of the next attempt. If its disconnection is reported first, there is no
// attempt. If it is reported right after, the attempt is cancelled. Nothing follows in either case.
func TestClientDisconnectsAsTheNextAttemptIsDue(t *testing.T) {
	check := func(h *harness) {
		h.now = max(h.now, h.balancer.checkTimer.due)
		h.balancer.Timer(h.now, timerCheck)
	}
	for _, c := range []disconnectCase{
		{
			name: "queued",
			before: func(h *harness) RequestID {
				for range h.balancer.endpoints.ready {
					h.request(2)
				}
				return h.request(0)
			},
			due: func(h *harness) { h.endAttempt(h.lastID-1, OK, 20*ms) },
		},
		{
			name: "retry",
			before: func(h *harness) RequestID {
				id := h.request(0)
				h.endAttempt(id, ServerError, 10*ms)
				h.now = max(h.now, h.balancer.requests.byID[id].retryAt)
				return id
			},
			due: check,
		},
		{
			name: "hedged request",
			before: func(h *harness) RequestID {
				h.serveRequests(100, 20*ms)
				h.host.timers = nil // the node is busy and handles no timer until the check
				id := h.request(0)
				h.now += 400 * ms
				return id
			},
			due: check,
		},
	} {
		for _, order := range []string{staysConnected, disconnectsFirst, disconnectsAfter} {
			for _, cancel := range []bool{true, false} {
				settings := testSettings()
				settings.Limits.Cancel = cancel
				t.Run(fmt.Sprintf("%s/%s/cancel %v", c.name, order, cancel), func(t *testing.T) {
					c.run(t, order, settings)
				})
			}
		}
	}
}

// run starts the next attempt of a request at the time of its client's disconnection.
func (c *disconnectCase) run(t *testing.T, order string, settings Settings) {
	t.Helper()
	h := newHarness(t, settings, 3)
	id := c.before(h)
	sends, cancels, wantSends := len(h.attemptedServers(id)), h.host.cancels, 1
	if order == disconnectsFirst {
		h.balancer.ClientDisconnected(h.now, id)
		wantSends = 0
	}
	c.due(h)
	if n := len(h.attemptedServers(id)) - sends; order != disconnectsFirst && n != 1 {
		t.Errorf("%d attempts, want 1", n)
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
		t.Errorf("%d of %d attempts are cancelled", n, inFlight)
	}
	for i := range sends + wantSends { // would lead to a retry of a connected client
		h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: i, Status: ServerError})
	}
	h.advance(10 * time.Second)
	known := h.balancer.requests.byID[id] != nil
	if n := len(h.attemptedServers(id)) - sends; n != wantSends || known {
		t.Errorf("%d attempts, want %d; still known: %v", n, wantSends, known)
	}
}
