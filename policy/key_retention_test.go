package policy

import (
	"testing"
	"time"
)

// Repeats of a keyed request are dropped for a short time only. Each row ends the first attempt
// of one, lets time go by and tells how often it was sent, and when it was answered.
func TestShortWindow(t *testing.T) {
	due := func(after time.Duration) func(r *rig, id RequestID) {
		return func(r *rig, id RequestID) {
			q := r.b.requests.byID[id]
			r.pass(20 * ms)
			r.end(id, ServerError, 20*ms)
			r.now = q.attempts[0].sentAt + after
			q.retryAt = r.now
			r.b.periodicCheck(r.now)
			r.pass(checkInterval)
		}
	}
	for name, tc := range map[string]struct {
		window   time.Duration
		play     func(r *rig, id RequestID)
		sends    int
		answered bool
	}{
		"a repeat due inside it":                    {100 * ms, due(99 * ms), 2, false},
		"due at its end":                            {100 * ms, due(100 * ms), 1, true},
		"due behind it":                             {100 * ms, due(101 * ms), 1, true},
		"shorter than the wait for another attempt": {15 * ms, func(r *rig, id RequestID) { r.end(id, ServerError, 0) }, 1, true},
		"over while the repeat waits for room": {100 * ms, func(r *rig, id RequestID) {
			r.request(0) // stays out
			r.b.limiter.limit = 0
			r.end(id, ServerError, 0)
			r.pass(100*ms + 2*checkInterval)
		}, 1, true},
		"counted from the first that may have run": {100 * ms, func(r *rig, id RequestID) {
			r.pass(90 * ms)
			r.end(id, Rejected, 90*ms)
			r.pass(40 * ms)
			r.end(id, ServerError, 5*ms)
			r.pass(75 * ms)
		}, 3, false},
	} {
		for _, scope := range []KeyScope{KeyScopeAll, KeyScopeCell} {
			t.Run(name+map[KeyScope]string{KeyScopeAll: ", refused", KeyScopeCell: ", failed"}[scope], func(t *testing.T) {
				set := testSettings()
				set.Limits.Hedging = false
				set.Classes[1].KeyRetention, set.Classes[1].KeyScope, set.Classes[1].Objective = tc.window, scope, 400*ms
				r := newRig(t, set, 1)
				r.list(UpdateSnapshot, Endpoint{Server: 1, State: Ready}, Endpoint{Server: 2, State: Ready}, Endpoint{Server: 3, State: Ready})
				id := r.request(1)
				tc.play(r, id)
				_, refused := r.h.refused[id]
				if n := len(r.sendsOf(id)); n != tc.sends {
					t.Errorf("%d sends, want %d", n, tc.sends)
				}
				if refused != (tc.answered && scope == KeyScopeAll) || r.h.failed[id] != (tc.answered && scope == KeyScopeCell) {
					t.Errorf("refused %v, failed %v; want an answer: %v", refused, r.h.failed[id], tc.answered)
				}
			})
		}
	}
}
