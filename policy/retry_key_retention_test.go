package policy

import (
	"fmt"
	"testing"
	"time"
)

// The servers keep the idempotency key of a request for a short time. Each case ends the first attempt and lets
// time pass. It says how often the request is sent in all, and whether it is terminated.
func TestShortKeyRetentionBoundsRetries(t *testing.T) {
	due := func(after time.Duration) func(h *harness, id RequestID) {
		return func(h *harness, id RequestID) {
			record := h.balancer.requests.byID[id]
			h.advance(20 * ms)
			h.endAttempt(id, ServerError, 20*ms)
			h.now = record.attempts[0].sentAt + after
			record.retryAt = h.now
			h.balancer.periodicCheck(h.now)
			h.advance(checkInterval)
		}
	}
	for name, tc := range map[string]struct {
		retention  time.Duration
		run        func(h *harness, id RequestID) // from the first attempt on
		sends      int
		terminated bool
	}{
		"retry due within retention": {100 * ms, due(99 * ms), 2, false},
		"retry due at its end":       {100 * ms, due(100 * ms), 1, true},
		"retry due after it":         {100 * ms, due(101 * ms), 1, true},
		"retention shorter than the backoff": {15 * ms, func(h *harness, id RequestID) {
			h.endAttempt(id, ServerError, 0)
		}, 1, true},
		"retention ends while the retry is queued": {100 * ms, func(h *harness, id RequestID) {
			h.request(0) // stays in flight
			h.balancer.limiter.limit = 0
			h.endAttempt(id, ServerError, 0)
			h.advance(100*ms + 2*checkInterval)
		}, 1, true},
		"counted from the first attempt that may have been executed": {100 * ms, func(h *harness, id RequestID) {
			h.advance(90 * ms)
			h.endAttempt(id, Rejected, 90*ms)
			h.advance(40 * ms)
			h.endAttempt(id, ServerError, 5*ms)
			h.advance(75 * ms)
		}, 3, false},
	} {
		for _, scope := range []KeyScope{KeyScopeAll, KeyScopeCell} {
			t.Run(fmt.Sprintf("%s/key scope %v", name, scope), func(t *testing.T) {
				settings := testSettings()
				settings.Limits.Hedging = false
				class := &settings.Classes[1]
				class.KeyRetention, class.KeyScope, class.Objective = tc.retention, scope, 400*ms
				h := newHarness(t, settings, 1)
				h.updateEndpoints(UpdateSnapshot, Endpoint{Server: 1, State: Ready}, Endpoint{Server: 2, State: Ready},
					Endpoint{Server: 3, State: Ready})
				id := h.request(1)
				tc.run(h, id)
				_, rejected := h.host.rejected[id]
				if n := len(h.attemptedServers(id)); n != tc.sends {
					t.Errorf("%d sends, want %d", n, tc.sends)
				}
				wantRejected := tc.terminated && scope == KeyScopeAll // the client may retry anywhere
				wantFailed := tc.terminated && scope == KeyScopeCell
				if failed := h.host.failed[id]; rejected != wantRejected || failed != wantFailed {
					t.Errorf("rejected %v, failed %v; want %v, %v", rejected, failed, wantRejected, wantFailed)
				}
			})
		}
	}
}
