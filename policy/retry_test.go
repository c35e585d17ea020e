package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against executing a request twice, and against Host.Reject for a request that is not safe to retry.
func TestResultDependsOnIdempotencyAndStatus(t *testing.T) {
	const retried, failed = "retried", "failed"
	for _, tc := range []struct {
		class  int
		status Status
		want   string
	}{
		{0, StatusServerError, retried}, {0, StatusRejected, retried}, {0, StatusTimeout, retried},
		{0, StatusConnectFailed, retried}, {0, StatusReset, retried}, {0, StatusNotSent, retried},
		{1, StatusServerError, retried}, {1, StatusRejected, retried}, {1, StatusTimeout, retried},
		{1, StatusConnectFailed, retried}, {1, StatusReset, retried}, {1, StatusNotSent, retried},
		{2, StatusServerError, failed}, {2, StatusRejected, retried}, {2, StatusTimeout, failed},
		{2, StatusConnectFailed, retried}, {2, StatusReset, failed}, {2, StatusNotSent, retried},
	} {
		t.Run(fmt.Sprintf("class %d, %v", tc.class, tc.status), func(t *testing.T) {
			settings := testSettings()
			settings.Limits.Hedging = false
			h := newHarness(t, settings, 9)
			id := h.request(tc.class)
			h.advance(20 * ms)
			h.endAttempt(id, tc.status, 20*ms)
			h.advance(200 * ms)
			if got := h.resultOf(id); got != tc.want {
				t.Fatalf("result 200 ms after the first attempt ended: got %s, want %s", got, tc.want)
			}
			servers := h.attemptedServers(id)
			if len(servers) < 2 {
				return
			}
			if servers[0] == servers[1] {
				t.Fatalf("servers of both attempts: got %d twice, want the retry at another server", servers[0])
			}
			mayHaveBeenExecuted := tc.status == StatusServerError || tc.status == StatusTimeout || tc.status == StatusReset
			if tc.class == 1 && mayHaveBeenExecuted && servers[0]/2 != servers[1]/2 {
				t.Fatalf("servers of a request with an idempotency key: got %v, want both in the same cell", servers)
			}
		})
	}
}

// resultOf returns what has become of a request after its first attempt.
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

// Guards against a second execution of a request by a server that has dropped its idempotency key.
func TestNoRetryAfterKeyRetention(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	settings.Classes[1].KeyRetention = 100 * ms
	h := newHarness(t, settings, 9)
	id := h.request(1)
	h.advance(150 * ms)
	h.endAttempt(id, StatusServerError, 150*ms)
	h.advance(300 * ms)
	if n := len(h.attemptedServers(id)); n != 1 || !h.host.failed[id] {
		t.Fatalf("first attempt ended 50 ms after the key was dropped: got %d sends, failed %v; want 1, true",
			n, h.host.failed[id])
	}
}

func TestBackoffGrowsWithEachAttempt(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	h := newHarness(t, settings, 9)
	id := h.request(0)
	var backoffs []time.Duration
	for i := range 3 {
		start := h.now
		h.endAttempt(id, StatusServerError, ms)
		for len(h.attemptedServers(id)) == i+1 && h.now < start+time.Second {
			h.advance(ms)
		}
		backoffs = append(backoffs, h.now-start)
	}
	if backoffs[0] >= backoffs[1] || backoffs[1] >= backoffs[2] || backoffs[0] < 20*ms {
		t.Fatalf("backoffs before the retries: got %v, want at least 20 ms, each longer than the last", backoffs)
	}
}

func TestRequestIsRejectedAtOnceIfARetryWouldBeLate(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	h := newHarness(t, settings, 9)
	id := h.request(0)
	h.advance(790 * ms)

	h.endAttempt(id, StatusServerError, 790*ms)

	if _, ok := h.host.rejected[id]; !ok {
		t.Fatal("request not rejected when its attempt ended 10 ms before the objective, too late for a retry")
	}
}

func TestRequestIsRejectedAtOnceAfterItsLastAttempt(t *testing.T) {
	settings := testSettings()
	settings.Limits.Hedging = false
	settings.Limits.MaxAttempts = 1
	h := newHarness(t, settings, 9)
	id := h.request(0)

	h.endAttempt(id, StatusServerError, ms)

	if _, ok := h.host.rejected[id]; !ok {
		t.Fatal("request not rejected when its only permitted attempt ended with an error")
	}
}

func TestAttemptIsPermittedOnlyAtReadyServer(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	record := h.balancer.requests.add(Request{ID: 9, Timeout: time.Second}, &h.balancer.classes[0])
	record.deadline = h.now + time.Second
	s := h.balancer.endpoints.ready[0]
	if !h.balancer.retry.permitsAttempt(h.now, record, s) {
		t.Fatal("permitsAttempt at a ready server = false, want true")
	}
	for _, state := range []EndpointState{EndpointDraining, EndpointRemoved} {
		s.State = state
		if h.balancer.retry.permitsAttempt(h.now, record, s) {
			t.Errorf("permitsAttempt at a server in state %v = true, want false", state)
		}
	}
}
