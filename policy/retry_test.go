package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a second execution and a false guarantee of Host.Reject, for every status.
func TestRetryRejectOrFailFollowsIdempotencyForEveryStatus(t *testing.T) {
	const retried, failed = "retried", "failed"
	for _, tc := range []struct {
		class  int
		status Status
		want   string
	}{
		{0, ServerError, retried}, {0, Rejected, retried}, {0, Timeout, retried}, {0, ConnectFailed, retried},
		{0, Reset, retried}, {0, NotSent, retried},
		{1, ServerError, retried}, {1, Rejected, retried}, {1, Timeout, retried}, {1, ConnectFailed, retried},
		{1, Reset, retried}, {1, NotSent, retried},
		{2, ServerError, failed}, {2, Rejected, retried}, {2, Timeout, failed}, {2, ConnectFailed, retried},
		{2, Reset, failed}, {2, NotSent, retried},
	} {
		t.Run(fmt.Sprintf("class %d %v", tc.class, tc.status), func(t *testing.T) {
			settings := testSettings()
			settings.Limits.Hedging = false
			h := newHarness(t, settings, 9)
			id := h.request(tc.class)
			h.advance(20 * ms)
			h.endAttempt(id, tc.status, 20*ms)
			h.advance(200 * ms)
			if got := h.resultOf(id); got != tc.want {
				t.Fatalf("got %s, want %s", got, tc.want)
			}
			servers := h.attemptedServers(id)
			if len(servers) < 2 {
				return
			}
			if servers[0] == servers[1] {
				t.Fatal("retried at the server that failed")
			}
			mayHaveBeenExecuted := tc.status == ServerError || tc.status == Timeout || tc.status == Reset
			if tc.class == 1 && mayHaveBeenExecuted && servers[0]/2 != servers[1]/2 {
				t.Fatalf("a request with an idempotency key left its cell: %v", servers)
			}
		})
	}
}

// resultOf returns the result of the first attempt of a request.
func (h *harness) resultOf(id RequestID) string {
	_, rejected := h.host.rejected[id]
	switch {
	case len(h.attemptedServers(id)) == 2:
		return "retried"
	case rejected:
		return "rejected"
	case h.host.failed[id]:
		return "failed"
	}
	return "queued"
}

// Guards against a retry whose idempotency key the servers have forgotten.
func TestNoRetryAfterKeyRetention(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	settings.Classes[1].KeyRetention = 100 * ms
	h := newHarness(t, settings, 9)
	id := h.request(1)
	h.advance(150 * ms)
	h.endAttempt(id, ServerError, 150*ms)
	h.advance(300 * ms)
	if n := len(h.attemptedServers(id)); n != 1 || !h.host.failed[id] {
		t.Fatalf("%d sends, failed %v; want one send and a failure", n, h.host.failed[id])
	}
}

func TestBackoffGrowsWithEachAttempt(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	h := newHarness(t, settings, 9)
	id := h.request(0)
	var waits []time.Duration
	for i := range 3 {
		from := h.now
		h.endAttempt(id, ServerError, ms)
		for len(h.attemptedServers(id)) == i+1 && h.now < from+time.Second {
			h.advance(ms)
		}
		waits = append(waits, h.now-from)
	}
	if waits[0] >= waits[1] || waits[1] >= waits[2] || waits[0] < 20*ms {
		t.Fatalf("waits %v do not grow", waits)
	}
}

func TestRequestIsRejectedAtOnceIfNoRetryFitsTheTimeLeft(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	h := newHarness(t, settings, 9)
	late := h.request(0)
	h.advance(790 * ms)

	h.endAttempt(late, ServerError, 790*ms)

	if _, ok := h.host.rejected[late]; !ok {
		t.Fatal("a retry that cannot be in time must be rejected at once")
	}
}

func TestRequestIsRejectedAtOnceAfterAllOfItsAttempts(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	settings.Limits.MaxAttempts = 1
	h := newHarness(t, settings, 9)
	last := h.request(0)

	h.endAttempt(last, ServerError, ms)

	if _, ok := h.host.rejected[last]; !ok {
		t.Fatal("a request that has had all of its attempts must be rejected at once")
	}
}

// Guards against attempts at a server that is not ready.
func TestAttemptPermittedOnlyAtReadyServer(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	record := h.balancer.requests.add(Request{ID: 9, Timeout: time.Second}, &h.balancer.classes[0])
	record.deadline = h.now + time.Second
	s := h.balancer.endpoints.ready[0]
	if !h.balancer.retry.permits(h.now, record, s) {
		t.Fatal("an attempt at a ready server must be permitted")
	}
	for _, state := range []EndpointState{Draining, Removed} {
		s.State = state
		if h.balancer.retry.permits(h.now, record, s) {
			t.Errorf("an attempt at a server in state %v is permitted", state)
		}
	}
}
