package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against retries after the servers have dropped the idempotency key of a request: they could execute the
// request twice. Each case ends the first attempt, advances the clock, and states the total number of sends and whether
// the request is rejected or failed.
func TestRetriesEndWithShortKeyRetention(t *testing.T) {
	retryDueAfter := func(after time.Duration) func(h *harness, id RequestID) {
		return func(h *harness, id RequestID) {
			record := h.balancer.requests.byID[id]
			h.advance(20 * ms)
			h.endAttempt(id, StatusServerError, 20*ms)
			h.now = record.attempts[0].startedAt + after
			record.retryAt = h.now
			h.balancer.periodicCheck(h.now)
			h.advance(checkInterval)
		}
	}
	for name, tc := range map[string]struct {
		retention        time.Duration
		run              func(h *harness, id RequestID) // runs the case after the first send
		wantSends        int
		wantRejectOrFail bool // the request is rejected with KeyScopeAll and failed with KeyScopeCell
	}{
		"retry due within retention":        {100 * ms, retryDueAfter(99 * ms), 2, false},
		"retry due at the end of retention": {100 * ms, retryDueAfter(100 * ms), 1, true},
		"retry due after retention":         {100 * ms, retryDueAfter(101 * ms), 1, true},
		"retention shorter than the backoff": {15 * ms, func(h *harness, id RequestID) {
			h.endAttempt(id, StatusServerError, 0)
		}, 1, true},
		"retention ends while the retry is queued": {100 * ms, func(h *harness, id RequestID) {
			h.request(0) // stays in flight
			h.balancer.limiter.limit = 0
			h.endAttempt(id, StatusServerError, 0)
			h.advance(100*ms + 2*checkInterval)
		}, 1, true},
		"retention starts with the first possibly executed attempt": {100 * ms, func(h *harness, id RequestID) {
			h.advance(90 * ms)
			h.endAttempt(id, StatusRejected, 90*ms)
			h.advance(40 * ms)
			h.endAttempt(id, StatusServerError, 5*ms)
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
				h.updateEndpoints(UpdateSnapshot, Endpoint{Server: 1, State: EndpointReady},
					Endpoint{Server: 2, State: EndpointReady}, Endpoint{Server: 3, State: EndpointReady})
				id := h.request(1)
				tc.run(h, id)
				_, rejected := h.host.rejected[id]
				if n := len(h.attemptedServers(id)); n != tc.wantSends {
					t.Errorf("sends with key retention %v: got %d, want %d", tc.retention, n, tc.wantSends)
				}
				wantRejected := tc.wantRejectOrFail && scope == KeyScopeAll // the client may retry anywhere
				wantFailed := tc.wantRejectOrFail && scope == KeyScopeCell
				if failed := h.host.failed[id]; rejected != wantRejected || failed != wantFailed {
					t.Errorf("result with key retention %v: got rejected %v, failed %v; want %v, %v",
						tc.retention, rejected, failed, wantRejected, wantFailed)
				}
			})
		}
	}
}
