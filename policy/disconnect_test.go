package policy

import (
	"testing"
	"time"
)

// A client leaves at the very time at which the module would make its next attempt: told of
// it first it makes none; told right after, it cancels what it began. Nothing comes later.
func TestClientLeavesAsTheNextAttemptIsDue(t *testing.T) {
	sweep := func(r *rig) { r.now = max(r.now, r.b.nextCheckAt); r.b.Timer(r.now, timerCheck) }
	for name, c := range map[string]struct {
		before func(r *rig) RequestID // up to the moment
		due    func(r *rig)
	}{
		"held": {func(r *rig) RequestID {
			for range r.b.endpoints.ready {
				r.request(2)
			}
			return r.request(0)
		}, func(r *rig) { r.end(r.next-1, OK, 20*ms) }},
		"waits for a retry": {func(r *rig) RequestID {
			id := r.request(0)
			r.end(id, ServerError, 10*ms)
			r.now = max(r.now, r.b.requests.byID[id].retryAt)
			return id
		}, sweep},
		"a hedged request": {func(r *rig) RequestID {
			r.serve(100, 0, 20*ms)
			r.h.timers = nil // the node is busy: none is handled up to the moment
			id := r.request(0)
			r.now += 400 * ms
			return id
		}, sweep},
	} {
		for order, want := range map[string]int{"stays": 1, "leaves first": 0, "leaves right after": 1} {
			for _, cancel := range []bool{true, false} {
				set := testSettings()
				set.Limits.Cancel = cancel
				r := newRig(t, set, 3)
				id := c.before(r)
				began, cancels := len(r.sendsOf(id)), r.h.cancels
				if order == "leaves first" {
					r.b.ClientDisconnected(r.now, id)
				}
				c.due(r)
				if order != "leaves first" {
					if n := len(r.sendsOf(id)) - began; n != 1 {
						t.Errorf("%s, %s: %d attempts", name, order, n)
					}
					if order == "stays" {
						continue
					}
					r.b.ClientDisconnected(r.now, id)
				}
				out := 0
				if q := r.b.requests.byID[id]; q != nil {
					out = q.inFlight
				}
				if n := r.h.cancels - cancels; cancel && n != out {
					t.Errorf("%s, %s: %d of %d attempts are cancelled", name, order, n, out)
				}
				for i := range began + want { // what is out ends in the way that asks for a retry
					r.b.Outcome(r.now, Outcome{ID: id, Attempt: i, Status: ServerError})
				}
				r.pass(10 * time.Second)
				if n := len(r.sendsOf(id)) - began; n != want || r.b.requests.byID[id] != nil {
					t.Errorf("%s, %s: %d attempts, want %d; still known: %v", name, order, n, want, r.b.requests.byID[id] != nil)
				}
			}
		}
	}
}
