package policy

import (
	"testing"
	"time"
)

// sendRecorder is a Host that records the IDs of sent requests and ignores all other actions.
type sendRecorder struct{ sends []RequestID }

func (h *sendRecorder) Send(id RequestID, _ ServerID, _ time.Duration) {
	h.sends = append(h.sends, id)
}
func (h *sendRecorder) Cancel(RequestID, int)           {}
func (h *sendRecorder) Reject(RequestID, time.Duration) {}
func (h *sendRecorder) Fail(RequestID)                  {}
func (h *sendRecorder) SetTimer(time.Duration, uint64)  {}
func (h *sendRecorder) WatchEndpoints()                 {}
func (h *sendRecorder) SetSyncState(SyncState)          {}

// BenchmarkRequest measures a request that succeeds at once on one of 60 servers, including the periodic check,
// which runs every 50 requests.
func BenchmarkRequest(b *testing.B) {
	host := &sendRecorder{}
	balancer, err := New(testSettings(), 1, host)
	if err != nil {
		b.Fatalf("New(testSettings()): %v", err)
	}
	now := time.Hour
	balancer.UpdateEndpoints(now, UpdateCached, readyEndpoints(1, 60))
	var id RequestID
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 200 * time.Microsecond
		balancer.Request(now, Request{ID: id, Timeout: 2 * time.Second})
		for _, sent := range host.sends {
			balancer.Outcome(now, Outcome{ID: sent, Status: StatusOK, Latency: 10 * ms, RequestCompleted: true})
		}
		host.sends = host.sends[:0]
		if id%50 == 0 {
			balancer.Timer(now, timerCheck)
		}
	}
}
