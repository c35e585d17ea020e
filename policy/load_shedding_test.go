package policy

import (
	"testing"
	"time"
)

// Guards against requests that wait so long that their responses are late: their work is wasted and congests the
// servers. An undersampled node does not see how long the requests of other nodes wait, so it sheds earlier.
func TestUndersampledNodeShedsWithMargin(t *testing.T) {
	for _, tc := range []struct {
		nodes    int
		wantShed bool
	}{{1, false}, {80, true}} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 4)
		h.balancer.refresh(h.now)
		id := h.request(0)
		record := h.balancer.requests.byID[id]
		h.endAttempt(id, StatusRejected, ms) // not executed, so a retry is permitted
		h.balancer.queue.add(record)
		record.objectiveDeadline = h.now + 2*record.expectedLatency(h.balancer.means.relativeLatency)

		h.balancer.shedLoad(h.now)

		if _, shed := h.host.rejected[id]; shed != tc.wantShed {
			t.Errorf("request shed by one of %d nodes two expected latencies before the objective: got %v, want %v",
				tc.nodes, shed, tc.wantShed)
		}
	}
}

func TestHighPriorityRequestWaitsBeyondItsObjectiveUntilItsQueueingDeadline(t *testing.T) {
	h := newUndersampledHarness(t)
	h.balancer.refresh(h.now)
	for _, s := range h.balancer.subset.servers {
		other := h.balancer.requests.add(Request{ID: 1000 + RequestID(s.Server)}, &h.balancer.classes[0])
		h.balancer.startAttempt(h.now, other, s)
	}
	arrivedAt := h.now
	h.lastID++
	id := h.lastID

	h.balancer.Request(h.now, Request{ID: id, Class: 1, Timeout: 500 * ms})
	h.advance(180 * ms)

	if _, rejected := h.host.rejected[id]; rejected {
		t.Fatal("request rejected within 180 ms with an objective of 160 ms, " +
			"want it queued: its late response earns more than the response to another request in time")
	}
	for _, rejected := h.host.rejected[id]; !rejected; _, rejected = h.host.rejected[id] {
		h.advance(ms)
		if h.now > arrivedAt+time.Second {
			t.Fatal("request not rejected within 1 s of its arrival")
		}
	}
	if waited := h.now - arrivedAt; waited > 250*ms {
		t.Errorf("time from arrival to rejection: got %v, want at most 250 ms, so that the client can retry elsewhere",
			waited)
	}
	if after := h.host.rejected[id]; after <= 0 {
		t.Errorf("Retry-After of the rejected request: got %v, want more than 0", after)
	}
}
